#pragma once

#include "flamingowick/grants/TargetPool.h"

#include <optional>

// Estimates how long a request waits in a pool's queue.
namespace flamingowick::grants {

// What the eligible targets of a pool can take.
struct Capacity {
    // Slots, of which a target that names a limit has no more than keep it at that limit at the usual latency.
    double slots { 0 };
    // Set while every eligible target is at the limit that it names: the time until one of them takes a request.
    std::optional<Duration> timeToToken;
    // Share of the slots that become free for which the request waits: less than 1 for one that waits for a healthy
    // target while a suspected one has room.
    double awaitedShare { 1 };
};

// Returns the median latency of all requests, which is positive.
double medianLatencySeconds(const TargetPool&);

// Records that a slot has become free.
void recordRelease(SlotReleaseRate&, TimePoint now) noexcept;

// Estimates how many slots become free in a second.
double estimateReleaseRate(const TargetPool&, const Capacity&, TimePoint now);

// Adds the time since the last call, for which the given number of attempts held slots, and the attempts that ended.
// Call it before each change of that number.
void advanceSlotTime(SlotTime&, std::size_t running, unsigned ended, TimePoint now) noexcept;

// Records a request of the priority; and returns the recent rate of those that are more urgent than the given priority.
void recordArrival(ArrivalCounts&, unsigned priority, TimePoint now) noexcept;
double arrivalsPerSecond(const ArrivalCounts&, unsigned priority, TimePoint now) noexcept;

// Estimates how many slots become free in a second, from the attempts in flight and the share of them that ends in a
// second. Since that share doesn't depend on the load, the estimate holds from the first moment of a burst.
double releasesPerSecond(const TargetPool&);

// Returns the wait of a request that has the given number of requests ahead of it in the queue.
Duration queueWaitAtRate(double releasesPerSecond, std::size_t ahead);

// Returns the wait of such a request at the pool's estimated rate.
Duration estimateQueueWait(const TargetPool&, std::size_t ahead, const Capacity&, TimePoint now);

}
