#include "QueueWait.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::grants {

namespace {

    // Time constant of the release rate, and the lowest release rate that is assumed, as a share of the rate at usual
    // latency. Without that minimum, the expected wait would grow without bound during a gap in the releases.
    constexpr double releaseDecaySeconds = 1;
    constexpr double minReleaseRateShare = 0.1;

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
