#pragma once

#include "flamingowick/grants/Belief.h"
#include "flamingowick/grants/RetryAllowance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Who may send a request to which target of one service, and when. A dispatcher keeps one pool for a
// service and sees all requests; an entry that reaches no dispatcher decides with a pool of its own.
// Deterministic, without I/O.
namespace flamingowick::grants {

// One attempt: the entry that holds the caller's request, and a number that it doesn't use again.
struct AttemptKey {
    std::uint64_t entry { 0 };
    std::uint64_t number { 0 };

    auto operator<=>(const AttemptKey&) const = default; // NOLINT(modernize-use-nullptr)
};

// A target as the platform lists it.
struct ListedTarget {
    // Names one life of the target.
    std::string instance;
    std::string address;
    std::string failureDomain;
    unsigned slots { 1 };
    // Takes no new requests.
    bool leaving { false };
    // How much longer it is slow after its start.
    Duration cold { 0 };
};

struct GrantRequest {
    AttemptKey key;
    // Names the caller's request in logs.
    std::string label;
    // 0 is served first.
    unsigned rank { 0 };
    // The request may run more than once, so that a failing target costs it time only.
    bool idempotent { false };
    // Tells requests apart whose work takes different times, such as a hash of the route.
    std::uint64_t workload { 0 };
    // An attempt beyond the request's first.
    bool repeat { false };
    // The attempt has to end by then.
    TimePoint deadline;
    // Within this time of its arrival the answer is worth most.
    Duration objective { 0 };
    // Failure domain of the entry.
    std::string failureDomain;
    // Instances that must not be chosen.
    std::vector<std::string> avoid;
    // Instances to which the entry holds an idle connection.
    std::vector<std::string> warm;
};

enum class Verdict : std::uint8_t {
    Granted,
    Refused,
};

enum class RefusalReason : std::uint8_t {
    None,
    // The service has no target that may take requests.
    NoTarget,
    // No slot will be free in time.
    NoRoom,
    // Attempts beyond the first have used up their allowance.
    NoRetry,
};

// Returns the reason as logs show it. Never throws.
std::string_view toString(RefusalReason) noexcept;

// The word on one request.
struct Decision {
    AttemptKey key;
    // As in the request.
    std::string label;
    Verdict verdict { Verdict::Granted };
    // Instance of the target; empty when refused.
    std::string instance;
    RefusalReason reason { RefusalReason::None };
    // When asking again is likely to succeed. Set when refused.
    Duration retryAfter { 0 };
    // Age at which an attempt without an answer makes it likelier than not that the target is failing.
    // Set when granted.
    Duration unusualAfter { 0 };
    // What decided: probability that the target is failing, its requests in flight and the waiting
    // requests.
    double failing { 0 };
    unsigned inFlight { 0 };
    std::size_t waiting { 0 };
};

struct PoolLimits {
    // Above this probability a target takes no work.
    double quarantineAbove { 0.55 };
    // Share of the targets that always stays eligible, however bad they look.
    double floorShare { 0.5 };
    // Requests that may wait for each slot.
    unsigned waitingPerSlot { 8 };
    // Share of the targets that gets a request within each window, so that verdicts are tested and the
    // load never rests on a few.
    double coverageShare { 0.7 };
    // The same as long as targets that look sound have had none, so that none of them is starved.
    double soundCoverageShare { 0.85 };
    // Shares of the requests that were lost of late: up to the first the verdicts on targets are trusted,
    // from the second on they are doubted, and all targets get a request within each window. The platform
    // asks for this above a tenth.
    double trustBelow { 0.04 };
    double doubtAbove { 0.1 };
    Duration coverageWindow { std::chrono::milliseconds(1850) };
};

// An attempt that holds a slot.
struct PooledAttempt {
    TimePoint startedAt;
    std::uint64_t workload { 0 };
};

struct PooledTarget {
    ListedTarget listed;
    Belief belief;
    TimePoint coldUntil;
    TimePoint lastGranted;
    // Decides between equals.
    std::uint64_t order { 0 };
    std::map<AttemptKey, PooledAttempt> inFlight;
};

struct WaitingRequest {
    GrantRequest request;
    TimePoint since;
};

// How often slots become free, as an exponentially weighted rate.
struct ReleaseRate {
    double perSecond { 0 };
    TimePoint at;
};

// Requests that ended and those among them that were not served, both fading with time.
struct RecentLosses {
    double ended { 0 };
    double lost { 0 };
    TimePoint at;
};

struct TargetPool {
    // Differs from pool to pool, so that entries that decide alone don't all choose the same of equal
    // targets. Set before the first list of targets.
    std::uint64_t salt { 0 };
    PoolLimits limits;
    BeliefModel model;
    // Latency of all requests, and of each workload by itself.
    LatencyProfile latency;
    std::map<std::uint64_t, LatencyProfile> workloads;
    RetryAllowance retries;
    std::map<std::string, PooledTarget, std::less<>> targets;
    // Where each attempt runs.
    std::map<AttemptKey, std::string> attempts;
    // In the order in which they are served: by rank, then by arrival.
    std::multimap<unsigned, WaitingRequest> waiting;
    ReleaseRate releases;
    RecentLosses losses;
    // When a repeatable request was asked for last: these test the targets under suspicion.
    TimePoint lastIdempotent;
    // Since when requests have been waiting without a break; the pace tells of the capacity only then.
    std::optional<TimePoint> saturatedSince;
};

// Replaces the list of targets; what was learnt about those that stay is kept. Returns the decisions
// that become possible. Linear in the targets and the waiting requests.
std::vector<Decision> setTargets(TargetPool&, std::span<const ListedTarget>, TimePoint now);

// Asks for a target. Returns this request's decision, or none while it waits. Asking again with the
// same key, since an answer was lost, repeats the decision. Linear in the targets.
std::vector<Decision> submit(TargetPool&, GrantRequest, TimePoint now);

// Notes an attempt that was started without this pool's grant. Linear in the target's attempts.
void noteStarted(TargetPool&, const AttemptKey&, std::string_view instance, const PooledAttempt&);

// Takes in the end of an attempt, after which its slot is free. Ends of unknown attempts are ignored.
std::vector<Decision> finish(TargetPool&, const AttemptKey&, Outcome, Duration lasted, TimePoint now);

// Drops a request that waits; its entry no longer wants it.
void withdraw(TargetPool&, const AttemptKey&);

// Does what time calls for: refuses requests that can't be served in time any more and drops
// attempts whose end was never reported. Linear in the waiting requests and attempts.
std::vector<Decision> expire(TargetPool&, TimePoint now);

// Returns the probability that a target is failing, its attempts in flight included. Linear in these.
double failing(const TargetPool&, const PooledTarget&, TimePoint now);

}
