#include "flamingowick/dispatch/Fairness.h"

namespace flamingowick::dispatch {

CallerRank rankByVirtualTime(const CallerLoad& load) noexcept
{
    return { load.virtualTime, load.firstSequence };
}

CallerRank rankByArrival(const CallerLoad& load) noexcept
{
    return { 0, load.firstSequence };
}

CallerRank rankByMinimumShare(const CallerLoad& load) noexcept
{
    bool below = load.inFlight + 1 <= load.equalShare;
    return { below ? 0.0 : 1.0, load.firstSequence };
}

std::string_view displaceLongest(const WaitQueue& queue)
{
    std::pair<std::size_t, std::uint64_t> most;
    std::string_view longest;
    for (const auto& [caller, callerQueue] : queue.callers) {
        if (callerQueue.waiting.empty())
            continue;
        std::pair<std::size_t, std::uint64_t> length { callerQueue.waiting.size(), callerQueue.waiting.back().sequence };
        if (longest.data() && length <= most)
            continue;
        most = length;
        longest = caller;
    }
    return longest;
}

std::string_view displaceNewest(const WaitQueue& queue)
{
    std::uint64_t last = 0;
    std::string_view newest;
    for (const auto& [caller, callerQueue] : queue.callers) {
        if (callerQueue.waiting.empty() || (newest.data() && callerQueue.waiting.back().sequence < last))
            continue;
        last = callerQueue.waiting.back().sequence;
        newest = caller;
    }
    return newest;
}

}
