#pragma once

#include "flamingowick/dispatch/Policy.h"
#include "flamingowick/dispatch/ServiceTime.h"

#include <set>
#include <unordered_map>
#include <unordered_set>

// The dispatcher of one service: it sees each request in flight to the service's targets, gives out
// their slots, and decides on waiting, retries and refusals. Deterministic, without I/O.
namespace flamingowick::dispatch {

// An attempt that has not been reported as ended.
struct Attempt {
    TargetAddress target;
    // The life of the target at the start.
    std::uint64_t life { 0 };
    TimePoint startedAt;
    // What the caller was charged at the start.
    Duration expected { 0 };
};

// A request from its submission until it is finished and its last attempt has ended.
struct ActiveRequest {
    Ticket ticket;
    // Targets of the attempts so far.
    std::vector<TargetAddress> tried;
    std::optional<Attempt> attempt;
    // An attempt may have run the request; known only after the attempt has ended.
    bool mayHaveRun { false };
    // The final answer was given; the attempt is being cancelled.
    bool finished { false };
    // When the request is given up: the end of its wait or its deadline.
    TimePoint expiry;
};

// A time at which something about a request ends.
struct Expiry {
    TimePoint at;
    RequestId id;

    // Orders by time, then by request. Never throws.
    bool operator<(const Expiry& other) const noexcept;
};

struct DispatcherState {
    ServiceDocument document;
    Policy policy;
    // Failure domain of this dispatcher, for evidence.
    std::string failureDomain;
    TargetTable targets;
    WaitQueue queue;
    RetryBudget retries;
    CrashLedger crashes;
    ServiceTime serviceTime;
    std::unordered_map<RequestId, ActiveRequest> requests;
    std::set<Expiry> expiries;
    // Attempts in flight by fingerprint.
    std::unordered_map<std::uint64_t, unsigned> running;
    // Requests that were submitted, kept so long that a copy of the message that arrives late is not
    // run again.
    std::unordered_set<RequestId> seen;
    std::set<Expiry> seenUntil;
    std::uint64_t random { 0 };
};

// Makes a dispatcher without targets. seed determines how ties between targets are broken.
DispatcherState makeDispatcher(ServiceDocument, std::string_view failureDomain, std::uint64_t seed, TimePoint now);

// Takes in one event and returns what is to be done, in order. now must not go back between calls.
// Each submitted request gets exactly one Finish or PassAnswer, unless its id was submitted before;
// then nothing is done. Throws InvariantViolation when a promise would be broken, after which the
// state must not be used; may throw std::bad_alloc with the same effect. Cost: linear in the targets
// and in the waiting callers for each attempt that starts.
std::vector<Action> handle(DispatcherState&, const Event&, TimePoint now);

// Returns when a Tick is due at the latest, none when no request waits or runs. Constant time.
std::optional<TimePoint> nextWake(const DispatcherState&, TimePoint now);

}
