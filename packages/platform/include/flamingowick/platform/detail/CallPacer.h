#pragma once

#include "flamingowick/model/Clock.h"

#include <boost/circular_buffer.hpp>

// Rate limit on the start of calls, over a sliding window of one second.
namespace flamingowick::platform::detail {

// Keeps the start times of the last maxCallsPerSecond calls. While the buffer is full, the next call must start at
// least one second after the oldest of them.
struct CallPacer {
    explicit CallPacer(unsigned maxCallsPerSecond)
        : starts(maxCallsPerSecond)
    {
    }

    boost::circular_buffer<TimePoint> starts;
};

// Returns the earliest time, not before now, at which the rate limit lets a call start. Constant time.
TimePoint earliestStart(const CallPacer&, TimePoint now);

// Records that a call starts now. Must be called only when earliestStart() returned now. Constant time.
void recordStart(CallPacer&, TimePoint now);

}
