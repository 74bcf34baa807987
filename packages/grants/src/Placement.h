#pragma once

#include "flamingowick/grants/TargetPool.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// Chooses the target of a request among those of a pool.
namespace flamingowick::grants {

// A target that may get new requests.
struct Candidate {
    PooledTarget* target { nullptr };
    double failureProbability { 0 };
};

struct Choice {
    // Null when no target has room.
    PooledTarget* target { nullptr };
    double failureProbability { 0 };
    // A target might take the request later, though none can now.
    bool hasEligible { false };
    // Set when the caller is better served if the request waits for a sounder or faster target: the best of those that have
    // room, for a request that can't wait. Then target is null.
    PooledTarget* fallback { nullptr };
};

// Whether the target's probability of failure is low enough for it to get any request.
bool isHealthy(const TargetPool&, const Candidate&) noexcept;

// Number of the target's slots that are in use.
unsigned usedSlots(const PooledTarget&) noexcept;

// Whether the target names a limit on its requests and is at it.
bool isAtLimit(const PooledTarget&, TimePoint now) noexcept;

// Whether the target can be granted to a request now.
bool hasRoom(const PooledTarget&, TimePoint now) noexcept;

// Whether the name is one of the names. Linear.
bool contains(std::span<const std::string> names, std::string_view name);

// Returns the latency profile of the workload, or that of all requests while the workload has few responses.
const LatencyProfile& latencyProfileFor(const TargetPool&, std::uint64_t workload);

// Returns the targets that aren't leaving. Linear in the targets and their attempts.
std::vector<Candidate> presentTargets(TargetPool&, TimePoint now);

// Returns the targets that may get new requests, by increasing probability of failure. Linear in the targets and their
// attempts, and sorts the targets.
std::vector<Candidate> eligibleTargets(TargetPool&, TimePoint now);

// By which factor an attempt at the target takes longer while it warms up.
double warmUpFactor(const PooledTarget&, TimePoint now) noexcept;

// By which factor the time of an attempt at the target is taken as usual when it is judged as evidence of failure: a target
// that is slow but answers isn't failing. 1 unless the pool places by cost.
double soundSlowness(const TargetPool&, const PooledTarget&, TimePoint now) noexcept;

// Returns the features of a request by which the pool knows its work.
cost::Features featuresOf(std::uint64_t workload, std::uint64_t organisation) noexcept;

// Learns the work of a request and the slowness of its target from a response. Constant time.
void recordWork(TargetPool&, PooledTarget&, const AttemptInFlight&, Duration, TimePoint now);

// What the placement holds of a target for a request.
struct TargetJudgement {
    // Factor by which requests take longer there than usual.
    double slowness { 1 };
    // Expected time of the attempts in flight, added up, and of the request; 0 while they aren't known.
    double remainingSeconds { 0 };
    double completionSeconds { 0 };
    // The request is expected to end after its objective.
    bool isLate { false };
    // The term by which targets are compared.
    double cost { 0 };
};

// Returns what the placement holds of the target. Linear in the target's attempts.
TargetJudgement judge(const TargetPool&, const PooledTarget&, const GrantRequest&, TimePoint now);

// Chooses the target for a request. Linear in the targets and their attempts.
Choice chooseTarget(TargetPool&, const GrantRequest&, TimePoint now);

}
