#include "flamingowick/proxy/MemoryLimits.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    // A connection with its buffers in the kernel.
    constexpr std::uint64_t bytesPerConnection = 80'000;
    // Leaves file descriptors for targets, peers and the store.
    constexpr std::uint64_t maxCallerConnections = 3000;

}

MemoryLimits memoryLimitsFor(std::uint64_t vmBytes) noexcept
{
    MemoryLimits limits;
    limits.maxBytes = std::min(limits.maxBytes, vmBytes / 4);
    limits.maxReceivingBytes = limits.maxBytes / 2;
    limits.maxLargeBodyBytes = std::min(limits.maxLargeBodyBytes, vmBytes / 4);
    limits.maxSingleBodyBytes = vmBytes / 100 * 45;
    return limits;
}

unsigned maxCallerConnectionsFor(std::uint64_t vmBytes) noexcept
{
    return static_cast<unsigned>(std::min(maxCallerConnections, vmBytes / bytesPerConnection));
}

}
