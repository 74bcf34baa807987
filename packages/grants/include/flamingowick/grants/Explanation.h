#pragma once

#include "flamingowick/grants/TargetPool.h"

// Explains where a pool would send a request now, without sending it.
namespace flamingowick::grants {

// Why a target would or wouldn't get the request.
enum class CandidateStanding : std::uint8_t {
    Chosen,
    // The request excludes it, such as because it was tried.
    Excluded,
    // It is shutting down.
    Leaving,
    // All its slots are in use.
    Full,
    // It is at the limit on requests that it names.
    AtLimit,
    // It is likelier to fail than the pool allows.
    Suspected,
    // The request waits for a faster target.
    TooSlow,
    // Another one costs less, or is due a request.
    Costlier,
};

// Returns the standing's name in reports. Never throws.
std::string_view toString(CandidateStanding) noexcept;

struct ExplainedCandidate {
    std::string instance;
    std::string failureDomain;
    CandidateStanding standing { CandidateStanding::Costlier };
    double failureProbability { 0 };
    unsigned inFlight { 0 };
    unsigned slots { 0 };
    // Factor by which requests take longer there than usual; 1 while the pool doesn't place by cost.
    double slowness { 1 };
    // Expected time of the attempts in flight, added up, and of the request itself; 0 while they aren't known.
    double remainingSeconds { 0 };
    double completionSeconds { 0 };
    // The term by which the pool compares targets.
    double cost { 0 };
};

struct Explanation {
    // None when the request would be queued.
    std::optional<Decision> decision;
    // Set when it would be queued.
    Duration expectedWait { 0 };
    // All targets, the chosen one first, then by increasing cost.
    std::vector<ExplainedCandidate> candidates;
};

// Decides on a copy of the pool as requestGrant() would, and explains the decision. Copies the pool; linear in its
// targets, attempts and queued requests.
Explanation explainPlacement(const TargetPool&, const GrantRequest&, TimePoint now);

}
