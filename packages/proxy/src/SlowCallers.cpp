#include "flamingowick/proxy/SlowCallers.h"

#include <algorithm>

namespace flamingowick::proxy {

std::vector<std::size_t> chooseCallersToCut(std::span<const HoldingCaller> callers, std::uint64_t excessBytes, const MemoryLimits& limits, TimePoint now)
{
    std::vector<std::size_t> slow;
    for (std::size_t index = 0; index < callers.size(); ++index) {
        if (now - callers[index].since >= limits.slowAfter)
            slow.push_back(index);
    }
    std::sort(slow.begin(), slow.end(), [callers](std::size_t first, std::size_t second) { return callers[first].since < callers[second].since; });
    std::size_t count = 0;
    for (std::uint64_t freed = 0; count < slow.size() && freed < excessBytes; ++count)
        freed += callers[slow[count]].heldBytes;
    slow.resize(count);
    return slow;
}

namespace {

    // Whether the bytes of an interval that has lasted until now are fewer than the lowest rate allows.
    bool isIntervalSlow(const SendingRate& rate, const MemoryLimits& limits, TimePoint now) noexcept
    {
        const double seconds = std::chrono::duration<double>(now - rate.intervalStart).count();
        return static_cast<double>(rate.intervalBytes) < seconds * static_cast<double>(limits.minBytesPerSecond);
    }

}

void recordReceived(SendingRate& rate, std::uint64_t bytes, const MemoryLimits& limits, TimePoint now) noexcept
{
    if (now - rate.intervalStart >= limits.slowAfter)
        rate = { now, 0, isIntervalSlow(rate, limits, now) };
    rate.intervalBytes += bytes;
}

bool isSlow(const SendingRate& rate, const MemoryLimits& limits, TimePoint now) noexcept
{
    return now - rate.intervalStart >= limits.slowAfter ? isIntervalSlow(rate, limits, now) : rate.wasSlow;
}

}
