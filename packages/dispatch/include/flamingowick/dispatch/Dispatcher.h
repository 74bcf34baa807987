#pragma once

#include "flamingowick/dispatch/Policy.h"
#include "flamingowick/dispatch/ServiceTime.h"

#include <set>
#include <unordered_map>
#include <unordered_set>

// The dispatcher of one service. It tracks every request in flight to the service's targets, assigns target slots, and
// decides which requests are queued, retried or refused. It is deterministic and does no I/O.
namespace flamingowick::dispatch {

// An attempt whose end has not been reported yet.
struct Attempt {
    TargetAddress target;
    // TargetState::life when the attempt started.
    std::uint64_t life { 0 };
    TimePoint startedAt;
    // Slot time that was charged to the caller when the attempt started.
    Duration expected { 0 };
};

// A request, kept from its submission until it has a final answer and its last attempt has ended.
struct ActiveRequest {
    Ticket ticket;
    // Targets of all attempts so far, including the current one.
    std::vector<TargetAddress> tried;
    std::optional<Attempt> attempt;
    // Whether an attempt that has ended may have run the request.
    bool mayHaveRun { false };
    // Whether the final answer has been given; a remaining attempt is then being cancelled.
    bool finished { false };
    // When the request is cancelled: at the end of its queue time limit while it is queued, else at its deadline.
    TimePoint expiry;
};

// The time at which a request, or the record of its id, expires.
struct Expiry {
    TimePoint at;
    RequestId id;

    // Orders by time, then by request id. Never throws.
    bool operator<(const Expiry& other) const noexcept;
};

struct DispatcherState {
    ServiceDocument document;
    Policy policy;
    // Failure domain of this dispatcher, stated in its evidence.
    std::string failureDomain;
    TargetTable targets;
    WaitQueue queue;
    RetryBudget retries;
    CrashLedger crashes;
    ServiceTime serviceTime;
    std::unordered_map<RequestId, ActiveRequest> requests;
    std::set<Expiry> expiries;
    // Number of attempts in flight for each fingerprint.
    std::unordered_map<std::uint64_t, unsigned> running;
    // Ids of submitted requests. They are kept after the request has finished, so that a delayed duplicate of the
    // submission does not run the request again.
    std::unordered_set<RequestId> seen;
    std::set<Expiry> seenUntil;
    std::uint64_t random { 0 };
};

// Creates a dispatcher without targets. The seed determines how ties between targets are broken.
DispatcherState makeDispatcher(ServiceDocument, std::string_view failureDomain, std::uint64_t seed, TimePoint now);

// Handles one event and returns the actions to carry out, in order. now must not decrease between calls. Each
// submitted request gets exactly one Finish or PassAnswer; a submission with an id that was submitted before is
// ignored. Throws InvariantViolation when an invariant would be violated, and may throw std::bad_alloc; the state
// must not be used after either. Cost: for each attempt that starts, linear in the number of targets and of callers
// with queued requests.
std::vector<Action> handle(DispatcherState&, const Event&, TimePoint now);

// Returns the latest time at which the next Tick must be sent, or nullopt if no request awaits its final answer.
// Constant time.
std::optional<TimePoint> nextWake(const DispatcherState&, TimePoint now);

}
