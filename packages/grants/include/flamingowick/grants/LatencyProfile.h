#pragma once

#include "flamingowick/model/Clock.h"

#include <array>
#include <cstddef>

// The empirical latency distribution of a service. It tells a slow answer from a target that hangs.
namespace flamingowick::grants {

// The latencies of the most recent answers, in a ring buffer of fixed size.
struct LatencyProfile {
    static constexpr std::size_t capacity = 256;
    std::array<Duration, capacity> recent {};
    std::size_t count { 0 };
    std::size_t next { 0 };
    // The caller's latency objective, from which the distribution is assumed while few answers are recorded.
    Duration assumed { std::chrono::milliseconds(500) };
};

// Records the latency of a complete answer. Never throws; constant time.
void recordLatency(LatencyProfile&, Duration) noexcept;

// Returns the share of answers, above 0 and at most 1, that are expected to take longer than age.
// Linear in the recorded answers; never throws.
double survival(const LatencyProfile&, Duration age) noexcept;

// Returns the latency that the given share (0 to 1) of answers does not exceed. Linear in the recorded
// answers; never throws.
Duration quantile(const LatencyProfile&, double share) noexcept;

}
