#pragma once

#include "flamingowick/dispatch/Dispatcher.h"

// The steps that the event handlers share. Each appends the actions that it requires to Step::actions.
namespace flamingowick::dispatch::detail {

// The context of one call of handle().
struct Step {
    DispatcherState& state;
    TimePoint now;
    std::vector<Action>& actions;
};

// Returns the Retry-After value for a refused request, estimated from the queue length, the slots and the mean service
// time. Between 1 and 60 seconds.
std::chrono::seconds suggestRetryAfter(const DispatcherState&, TimePoint now);

// Finishes the request with an answer that the fleet generates. A running attempt is cancelled and keeps its slot until
// its end is reported. The id must not refer into the state, since the request may be removed.
void finish(Step&, const RequestId&, FinishReason, unsigned status, std::optional<std::chrono::seconds> retryAfter);

// Returns the latest time until which a fingerprint of the ticket is refused, or nullopt if none is.
std::optional<TimePoint> quarantinedUntil(const Step&, const Ticket&);

// Finishes the request as quarantined if one of its fingerprints is refused. Returns whether it did.
bool finishIfQuarantined(Step&, const RequestId&);

// Adds the request to the queue, at the front of its caller's requests if first is true.
void enqueueRequest(Step&, const RequestId&, bool first);

// Finishes queued requests until the queue is within its limit.
void enforceQueueLimit(Step&);

// Finishes all requests whose queue time limit or deadline has passed.
void finishExpired(Step&);

// Starts attempts for queued requests until none can be started.
void startWaitingRequests(Step&);

// Handles the end of an attempt: releases its slot, emits evidence, records crashes, then passes the answer, retries or
// finishes the request.
void endAttempt(Step&, const TargetAnswered&);

// Records a possible crash. If the fingerprint is refused as a result, emits a QuarantineNotice and finishes the queued
// requests with that fingerprint.
void recordPossibleCrash(Step&, std::uint64_t fingerprint, const TargetAddress& target, TimePoint startedAt);

// Finishes all queued requests with a refused fingerprint.
void finishAllQuarantined(Step&);

// Returns the fingerprints of the ticket: its digest and, if present and different, the digest of its idempotency key.
std::vector<std::uint64_t> fingerprints(const Ticket&);

// Sets the time at which the request is cancelled.
void setExpiry(DispatcherState&, const RequestId&, TimePoint);

// Removes a finished request without a running attempt from the state.
void removeRequest(DispatcherState&, const RequestId&);

}
