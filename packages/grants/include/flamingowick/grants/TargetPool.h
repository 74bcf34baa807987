#pragma once

#include "flamingowick/grants/Belief.h"
#include "flamingowick/grants/RetryBudget.h"

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
struct AttemptKey {
    std::uint64_t entry { 0 };
    std::uint64_t number { 0 };

    auto operator<=>(const AttemptKey&) const = default; // NOLINT(modernize-use-nullptr)
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
    Duration cold { 0 };
};

struct GrantRequest {
    AttemptKey key;
    // Identifies the caller's request in logs.
    std::string label;
    // Priority in the queue; 0 is the highest.
    unsigned rank { 0 };
    // The request may run more than once, so that an attempt at a failing target costs it only time.
    bool idempotent { false };
    // Groups requests of similar latency, such as by a hash of the route. Each group has a latency profile.
    std::uint64_t workload { 0 };
    // The attempt is not the request's first: a retry or a hedge.
    bool repeat { false };
    // Time by which the attempt has to end.
    TimePoint deadline;
    // The caller's latency objective, counted from the request's arrival.
    Duration objective { 0 };
    // Failure domain of the entry.
    std::string failureDomain;
    // Instances that must not be chosen, such as those already tried.
    std::vector<std::string> avoid;
    // Instances to which the entry has an idle connection.
    std::vector<std::string> warm;
};

enum class Verdict : std::uint8_t {
    Granted,
    Refused,
};

enum class RefusalReason : std::uint8_t {
    None,
    // The service has no eligible target.
    NoTarget,
    // No slot is expected to become free in time.
    NoRoom,
    // The retry budget is exhausted.
    NoRetry,
};

// Returns the reason's name in logs. Never throws.
std::string_view toString(RefusalReason) noexcept;

// The decision on one grant request.
struct Decision {
    AttemptKey key;
    // As in the request.
    std::string label;
    Verdict verdict { Verdict::Granted };
    // Instance of the target; empty when refused.
    std::string instance;
    RefusalReason reason { RefusalReason::None };
    // Delay after which another request is likely to be granted. Set when refused.
    Duration retryAfter { 0 };
    // Age from which an attempt without an answer makes its target more likely failing than healthy. Set when granted.
    Duration unusualAfter { 0 };
    // State that led to the decision: the probability that the target is failing, the number of attempts in flight
    // at the target before this one, and the number of queued requests.
    double failing { 0 };
    unsigned inFlight { 0 };
    std::size_t waiting { 0 };
};

struct PoolLimits {
    // Targets whose probability of failure exceeds this are suspected and not eligible.
    double quarantineAbove { 0.55 };
    // Share of the targets that always stays eligible, even if suspected.
    double floorShare { 0.5 };
    // Limit on queued requests for each slot.
    unsigned waitingPerSlot { 8 };
    // Share of the targets that gets a request within each coverage window, so that verdicts are tested and the load
    // isn't concentrated on a few targets.
    double coverageShare { 0.7 };
    // The same while some healthy targets have had no request in the window, so that none of them is starved.
    double soundCoverageShare { 0.85 };
    // Recent shares of lost requests that control coverage. Up to the first, the coverage shares apply as set; from
    // the second on, all targets get a request within each window; in between, coverage rises linearly. The platform
    // requires full coverage above a loss of one tenth.
    double trustBelow { 0.04 };
    double doubtAbove { 0.1 };
    Duration coverageWindow { std::chrono::milliseconds(1850) };
};

// An attempt that occupies a slot.
struct PooledAttempt {
    TimePoint startedAt;
    std::uint64_t workload { 0 };
};

struct PooledTarget {
    ListedTarget listed;
    Belief belief;
    TimePoint coldUntil;
    TimePoint lastGranted;
    // Breaks ties between targets of equal cost.
    std::uint64_t order { 0 };
    std::map<AttemptKey, PooledAttempt> inFlight;
};

struct WaitingRequest {
    GrantRequest request;
    TimePoint since;
};

// The rate at which slots become free, as an exponentially decaying average.
struct ReleaseRate {
    double perSecond { 0 };
    TimePoint at;
};

// Exponentially decaying counts of the attempts and requests that ended, and of those among them that were lost.
struct RecentLosses {
    double ended { 0 };
    double lost { 0 };
    TimePoint at;
};

struct TargetPool {
    // Seeds the tie breakers. It differs from pool to pool, so that entries that decide locally don't all choose the
    // same one of equal targets. Set it before the first call of setTargets.
    std::uint64_t salt { 0 };
    PoolLimits limits;
    BeliefModel model;
    // Latency of all requests, and of each workload separately.
    LatencyProfile latency;
    std::map<std::uint64_t, LatencyProfile> workloads;
    RetryAllowance retries;
    std::map<std::string, PooledTarget, std::less<>> targets;
    // The instance at which each attempt runs.
    std::map<AttemptKey, std::string> attempts;
    // Queued requests in the order in which they are served: by priority, then by arrival.
    std::multimap<unsigned, WaitingRequest> waiting;
    ReleaseRate releases;
    RecentLosses losses;
    // Arrival of the last idempotent request. While there are any, they test the suspected targets.
    TimePoint lastIdempotent;
    // Time since which the queue has not been empty. Only then does the release rate show the capacity: otherwise it
    // shows the demand.
    std::optional<TimePoint> saturatedSince;
};

// Replaces the list of targets. Targets that stay keep their state. Returns grants for queued requests that found a
// slot. Linear in the targets for each queued request.
std::vector<Decision> setTargets(TargetPool&, std::span<const ListedTarget>, TimePoint now);

// Requests a target. Returns the decision on this request, or none when the request is queued. Resending a request
// whose reply was lost returns the same target again, or leaves the request at its place in the queue. Linear in the
// targets.
std::vector<Decision> submit(TargetPool&, GrantRequest, TimePoint now);

// Records an attempt that was started without a grant of this pool. Attempts at unknown targets are ignored.
// Logarithmic in the attempts.
void noteStarted(TargetPool&, const AttemptKey&, std::string_view instance, const PooledAttempt&);

// Records the end of an attempt and frees its slot; a queued request of this key is removed. Unknown attempts are
// ignored. Returns grants for queued requests that found a slot.
std::vector<Decision> finish(TargetPool&, const AttemptKey&, Outcome, Duration lasted, TimePoint now);

// Removes a request from the queue. Unknown requests are ignored. Linear in the queued requests.
void withdraw(TargetPool&, const AttemptKey&);

// Frees the slots of attempts whose end was never reported, grants them to queued requests, and refuses queued
// requests that can no longer be served in time. Call it periodically. Linear in the queued requests and attempts.
std::vector<Decision> expire(TargetPool&, TimePoint now);

// Returns the probability that a target is failing, with its attempts in flight as evidence. Linear in these.
double failing(const TargetPool&, const PooledTarget&, TimePoint now);

}
