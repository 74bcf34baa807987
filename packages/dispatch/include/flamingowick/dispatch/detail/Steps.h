#pragma once

#include "flamingowick/dispatch/Dispatcher.h"

// The steps that the event handlers share. Each appends to the actions.
namespace flamingowick::dispatch::detail {

// One call of handle().
struct Step {
    DispatcherState& state;
    TimePoint now;
    std::vector<Action>& actions;
};

// How long to wait before asking again, from the length of the queue. At least one second.
std::chrono::seconds suggestRetryAfter(const DispatcherState&, TimePoint now);

// Gives the request the fleet's own final answer, at once. Cancels its attempt, which keeps its slot
// until it is reported as ended. The id must not be a part of the state.
void finish(Step&, const RequestId&, FinishReason, unsigned status, std::optional<std::chrono::seconds> retryAfter);

// Returns until when a fingerprint of the ticket is refused, none when none is.
std::optional<TimePoint> refusedUntil(const Step&, const Ticket&);

// Finishes the request as quarantined if a fingerprint of it is refused. Returns whether it did.
bool finishIfRefused(Step&, const RequestId&);

// Puts the request into the queue, before the caller's others when first is true.
void wait(Step&, const RequestId&, bool first);

// Finishes requests that are too many for the queue.
void shortenQueue(Step&);

// Finishes all requests whose wait or deadline has ended.
void expire(Step&);

// Starts attempts as long as a waiting request can be placed.
void place(Step&);

// Takes in the end of an attempt: slot, evidence, crash accounting, then the answer or a retry.
void endAttempt(Step&, const TargetAnswered&);

// Notes a possible crash and, if that makes the fingerprint refused, finishes who waits with it.
void noteCrash(Step&, std::uint64_t fingerprint, const TargetAddress& target, TimePoint startedAt);

// Finishes all waiting requests that are refused by now.
void finishRefused(Step&);

// Returns the digest of the ticket and, when present, that of its key.
std::vector<std::uint64_t> fingerprints(const Ticket&);

// Moves the time at which the request is given up.
void setExpiry(DispatcherState&, const RequestId&, TimePoint);

// Drops a finished request without an attempt from the state.
void forget(DispatcherState&, const RequestId&);

}
