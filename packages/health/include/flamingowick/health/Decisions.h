#pragma once

#include "flamingowick/health/EjectionRecord.h"
#include "flamingowick/health/Evidence.h"
#include "flamingowick/health/Floor.h"
#include "flamingowick/health/SequentialTest.h"

#include <span>
#include <string_view>

// The decision functions of the health policy, which tests can replace.
namespace flamingowick::health {

// A test whose score has reached its threshold.
struct Verdict {
    SequentialTest test;
    Score score;
    double threshold { 0 };
};

// The number of targets with recent traffic, and of those among them that are suspect by their own evidence,
// without comparison with the pool.
struct PoolView {
    std::size_t observed { 0 };
    std::size_t suspect { 0 };
};

// Returns the share of bad outcomes of the pool's typical target: the upper median over all targets other than
// the one evaluated, 0 if there are none. It is high exactly if the evaluated target and others as bad make up more
// than half of the pool. Reorders the shares. Linear; never throws.
double typicalShare(std::span<double> sharesOfOthers) noexcept;

// Returns true if at least two targets are observed and more than half of them are suspect. Never throws.
bool isSharedCause(const PoolView&) noexcept;

// Whether a failure seen from one failure domain is the fault of the target or of the network path.
enum class Blame : std::uint8_t {
    Target,
    // Another failure domain has since observed the target healthy.
    Path,
    // Another failure domain uses the target and its evidence favours healthy, but is not yet sufficient.
    Undecided,
};

// One failure domain's verdict against a target.
struct Accusation {
    std::string_view fromFailureDomain;
    Verdict verdict;
};

// Compares an accusation with the evidence of other failure domains over the same period. An accusation whose
// score has reached Thresholds::ceiling is never left undecided. O(failure domains * buckets); never throws.
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
