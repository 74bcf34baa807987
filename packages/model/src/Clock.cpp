#include "flamingowick/model/Clock.h"

#include <atomic>

namespace flamingowick {

namespace {

    std::atomic<bool> paused { false };
    std::atomic<Duration::rep> pausedAt { 0 };
    std::atomic<Duration::rep> offset { 0 };

    Duration::rep machineTime() noexcept
    {
        return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()).count();
    }

}

Clock::time_point Clock::now() noexcept
{
    if (paused.load())
        return time_point(Duration(pausedAt.load()));
    return time_point(Duration(machineTime() + offset.load()));
}

void Clock::pause() noexcept
{
    if (paused.load())
        return;
    pausedAt.store(now().time_since_epoch().count());
    paused.store(true);
}

void Clock::advance(Duration step) noexcept
{
    pausedAt.fetch_add(step.count());
}

void Clock::resume() noexcept
{
    if (!paused.load())
        return;
    offset.store(pausedAt.load() - machineTime());
    paused.store(false);
}

std::int64_t wallClockMilliseconds() noexcept
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

}
