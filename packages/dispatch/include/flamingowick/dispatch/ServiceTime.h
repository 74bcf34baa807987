#pragma once

#include "flamingowick/model/Clock.h"

// A running estimate of how long targets take to answer.
namespace flamingowick::dispatch {

struct ServiceTime {
    // Zero until the first answer.
    Duration mean { 0 };
};

constexpr int weightOfPast = 15;

// Takes in the time of one whole answer. Never throws; constant time.
inline void recordServiceTime(ServiceTime& estimate, Duration taken) noexcept
{
    if (estimate.mean == Duration::zero())
        estimate.mean = taken;
    else
        estimate.mean = (estimate.mean * weightOfPast + taken) / (weightOfPast + 1);
}

// Lowers the estimate after a request was dropped on its account. An estimate that is too high would
// else keep every request from running, and so from correcting it. Never throws; constant time.
inline void recordHopeless(ServiceTime& estimate) noexcept
{
    estimate.mean = estimate.mean * weightOfPast / (weightOfPast + 1);
}

// Returns whether a request that starts at now can be expected to end by its deadline. Never throws.
inline bool canFinish(const ServiceTime& estimate, TimePoint now, TimePoint deadline) noexcept
{
    return now + estimate.mean < deadline;
}

}
