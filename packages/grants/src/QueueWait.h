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
};

// Returns the median latency of all requests, which is positive.
double medianLatencySeconds(const TargetPool&);

// Records that a slot has become free.
void recordRelease(SlotReleaseRate&, TimePoint now) noexcept;

// Estimates how many slots become free in a second.
double estimateReleaseRate(const TargetPool&, const Capacity&, TimePoint now);

// Returns the wait of a request that has the given number of requests ahead of it in the queue.
Duration queueWaitAtRate(double releasesPerSecond, std::size_t ahead);

// Returns the wait of such a request at the pool's estimated rate.
Duration estimateQueueWait(const TargetPool&, std::size_t ahead, const Capacity&, TimePoint now);

}
