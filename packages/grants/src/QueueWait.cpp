#include "QueueWait.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace flamingowick::grants {

namespace {

    // Time constant of the release rate, and the lowest release rate that is assumed, as a share of the rate at usual
    // latency. Without that minimum, the expected wait would grow without bound during a gap in the releases.
    constexpr double releaseDecaySeconds = 1;
    constexpr double minReleaseRateShare = 0.1;

    // Time constant of the time for which slots are held.
    constexpr double slotTimeDecaySeconds = 2;
    // Ends at the median latency that are assumed before any is recorded.
    constexpr double assumedEnds = 4;
    constexpr double minSlotSeconds = 1e-3;
    // Time constant of the arrival rates.
    constexpr double arrivalDecaySeconds = 5;

    double decayedRate(const SlotReleaseRate& releaseRate, TimePoint now) noexcept
    {
        const double elapsed = std::chrono::duration<double>(now - releaseRate.updatedAt).count();
        return releaseRate.perSecond * std::exp(-elapsed / releaseDecaySeconds);
    }

}

double medianLatencySeconds(const TargetPool& pool)
{
    return std::max(std::chrono::duration<double>(quantile(pool.overallLatency, 0.5)).count(), 1e-3);
}

void recordRelease(SlotReleaseRate& releaseRate, TimePoint now) noexcept
{
    releaseRate.perSecond = decayedRate(releaseRate, now) + 1 / releaseDecaySeconds;
    releaseRate.updatedAt = now;
}

void advanceSlotTime(SlotTime& slotTime, std::size_t running, unsigned ended, TimePoint now) noexcept
{
    // A pool that was opened with attempts in flight has not observed them before.
    if (slotTime.updatedAt == TimePoint {})
        slotTime.updatedAt = now;
    const double decay = std::exp(-std::chrono::duration<double>(now - slotTime.updatedAt).count() / slotTimeDecaySeconds);
    slotTime.ended = slotTime.ended * decay + ended;
    slotTime.seconds = slotTime.seconds * decay + static_cast<double>(running) * slotTimeDecaySeconds * (1 - decay);
    slotTime.updatedAt = now;
}

void recordArrival(ArrivalCounts& arrivals, unsigned priority, TimePoint now) noexcept
{
    const double decay = std::exp(-std::chrono::duration<double>(now - arrivals.updatedAt).count() / arrivalDecaySeconds);
    for (double& count : arrivals.byPriority)
        count *= decay;
    arrivals.byPriority[std::min<std::size_t>(priority, arrivals.byPriority.size() - 1)] += 1 / arrivalDecaySeconds; // NOLINT(cppcoreguidelines-pro-bounds-constant-array-index)
    arrivals.updatedAt = now;
}

double arrivalsPerSecond(const ArrivalCounts& arrivals, unsigned priority, TimePoint now) noexcept
{
    const double decay = std::exp(-std::chrono::duration<double>(now - arrivals.updatedAt).count() / arrivalDecaySeconds);
    const auto* const end = arrivals.byPriority.begin() + std::min<std::size_t>(priority, arrivals.byPriority.size());
    return std::accumulate(arrivals.byPriority.begin(), end, 0.0) * decay;
}

double releasesPerSecond(const TargetPool& pool)
{
    const auto running = static_cast<double>(std::max<std::size_t>(pool.instanceByAttempt.size(), 1));
    // Only few ends are recorded in a pool that has just been opened.
    constexpr double enoughEnds = 64;
    const double assumedSeconds = pool.slotTime.ended < enoughEnds ? medianLatencySeconds(pool) : 0;
    if (assumedSeconds == 0)
        return running * pool.slotTime.ended / std::max(pool.slotTime.seconds, minSlotSeconds);
    const double endedPerSlotSecond = (assumedEnds + pool.slotTime.ended) / (assumedEnds * assumedSeconds + pool.slotTime.seconds);
    return running * endedPerSlotSecond;
}

// While the queue has only just formed, the estimate follows the usual latency; the longer it has not been empty, the more
// it follows the measured release rate.
double estimateReleaseRate(const TargetPool& pool, const Capacity& capacity, TimePoint now)
{
    const double rateAtUsualLatency = capacity.slots / medianLatencySeconds(pool);
    // Releases say nothing of when targets that are at their limits take further requests.
    if (capacity.timeToToken)
        return rateAtUsualLatency;
    const double secondsNonEmpty = pool.queueNonEmptySince ? std::chrono::duration<double>(now - *pool.queueNonEmptySince).count() : 0;
    const double measuredWeight = 1 - std::exp(-secondsNonEmpty / releaseDecaySeconds);
    const double measured = std::max(decayedRate(pool.releaseRate, now), rateAtUsualLatency * minReleaseRateShare);
    return measuredWeight * measured + (1 - measuredWeight) * rateAtUsualLatency;
}

Duration queueWaitAtRate(double releasesPerSecond, std::size_t ahead)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((static_cast<double>(ahead) + 1) / releasesPerSecond));
}

Duration estimateQueueWait(const TargetPool& pool, std::size_t ahead, const Capacity& capacity, TimePoint now)
{
    const double releasesPerSecond = estimateReleaseRate(pool, capacity, now);
    if (!capacity.timeToToken)
        return queueWaitAtRate(releasesPerSecond, ahead);
    return ahead == 0 ? *capacity.timeToToken : *capacity.timeToToken + queueWaitAtRate(releasesPerSecond, ahead - 1);
}

}
