#pragma once

#include "QueueWait.h"

#include "flamingowick/grants/TargetPool.h"

// Decides whether a request that finds no free slot is queued or refused.
namespace flamingowick::grants {

// Returns a refusal, which counts as a loss when it is for lack of room.
Decision refuse(TargetPool&, const GrantRequest&, RefusalReason, Duration retryAfter, TimePoint now);

// Returns what the eligible targets can take. Linear in the targets and their attempts.
Capacity eligibleCapacity(TargetPool&, TimePoint now);

// Returns the share of the attempts in flight that run at healthy targets; 1 while there are none. Linear in the
// targets and their attempts.
double healthyShareOfAttempts(TargetPool&, TimePoint now);

// Returns a refusal for lack of room, with the time until the queue is expected to have room.
Decision refuseForLackOfRoom(TargetPool&, const GrantRequest&, const Capacity&, TimePoint now);

// Returns the latency that is expected of the workload's attempts when their deadline is judged.
Duration expectedLatency(const TargetPool&, std::uint64_t workload);

// Returns the latest time at which a queued request can start and be expected to meet its deadline.
TimePoint latestUsefulStart(const TargetPool&, const GrantRequest&);

// Returns the longest expected wait with which a request is queued. When slots are scarce, a longer queue serves no
// more requests; it only makes all of them late.
Duration maxQueueWait(const TargetPool&, const GrantRequest&);

// Whether a request that finds no free slot is queued; otherwise it is refused. ahead: the number of queued requests that
// are served before it.
bool mayQueue(const TargetPool&, const GrantRequest&, std::size_t ahead, const Capacity&, TimePoint now);

// Whether a queued request can still be served in time. usualLatency: what is expected of its attempt; releasesPerSecond:
// the rate at which slots become free.
bool canStillStart(const GrantRequest&, std::size_t ahead, Duration usualLatency, double releasesPerSecond, TimePoint now);

}
