#pragma once

#include "flamingowick/proxy/MemoryLimits.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

// Decides which callers are cut off when what is held for callers and targets exceeds its limits. Deterministic, no I/O.
namespace flamingowick::proxy {

// A caller to which a response is being written, or which is sending a request.
struct HoldingCaller {
    // What cutting it off would free.
    std::uint64_t heldBytes { 0 };
    // When the response or the request began.
    TimePoint since;
};

// Returns the indices of the callers to cut off so that the excess bytes are freed: slow ones only, those first that have taken
// longest. Fewer bytes are freed when there aren't enough of them. Linearithmic.
std::vector<std::size_t> chooseCallersToCut(std::span<const HoldingCaller>, std::uint64_t excessBytes, const MemoryLimits&, TimePoint now);

// How fast a caller sends a request, over intervals of MemoryLimits::slowAfter.
struct SendingRate {
    TimePoint intervalStart;
    std::uint64_t intervalBytes { 0 };
    // In the interval before.
    bool wasSlow { false };
};

// Counts received bytes. Constant time.
void recordReceived(SendingRate&, std::uint64_t bytes, const MemoryLimits&, TimePoint now) noexcept;

// Whether the caller has sent at less than MemoryLimits::minBytesPerSecond for an interval or more. Constant time.
bool isSlow(const SendingRate&, const MemoryLimits&, TimePoint now) noexcept;

}
