#pragma once

#include "flamingowick/model/Clock.h"

#include <array>
#include <cstddef>

// The empirical latency distribution of a service. It distinguishes a slow response from a target that hangs.
namespace flamingowick::grants {

// The latencies of the most recent responses, in a ring buffer of fixed size.
struct LatencyProfile {
    static constexpr std::size_t capacity = 256;
    std::array<Duration, capacity> recent {};
    std::size_t count { 0 };
    std::size_t nextIndex { 0 };
    // The caller's latency objective, from which the distribution is assumed while few responses are recorded.
    Duration latencyObjective { std::chrono::milliseconds(500) };
};

// Records the latency of a complete response. Never throws; constant time.
void recordLatency(LatencyProfile&, Duration) noexcept;

// Returns the share of responses, above 0 and at most 1, that are expected to take longer than age.
// Linear in the recorded responses; never throws.
double survival(const LatencyProfile&, Duration age) noexcept;

// Returns the latency that the given share (0 to 1) of responses does not exceed. Linear in the recorded
// responses; never throws.
Duration quantile(const LatencyProfile&, double share) noexcept;

}
