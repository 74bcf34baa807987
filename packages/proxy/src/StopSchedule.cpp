#include "flamingowick/proxy/StopSchedule.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;

    // The load balancer checks the readiness once a second and sends no more callers after two failed checks.
    constexpr Duration minStopDuration { milliseconds(2800) };
    // After this time the load balancer sends no more callers. A shorter grace leaves half of itself for the requests that were taken.
    constexpr Duration maxAcceptDuration { milliseconds(3000) };
    // Time before the end of the grace at which requests without an attempt in flight are answered, for the responses to be sent.
    constexpr Duration waitEndMargin { milliseconds(500) };
    // The same for requests whose attempts are in flight.
    constexpr Duration breakOffMargin { milliseconds(150) };
    // Time that is left for an orderly exit.
    constexpr Duration exitMargin { milliseconds(50) };

    // Returns the time since the stop began; negative while the daemon runs.
    Duration sinceBegin(const StopSchedule& schedule, TimePoint now) noexcept
    {
        return schedule.beganAt ? now - *schedule.beganAt : Duration(-1);
    }

}

bool takesRequests(const StopSchedule& schedule, TimePoint now) noexcept
{
    return sinceBegin(schedule, now) < std::min(maxAcceptDuration, schedule.grace / 2);
}

bool mayBeginAttempt(const StopSchedule& schedule, Duration latencyObjective, TimePoint now) noexcept
{
    const Duration needed = std::max(latencyObjective + breakOffMargin, waitEndMargin);
    return takesRequests(schedule, now) || sinceBegin(schedule, now) + needed <= schedule.grace;
}

bool mustBreakOff(const StopSchedule& schedule, TimePoint now) noexcept
{
    return schedule.beganAt && sinceBegin(schedule, now) >= schedule.grace - breakOffMargin;
}

bool mustExit(const StopSchedule& schedule, TimePoint now) noexcept
{
    return schedule.beganAt && sinceBegin(schedule, now) >= schedule.grace - exitMargin;
}

bool mayExitIdle(const StopSchedule& schedule, TimePoint now) noexcept
{
    return schedule.beganAt && sinceBegin(schedule, now) >= minStopDuration;
}

}
