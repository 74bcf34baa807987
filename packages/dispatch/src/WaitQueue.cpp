#include "flamingowick/dispatch/WaitQueue.h"

#include <algorithm>

namespace flamingowick::dispatch {

namespace {

    double toSeconds(Duration duration) noexcept
    {
        return std::chrono::duration<double>(duration).count();
    }

    void forgetIdle(WaitQueue& queue, std::string_view caller)
    {
        auto place = queue.callers.find(caller);
        if (place != queue.callers.end() && place->second.waiting.empty() && place->second.inFlight == 0)
            queue.callers.erase(place);
    }

}

void enqueue(WaitQueue& queue, std::string_view caller, const RequestId& id, bool first)
{
    auto [place, added] = queue.callers.try_emplace(std::string(caller));
    CallerQueue& own = place->second;
    if (added)
        own.virtualTime = queue.virtualTime;
    CallerQueue::Waiting entry { id, queue.nextSequence++ };
    if (first && !own.waiting.empty())
        entry.sequence = own.waiting.front().sequence;
    own.waiting.insert(first ? own.waiting.begin() : own.waiting.end(), entry);
    ++queue.waiting;
}

void removeWaiting(WaitQueue& queue, std::string_view caller, const RequestId& id)
{
    auto place = queue.callers.find(caller);
    if (place == queue.callers.end())
        return;
    queue.waiting -= std::erase_if(place->second.waiting, [&](const CallerQueue::Waiting& entry) { return entry.id == id; });
    forgetIdle(queue, caller);
}

void startWaiting(WaitQueue& queue, std::string_view caller, std::size_t position, Duration expected)
{
    CallerQueue& own = queue.callers.find(caller)->second;
    own.waiting.erase(own.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    --queue.waiting;
    ++own.inFlight;
    queue.virtualTime = std::max(queue.virtualTime, own.virtualTime);
    own.virtualTime += toSeconds(expected);
}

void endAttempt(WaitQueue& queue, std::string_view caller, Duration expected, Duration taken)
{
    CallerQueue& own = queue.callers.find(caller)->second;
    --own.inFlight;
    own.virtualTime += toSeconds(taken - expected);
    forgetIdle(queue, caller);
}

}
