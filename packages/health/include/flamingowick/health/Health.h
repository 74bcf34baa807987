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

// Finds gray-failing targets of one service by their real outcomes, keeps traffic from them without
// going below the capacity floor, and lets them return. Every daemon runs it on its own state and
// exchanges summaries; daemons that have merged the same summaries and know the same targets and
// document apply the same restrictions.
namespace flamingowick::health {

struct ListedTarget {
    bool leaving { false };
    TimePoint warmUntil {};
    // Evidence from before the target appeared belongs to another that had its address.
    TimePoint evidenceFrom {};
};

struct SharedCauseState {
    bool on { false };
    TimePoint lastSeen {};
};

// All that a daemon keeps for one service. Times must come from a clock on which the fleet's
// daemons agree to within clockTolerance.
struct HealthState {
    HealthPolicy policy;
    TargetLimits limits;
    Decisions decisions;
    bool targetsKnown { false };
    std::map<TargetAddress, ListedTarget, std::less<>> targets;
    Evidence evidence;
    // One for non-idempotent and one for idempotent requests.
    std::array<LatencyBaseline, 2> baselines;
    EjectionRecords records;
    // Targets whose probes or load reports were bad of late.
    std::map<TargetAddress, TimePoint, std::less<>> suspectUntil;
    SharedCauseState sharedCause;
    std::vector<Restriction> applied;
    std::vector<Restriction> heldBack;
    TimePoint prunedAt {};
};

// Why a target is treated as it is.
struct Explanation {
    TargetAddress target;
    StandingShare standing;
    bool heldBackByFloor { false };
    bool sharedCause { false };
    std::optional<EjectionRecord> record;
    // The present evidence, one score for each symptom, from the ring that says more.
    std::array<Score, symptomCount> scores;
    double threshold { 0 };
    std::size_t observers { 0 };
};

// Takes in one event and returns what has to change. The cost of an ordinary good answer is O(log
// targets); of a bad one O(targets * buckets); of a summary O(its size) and that of a bad answer for
// each target in it. Throws InvariantViolation 901 when the restrictions would break the floor, and
// std::bad_alloc; the state must then not be used further.
std::vector<Action> handle(HealthState&, const Event&, TimePoint now);

// Makes the summary to send to peers: the observer's own counters since a time and every record in
// force. Linear in the size of the result; may throw std::bad_alloc.
PooledSummary makeSummary(const HealthState&, const ObserverId&, TimePoint since);

// Returns the standing of a target for traffic from a failure domain, as the last event left it.
// O(restrictions); never throws.
StandingShare standingOf(const HealthState&, std::string_view target, std::string_view fromFailureDomain) noexcept;

// Returns the slots in full use for traffic from a failure domain. O(targets * restrictions); may
// throw std::bad_alloc.
unsigned healthyCapacity(const HealthState&, std::string_view fromFailureDomain, TimePoint now);

// Explains a target's treatment. O(buckets); may throw std::bad_alloc.
Explanation explain(const HealthState&, std::string_view target, TimePoint now);

}
