#include "flamingowick/proxy/MemoryLimits.h"

#include <algorithm>

namespace flamingowick::proxy {

MemoryLimits memoryLimitsFor(std::uint64_t vmBytes) noexcept
{
    MemoryLimits limits;
    limits.maxBytes = std::min(limits.maxBytes, vmBytes / 4);
    limits.maxReceivingBytes = limits.maxBytes / 2;
    limits.maxLargeBodyBytes = std::min(limits.maxLargeBodyBytes, vmBytes / 4);
    limits.maxSingleBodyBytes = vmBytes / 100 * 45;
    return limits;
}

}
