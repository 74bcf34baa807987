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

// Returns the bad share of the pool's typical target: the lower median of the shares of the targets
// other than the accused, 0 when there are none. Reorders the shares. Linear; never throws.
double typicalShare(std::span<double> sharesOfOthers) noexcept;

// Returns true when more than half of two or more observed targets are suspect. Never throws.
bool isSharedCause(const PoolView&) noexcept;

// Returns true when, since the verdict's evidence began, another failure domain has seen the target
// healthy. O(failure domains * buckets); never throws.
bool blamesPath(const TargetEvidence&, std::string_view fromFailureDomain, const Verdict&, double clearEvidence) noexcept;

struct Decisions {
    FloorVerdict (*floor)(const FloorRequest&) { &applyFloor };
    const EjectionRecord& (*join)(const EjectionRecord&, const EjectionRecord&) noexcept { &health::join };
    void (*merge)(TargetEvidence&, const ObserverId&, const TargetCounters&, TimePoint) { &mergeCounters };
    double (*typical)(std::span<double>) noexcept { &typicalShare };
    bool (*sharedCause)(const PoolView&) noexcept { &isSharedCause };
    bool (*path)(const TargetEvidence&, std::string_view, const Verdict&, double) noexcept { &blamesPath };
};

}
