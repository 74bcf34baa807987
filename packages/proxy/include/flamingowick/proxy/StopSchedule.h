#pragma once

#include "flamingowick/model/Clock.h"

#include <optional>

// What a daemon still does after it was told to stop. Requests that would be cut off at the end are answered while they haven't
// run. Deterministic, no I/O.
namespace flamingowick::proxy {

struct StopSchedule {
    // After which the platform kills the process.
    Duration grace { 0 };
    // When the daemon was told to stop; none while it runs.
    std::optional<TimePoint> beganAt;
};

// Returns whether requests that arrive now are taken, and connections accepted. Constant time, like all functions below.
bool takesRequests(const StopSchedule&, TimePoint now) noexcept;

// Returns whether an attempt that begins now would probably end before the process does, or began so early in the grace that it is
// given the rest of it. The latency objective stands for the time that an attempt takes.
bool mayBeginAttempt(const StopSchedule&, Duration latencyObjective, TimePoint now) noexcept;

// Returns whether the requests that are at their targets have to be answered now, for the responses to be sent before the process ends.
bool mustBreakOff(const StopSchedule&, TimePoint now) noexcept;

// Returns whether the process has to end although responses are still being sent.
bool mustExit(const StopSchedule&, TimePoint now) noexcept;

// Returns whether the load balancer has noticed by now that the daemon is stopping, so that it may end once it is idle.
bool mayExitIdle(const StopSchedule&, TimePoint now) noexcept;

}
