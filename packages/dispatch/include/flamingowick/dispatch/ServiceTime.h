#pragma once

#include "flamingowick/model/Clock.h"

// Exponential moving average of the time that targets take to answer.
namespace flamingowick::dispatch {

struct ServiceTime {
    // Zero until the first answer.
    Duration mean { 0 };
};

constexpr int weightOfPast = 15;

// Records the duration of one successful attempt. Never throws; constant time.
inline void recordServiceTime(ServiceTime& estimate, Duration taken) noexcept
{
    if (estimate.mean == Duration::zero())
        estimate.mean = taken;
    else
        estimate.mean = (estimate.mean * weightOfPast + taken) / (weightOfPast + 1);
}

// Lowers the estimate after a request was dropped because of it. Otherwise an estimate that is too high would drop
// every request, and no attempt would run that could correct it. Never throws; constant time.
inline void recordHopeless(ServiceTime& estimate) noexcept
{
    estimate.mean = estimate.mean * weightOfPast / (weightOfPast + 1);
}

// Returns whether a request that starts now is expected to finish before its deadline. Never throws.
inline bool canFinish(const ServiceTime& estimate, TimePoint now, TimePoint deadline) noexcept
{
    return now + estimate.mean < deadline;
}

}
