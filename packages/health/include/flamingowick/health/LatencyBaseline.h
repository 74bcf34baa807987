#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

// The latency that a pool's typical target shows, against which slow answers are told.
namespace flamingowick::health {

// Bins per doubling of latency, from firstBin up.
constexpr unsigned binsPerOctave = 4;
constexpr std::size_t latencyBins = 72;
constexpr Duration firstBin = std::chrono::microseconds(100);

struct LatencyHistogram {
    std::array<std::uint32_t, latencyBins> counts {};
    std::uint32_t total { 0 };
};

// Recent latencies of each target. Counts are halved as they grow, so old answers fade.
struct LatencyBaseline {
    std::map<TargetAddress, LatencyHistogram, std::less<>> targets;
    // The lower median of the targets' median latencies; zero until enough answers were seen.
    Duration reference { 0 };
    std::uint32_t answersSinceUpdate { 0 };
};

// Takes in the latency of one answer. O(log targets), and now and then O(targets); may throw
// std::bad_alloc.
void addLatency(LatencyBaseline&, std::string_view target, Duration latency);

// Forgets a target. O(log targets); never throws.
void forgetTarget(LatencyBaseline&, std::string_view target) noexcept;

// Returns true when a latency is at least factor times the reference. False while there is no
// reference. Never throws; constant time.
bool isSlow(const LatencyBaseline&, Duration latency, double factor) noexcept;

}
