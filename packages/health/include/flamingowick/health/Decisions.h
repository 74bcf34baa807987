#pragma once

#include "flamingowick/health/EjectionRecord.h"
#include "flamingowick/health/Evidence.h"
#include "flamingowick/health/Floor.h"
#include "flamingowick/health/SequentialTest.h"

#include <span>
#include <string_view>

// The choices that make up the health policy, each replaceable.
namespace flamingowick::health {

// A suspicion strong enough to act on.
struct Verdict {
    SequentialTest test;
    Score score;
    double threshold { 0 };
};

// How many targets had traffic of late, and how many of these look bad when measured on their own.
struct PoolView {
    std::size_t observed { 0 };
    std::size_t suspect { 0 };
};

// Returns the bad share of the pool's typical target: the upper median of the shares of the targets
// other than the accused, 0 when there are none. It is high exactly when the accused and others that
// are as bad make up more than half of the pool. Reorders the shares. Linear; never throws.
double typicalShare(std::span<double> sharesOfOthers) noexcept;

// Returns true when more than half of two or more observed targets are suspect. Never throws.
bool isSharedCause(const PoolView&) noexcept;

// Whose fault an accusation from one failure domain is.
enum class Blame : std::uint8_t {
    Target,
    // Another failure domain has seen the target healthy since.
    Path,
    // Another failure domain uses the target and leans to healthy, but has not seen enough of it since.
    Undecided,
};

// What one failure domain has against a target.
struct Accusation {
    std::string_view fromFailureDomain;
    Verdict verdict;
};

// Compares an accusation with what other failure domains have seen since its evidence began. An
// accusation that has reached the thresholds' ceiling is not left undecided. O(failure domains *
// buckets); never throws.
Blame placeBlame(const TargetEvidence&, const Accusation&, const Thresholds&, TimePoint now) noexcept;

struct Decisions {
    FloorVerdict (*floor)(const FloorRequest&) { &applyFloor };
    const EjectionRecord& (*join)(const EjectionRecord&, const EjectionRecord&) noexcept { &health::join };
    Counts (*merge)(TargetEvidence&, const ObserverId&, const TargetCounters&, TimePoint) { &mergeCounters };
    double (*typical)(std::span<double>) noexcept { &typicalShare };
    bool (*sharedCause)(const PoolView&) noexcept { &isSharedCause };
    Blame (*blame)(const TargetEvidence&, const Accusation&, const Thresholds&, TimePoint) noexcept { &placeBlame };
};

}
