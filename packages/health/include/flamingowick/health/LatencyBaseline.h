#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"

#include <array>
#include <cstdint>
#include <map>
#include <string_view>

// The latency of a pool's typical target, the reference for slow responses.
namespace flamingowick::health {

// Number of bins per doubling of the latency, from firstBin on.
constexpr unsigned binsPerOctave = 4;
constexpr std::size_t latencyBins = 72;
constexpr Duration firstBin = std::chrono::microseconds(100);

struct LatencyHistogram {
    std::array<std::uint32_t, latencyBins> counts {};
    std::uint32_t total { 0 };
};

// Recent latencies of each target. Counts are halved whenever they reach a limit, so that older responses lose
// weight.
struct LatencyBaseline {
    std::map<TargetAddress, LatencyHistogram, std::less<>> targets;
    // The lower median of the targets' median latencies; zero until enough responses were recorded.
    Duration reference { 0 };
    std::uint32_t answersSinceUpdate { 0 };
};

// Records the latency of one response. O(log targets), and O(targets) when the reference is updated; may throw
// std::bad_alloc.
void addLatency(LatencyBaseline&, std::string_view target, Duration latency);

// Removes a target's latencies. O(log targets); never throws.
void forgetTarget(LatencyBaseline&, std::string_view target) noexcept;

// Returns true if a latency is at least factor times the reference, and false while there is no reference.
// Constant time; never throws.
bool isSlow(const LatencyBaseline&, Duration latency, double factor) noexcept;

}
