#pragma once

#include "QueueWait.h"

#include "flamingowick/grants/TargetPool.h"

#include <functional>
#include <map>
#include <vector>

// Admission and order of a pool's queue by shares: by priority, then requests that can still meet their objective, then
// the organisations' shares, then the latest start.
namespace flamingowick::grants {

using Queue = std::multimap<unsigned, QueuedRequest>;

// Returns the request that is served next among those the filter accepts, or the queue's end. Linear in the queue.
Queue::iterator nextInOrder(TargetPool&, const std::function<bool(const GrantRequest&)>& accepts, TimePoint now);

// Charges what is served from the queue to its organisation. Call it before the request is removed.
void recordServed(TargetPool&, const QueuedRequest&, TimePoint now);

// What a newcomer would wait, and whether it is queued.
struct Admission {
    bool queued { false };
    // It is expected to get a slot in time for its objective.
    bool meetsObjective { false };
    QueuedRequest request;
    // If it isn't queued: the time after which one like it is expected to be.
    Duration roomAfter { 0 };
};

// Decides whether the request is queued. Linear in the queue.
Admission admitByShares(TargetPool&, const GrantRequest&, const Capacity&, TimePoint now);

// Whether the queued request can no longer start in time for its objective.
bool isLate(const QueuedRequest&, TimePoint now) noexcept;

// Returns the delay that a refused caller is told: when there is room for it, after those who were told to return before
// it, and at most a third of the time that it has.
Duration bookReturn(TargetPool&, const GrantRequest&, Duration roomAfter, TimePoint now);

// Removes the queued requests that can no longer be served in time and returns them. Linear in the queue, and sorts it.
std::vector<GrantRequest> removeHopeless(TargetPool&, TimePoint now);

}
