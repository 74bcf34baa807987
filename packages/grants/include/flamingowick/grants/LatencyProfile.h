#pragma once

#include "flamingowick/model/Clock.h"

#include <array>
#include <cstddef>

// How long the targets of a service take, as the share of recent answers that took longer than a
// given time. It tells a slow answer from a target that hangs.
namespace flamingowick::grants {

// The last answers, kept in fixed memory.
struct LatencyProfile {
    static constexpr std::size_t capacity = 256;
    std::array<Duration, capacity> recent {};
    std::size_t count { 0 };
    std::size_t next { 0 };
    // Stands in for answers while there are few: the caller's latency objective.
    Duration assumed { std::chrono::milliseconds(500) };
};

// Adds the duration of a whole answer. Never throws; constant time.
void recordLatency(LatencyProfile&, Duration) noexcept;

// Returns the share of answers, above 0 and at most 1, that are expected to take longer than age.
// Linear in the kept answers; never throws.
double survival(const LatencyProfile&, Duration age) noexcept;

// Returns the duration that the given share (0 to 1) of answers does not exceed. Linear in the kept
// answers; never throws.
Duration quantile(const LatencyProfile&, double share) noexcept;

}
