#pragma once

#include "flamingowick/health/Decisions.h"
#include "flamingowick/health/Events.h"
#include "flamingowick/health/Floor.h"
#include "flamingowick/health/LatencyBaseline.h"

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

// Detects failing targets of one service by the outcomes of its requests, ejects them without reducing
// capacity below the floor, and readmits them once they recover. Every daemon runs it on its own state and
// exchanges summaries with its peers. Daemons that have merged the same summaries and know the same targets
// and document apply the same restrictions.
namespace flamingowick::health {

struct ListedTarget {
    bool leaving { false };
    TimePoint warmUntil {};
    // Earlier evidence belongs to another target that had the same address. Unset for targets of the first list.
    TimePoint evidenceFrom {};
};

struct SharedCauseState {
    bool on { false };
    TimePoint lastSeen {};
};

// A daemon's health state for one service. Times must come from a clock that is synchronised across the
// fleet's daemons to within clockTolerance.
struct HealthState {
    HealthPolicy policy;
    TargetLimits limits;
    Decisions decisions;
    bool targetsKnown { false };
    std::map<TargetAddress, ListedTarget, std::less<>> targets;
    Evidence evidence;
    // Indexed by whether the request is idempotent.
    std::array<LatencyBaseline, 2> baselines;
    EjectionRecords records;
    // Targets with a recent failed probe or overload report, and when the suspicion expires.
    std::map<TargetAddress, TimePoint, std::less<>> suspectUntil;
    SharedCauseState sharedCause;
    std::vector<Restriction> applied;
    std::vector<Restriction> heldBack;
    TimePoint prunedAt {};
};

// The reasons for a target's present traffic share.
struct Explanation {
    TargetAddress target;
    StandingShare standing;
    bool heldBackByFloor { false };
    bool sharedCause { false };
    std::optional<EjectionRecord> record;
    // One score for each symptom, the higher of the fine and the coarse ring's.
    std::array<Score, symptomCount> scores;
    double threshold { 0 };
    std::size_t observers { 0 };
};

// Applies an event to the state and returns the resulting actions. A successful request to an unrestricted target costs
// O(log targets), a failed or slow one O(targets * buckets), and a summary O(its size) plus the cost of a
// failed request for each target in it. Throws InvariantViolation 901 if the restrictions would reduce capacity
// below the floor, and std::bad_alloc. The state must not be used after an exception.
std::vector<Action> handle(HealthState&, const Event&, TimePoint now);

// Returns the summary to send to peers: the observer's own counters since the given time, and all ejection
// records. Linear in the size of the state; may throw std::bad_alloc.
PooledSummary makeSummary(const HealthState&, const ObserverId&, TimePoint since);

// Returns a target's standing for traffic from a failure domain, as of the last event. O(restrictions); never
// throws.
StandingShare standingOf(const HealthState&, std::string_view target, std::string_view fromFailureDomain) noexcept;

// Returns the number of unrestricted slots for traffic from a failure domain. O(targets * restrictions); may
// throw std::bad_alloc.
unsigned healthyCapacity(const HealthState&, std::string_view fromFailureDomain, TimePoint now);

// Explains a target's present traffic share. O(buckets); may throw std::bad_alloc.
Explanation explain(const HealthState&, std::string_view target, TimePoint now);

}
