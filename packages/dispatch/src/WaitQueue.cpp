#include "flamingowick/dispatch/WaitQueue.h"

#include <algorithm>

namespace flamingowick::dispatch {

namespace {

    double toSeconds(Duration duration) noexcept
    {
        return std::chrono::duration<double>(duration).count();
    }

    void removeIdleCaller(WaitQueue& queue, std::string_view caller)
    {
        auto found = queue.callers.find(caller);
        if (found != queue.callers.end() && found->second.waiting.empty() && found->second.inFlight == 0)
            queue.callers.erase(found);
    }

}

void enqueue(WaitQueue& queue, std::string_view caller, const RequestId& id, bool first)
{
    auto [found, added] = queue.callers.try_emplace(std::string(caller));
    CallerQueue& callerQueue = found->second;
    if (added)
        callerQueue.virtualTime = queue.virtualTime;
    CallerQueue::Waiting entry { id, queue.nextSequence++ };
    if (first && !callerQueue.waiting.empty())
        entry.sequence = callerQueue.waiting.front().sequence;
    callerQueue.waiting.insert(first ? callerQueue.waiting.begin() : callerQueue.waiting.end(), entry);
    ++queue.waiting;
}

void removeWaiting(WaitQueue& queue, std::string_view caller, const RequestId& id)
{
    auto found = queue.callers.find(caller);
    if (found == queue.callers.end())
        return;
    queue.waiting -= std::erase_if(found->second.waiting, [&](const CallerQueue::Waiting& entry) { return entry.id == id; });
    removeIdleCaller(queue, caller);
}

void startWaiting(WaitQueue& queue, std::string_view caller, std::size_t position, Duration expected)
{
    CallerQueue& callerQueue = queue.callers.find(caller)->second;
    callerQueue.waiting.erase(callerQueue.waiting.begin() + static_cast<std::ptrdiff_t>(position));
    --queue.waiting;
    ++callerQueue.inFlight;
    queue.virtualTime = std::max(queue.virtualTime, callerQueue.virtualTime);
    callerQueue.virtualTime += toSeconds(expected);
}

void endAttempt(WaitQueue& queue, std::string_view caller, Duration expected, Duration elapsed)
{
    CallerQueue& callerQueue = queue.callers.find(caller)->second;
    --callerQueue.inFlight;
    callerQueue.virtualTime += toSeconds(elapsed - expected);
    removeIdleCaller(queue, caller);
}

}
