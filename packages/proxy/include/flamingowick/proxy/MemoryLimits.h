#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>

// What a daemon holds for callers at most, so that it stays within its VM's memory whatever they send.
namespace flamingowick::proxy {

// The defaults are those of a VM with 200 MB or more.
struct MemoryLimits {
    // Requests and responses that are held, over all connections, without large bodies of requests; 0 for no limit.
    std::uint64_t maxBytes { 48U << 20U };
    // A caller that takes longer over one response is a slow reader. The largest responses pass a link of 10 Mbit/s in half a
    // second. Also the time over which the rate of a caller that sends a request is taken.
    Duration slowAfter { std::chrono::seconds(2) };
    // The part of them that requests may take before they are complete, which leaves room for those that are.
    std::uint64_t maxReceivingBytes { 24U << 20U };
    // Large bodies of requests that are held at the same time.
    std::uint64_t maxLargeBodyBytes { 48U << 20U };
    // A large body while there is no other one.
    std::uint64_t maxSingleBodyBytes { 90'000'000 };
    // A caller that sends a request at a lower rate is a slow sender.
    std::uint64_t minBytesPerSecond { 16U << 10U };
};

// Returns the limits for a VM with that much memory.
MemoryLimits memoryLimitsFor(std::uint64_t vmBytes) noexcept;

// Returns how many connections of callers a VM with that much memory keeps open.
unsigned maxCallerConnectionsFor(std::uint64_t vmBytes) noexcept;

}
