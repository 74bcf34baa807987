#pragma once

#include "flamingowick/cost/Slowness.h"
#include "flamingowick/grants/Belief.h"
#include "flamingowick/grants/FairShares.h"
#include "flamingowick/grants/RequestLimit.h"
#include "flamingowick/grants/RetryBudget.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Assigns the requests of one service to its targets and queues requests while all slots are in use. The service's
// dispatcher keeps one pool, which sees all requests; an entry that reaches no dispatcher decides by its local pool.
// Deterministic; does no I/O.
namespace flamingowick::grants {

// Identifies an attempt: the entry that received the caller's request, and a number that is unique at this entry.
struct AttemptId {
    std::uint64_t entry { 0 };
    std::uint64_t number { 0 };

    auto operator<=>(const AttemptId&) const = default; // NOLINT(modernize-use-nullptr)
};

// A target as the object store lists it.
struct ListedTarget {
    // Identifies the target's incarnation.
    std::string instance;
    std::string address;
    std::string failureDomain;
    unsigned slots { 1 };
    // The target is shutting down and must get no new requests.
    bool leaving { false };
    // Time left until the target has warmed up after its start.
    Duration warmUpTime { 0 };
    // Requests per second, more than 0, that the pool may grant to the target; none if it names no limit.
    std::optional<double> requestsPerSecond {};
    // When the target started, in milliseconds since the Unix epoch; 0 when it isn't known. One that restarts under the same
    // instance name has another start time.
    std::int64_t startedAt { 0 };
};

struct GrantRequest {
    AttemptId attemptId;
    // Identifies the caller's request in logs.
    std::string requestId;
    // Priority in the queue; 0 is the highest.
    unsigned priority { 0 };
    // The request may run more than once, so that an attempt at a failing target costs it only time.
    bool idempotent { false };
    // Groups requests of similar latency, such as by a hash of the route. Each group has a latency profile.
    std::uint64_t workload { 0 };
    // Identifies the organisation that sends the request, such as by a hash of its name; 0 when there are none.
    std::uint64_t organisation { 0 };
    // The responses of the request's route are large, so that the path they take matters.
    bool largeResponse { false };
    // The attempt is not the request's first: a retry or a hedge.
    bool isRetry { false };
    // Another attempt of the request is in flight and may still answer, so that this one isn't queued.
    bool isHedge { false };
    // The request adds to the retry budget. An entry sets this in one message for each of its caller's requests, however
    // many dispatchers and groups it asks.
    bool earnsRetryCredit { false };
    // Time by which the attempt has to end.
    TimePoint deadline;
    // The caller's latency objective, counted from the request's arrival.
    Duration latencyObjective { 0 };
    // Failure domain of the entry.
    std::string failureDomain;
    // Instances that must not be chosen, such as those already tried.
    std::vector<std::string> excludedInstances;
    // Instances to which the entry has an idle connection.
    std::vector<std::string> idleConnectionInstances;
};

enum class DecisionKind : std::uint8_t {
    Granted,
    Refused,
};

enum class RefusalReason : std::uint8_t {
    None,
    // The service has no eligible target.
    NoTarget,
    // No slot is expected to become free in time.
    NoSlotInTime,
    // The retry budget is exhausted.
    RetryBudgetExhausted,
    // The request crashes the targets that run it. Pools don't decide this; their owner does.
    RequestQuarantined,
};

// Returns the reason's name in logs. Never throws.
std::string_view toString(RefusalReason) noexcept;

// The decision on one grant request.
struct Decision {
    AttemptId attemptId;
    // As in the request.
    std::string requestId;
    DecisionKind kind { DecisionKind::Granted };
    // Instance of the target; empty when refused.
    std::string instance;
    RefusalReason reason { RefusalReason::None };
    // Delay after which another request is likely to be granted. Set when refused.
    Duration retryAfter { 0 };
    // Age from which an attempt without a response makes its target more likely failing than healthy. Set when granted.
    Duration suspicionAge { 0 };
    // State that led to the decision: the probability that the target is failing, the number of attempts in flight
    // at the target before this one, and the number of queued requests.
    double failureProbability { 0 };
    unsigned inFlight { 0 };
    std::size_t queueLength { 0 };
    // Granted: the target names a limit on its requests. Refused: all eligible targets name one, and are at it.
    bool limited { false };
    // As in the request; and the tokens that the retry budget held after the decision.
    bool isRetry { false };
    double retryTokens { 0 };
};

// How the pool decides which requests run while its targets have too little room.
enum class AdmissionOrder : std::uint8_t {
    // By priority, then in the order of arrival.
    Arrival,
    // By priority, then by shares of the organisations, then by the latest start that still meets the objective.
    Shares,
};

struct PoolLimits {
    AdmissionOrder admissionOrder { AdmissionOrder::Arrival };
    // Targets whose probability of failure exceeds this are suspected and not eligible.
    double maxFailureProbability { 0.55 };
    // Share of the targets that always stays eligible, even if suspected.
    double minEligibleShare { 0.5 };
    // Limit on queued requests for each slot.
    unsigned maxQueuedPerSlot { 8 };
    // Share of the targets that gets a request within each coverage window, so that verdicts are tested and the load
    // isn't concentrated on a few targets.
    double coverageShare { 0.7 };
    // The same while some healthy targets have had no request in the window, so that none of them is starved.
    double healthyCoverageShare { 0.85 };
    // Recent shares of lost requests, by which verdicts on targets are trusted or doubted. Up to the first, the coverage
    // shares apply as set; from the second on, all targets get a request within each window; in between, coverage
    // rises linearly. The platform requires full coverage above a loss of one tenth of a service, of which one of its groups
    // may lose less.
    double normalCoverageLossShare { 0.05 };
    double fullCoverageLossShare { 0.08 };
    Duration coverageWindow { std::chrono::milliseconds(1850) };
    // Requests with large responses go to a target in their entry's failure domain where one has room and is as healthy.
    bool nearForLargeResponses { false };
    // Targets are chosen by the expected completion of the request, from the work that requests like it have cost, each
    // target's slowness, and the work that it still has to do.
    bool placeByCost { false };
};

// An attempt that occupies a slot.
struct AttemptInFlight {
    TimePoint startedAt;
    std::uint64_t workload { 0 };
    // When the entry was last asked whether the attempt is still running; none if it has not been asked.
    std::optional<TimePoint> queriedAt {};
    // Time by which the attempt has to end; none if it was started without a grant of this pool.
    std::optional<TimePoint> deadline {};
    // Age from which the attempt has lasted longer than nearly all that are answered; zero if it was started without a
    // grant of this pool.
    Duration overdueAge { 0 };
    // As in the request.
    std::uint64_t organisation { 0 };
    // The work that was expected when the pool learned of the attempt.
    cost::Estimate expected {};
    // The attempt took the target's last slot.
    bool tookLastSlot { false };
};

struct PooledTarget {
    ListedTarget listed;
    Belief belief;
    TimePoint warmUpEndsAt;
    TimePoint lastGrantedAt;
    // Breaks ties between targets of equal cost.
    std::uint64_t tieBreaker { 0 };
    // Set while the target names a limit on its requests.
    std::optional<RequestLimit> requestLimit {};
    std::map<AttemptId, AttemptInFlight> inFlight;
    // Against the expected work, apart from warming up and from the last slot. Learned while the pool places by cost.
    cost::Slowness slowness {};
};

struct QueuedRequest {
    GrantRequest request;
    TimePoint queuedAt;
    // Latest starts at which the request is expected to meet its deadline and its objective. Set under admission by shares.
    TimePoint latestStart {};
    TimePoint latestStartForObjective {};
};

// The rate at which slots become free, as an exponentially decaying average.
struct SlotReleaseRate {
    double perSecond { 0 };
    TimePoint updatedAt;
};

// Exponentially decaying counts of the attempts that ended and of the time, summed over slots, for which slots were held.
struct SlotTime {
    double ended { 0 };
    double seconds { 0 };
    TimePoint updatedAt;
};

// Exponentially decaying counts of the requests of each priority; the last one counts all lower priorities too.
struct ArrivalCounts {
    std::array<double, 8> byPriority {};
    TimePoint updatedAt;
};

// Exponentially decaying counts of the attempts and requests that ended, and of those among them that were lost.
struct LossCounts {
    double ended { 0 };
    double lost { 0 };
    TimePoint updatedAt;
};

struct TargetPool {
    // Seeds the tie breakers. It differs from pool to pool, so that entries that decide locally don't all choose the
    // same one of equal targets. Set it before the first call of setTargets.
    std::uint64_t tieBreakerSeed { 0 };
    PoolLimits limits;
    BeliefModel model;
    // Latency of all requests, and of each workload separately.
    LatencyProfile overallLatency;
    std::map<std::uint64_t, LatencyProfile> latencyByWorkload;
    RetryBudget retryBudget;
    std::map<std::string, PooledTarget, std::less<>> targets;
    // The instance at which each attempt runs.
    std::map<AttemptId, std::string> instanceByAttempt;
    // Queued requests in the order in which they are served: by priority, then by arrival.
    std::multimap<unsigned, QueuedRequest> queue;
    SlotReleaseRate releaseRate;
    LossCounts lossCounts;
    // State of admission by shares; unused otherwise.
    FairShares shares;
    SlotTime slotTime;
    ArrivalCounts arrivals;
    // Requests served from the queue since the last one that was past its objective.
    unsigned servedSinceLate { 0 };
    // Time at which the next refused caller is told to return.
    TimePoint nextReturnAt;
    // Slots freed because the end of their attempts was not reported within the longest time that attempts last. Stays 0
    // unless messages about an attempt were lost in ways that asking its entry does not cover.
    std::uint64_t slotsFreedByAge { 0 };
    // Arrival of the last idempotent request. While there are any, they test the suspected targets.
    TimePoint lastIdempotentAt;
    // Time since which the queue has not been empty; none while it is empty. While requests are queued, the release
    // rate shows the capacity of the targets; otherwise it shows the demand.
    std::optional<TimePoint> queueNonEmptySince;
    // The work of the service's requests, and by how much targets are slower while all their slots are in use. Learned
    // while the pool places by cost.
    cost::CostModel costModel {};
    cost::Slowness lastSlotSlowness {};
};

// Replaces the list of targets. Targets that stay keep their state; one that has restarted, by its start time or address,
// begins anew, and reports on attempts at the earlier one are ignored from then on. Returns grants for queued requests that found a
// slot. Linear in the targets for each queued request.
std::vector<Decision> setTargets(TargetPool&, std::span<const ListedTarget>, TimePoint now);

// Requests a target. Returns the decision on this request, or none when the request is queued. Resending a request
// whose reply was lost returns the same target again, or leaves the request at its place in the queue. Linear in the
// targets.
std::vector<Decision> requestGrant(TargetPool&, GrantRequest, TimePoint now);

// Records an attempt that was started without a grant of this pool; it counts against its target's limit. Attempts at
// unknown targets are ignored. Logarithmic in the attempts.
void recordStartedAttempt(TargetPool&, const AttemptId&, std::string_view instance, const AttemptInFlight&, TimePoint now);

// Records the end of an attempt and frees its slot; a queued request with this ID is removed. Unknown attempts are
// ignored. Returns grants for queued requests that found a slot.
std::vector<Decision> finishAttempt(TargetPool&, const AttemptId&, AttemptOutcome, Duration duration, TimePoint now);

// Removes a request from the queue. Unknown requests are ignored. Linear in the queued requests.
void cancelQueued(TargetPool&, const AttemptId&);

// Frees the slots of attempts whose end was never reported, grants them to queued requests, and refuses queued
// requests that can no longer be served in time. Call it periodically. Linear in the queued requests and attempts.
std::vector<Decision> expireOverdue(TargetPool&, TimePoint now);

// Returns the attempts of which the entries are to be asked whether they are still running, because they have lasted
// longer than most or the last question is a second old. An end that was lost is known by this within about a second.
// Linear in the attempts.
std::vector<AttemptId> attemptsToQuery(TargetPool&, TimePoint now);

// Frees the slots of an entry's attempts and removes its queued requests, because the entry has restarted. Returns grants
// for queued requests that found a slot. Linear in the attempts and queued requests.
std::vector<Decision> releaseEntry(TargetPool&, std::uint64_t entry, TimePoint now);

// Returns the probability that a target is failing, with its attempts in flight as evidence. Linear in these.
double failureProbability(const TargetPool&, const PooledTarget&, TimePoint now);

}
