#include "flamingowick/platform/detail/CallPacer.h"

#include <algorithm>

namespace flamingowick::platform::detail {

namespace {

    constexpr std::chrono::seconds window { 1 };

}

TimePoint earliestStart(const CallPacer& pacer, TimePoint now)
{
    if (!pacer.starts.full())
        return now;
    return std::max(now, pacer.starts.front() + window);
}

void recordStart(CallPacer& pacer, TimePoint now)
{
    pacer.starts.push_back(now);
}

}
