#pragma once

#include "flamingowick/model/Clock.h"

#include <boost/circular_buffer.hpp>

// Limits how many calls start in any one second.
namespace flamingowick::platform::detail {

// Start times of the last calls; full when the limit was reached in the past second.
struct CallPacer {
    explicit CallPacer(unsigned maxCallsPerSecond)
        : starts(maxCallsPerSecond)
    {
    }

    boost::circular_buffer<TimePoint> starts;
};

// Returns the earliest time, not before now, at which a call may start. Constant time.
TimePoint nextStart(const CallPacer&, TimePoint now);

// Records that a call starts now, which nextStart() must have allowed. Constant time.
void recordStart(CallPacer&, TimePoint now);

}
