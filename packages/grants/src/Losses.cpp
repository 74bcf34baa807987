#include "Losses.h"

#include <cmath>

namespace flamingowick::grants {

namespace {

    // Time constant of the share of lost requests.
    constexpr double lossDecaySeconds = 2;
    // Served requests that are added to the count, so that the loss of one among few doesn't raise the share.
    constexpr double assumedServed = 4;
    // Attempts that have lasted longer than this share of those that are answered are overdue.
    constexpr double overdueQuantile = 0.95;

    double decaySince(TimePoint then, TimePoint now) noexcept
    {
        return std::exp(-std::chrono::duration<double>(now - then).count() / lossDecaySeconds);
    }

}

void recordResult(LossCounts& lossCounts, bool lost, TimePoint now) noexcept
{
    const double decay = decaySince(lossCounts.updatedAt, now);
    lossCounts.ended = lossCounts.ended * decay + 1;
    lossCounts.lost = lossCounts.lost * decay + (lost ? 1 : 0);
    lossCounts.updatedAt = now;
}

Duration overdueAge(const LatencyProfile& profile) noexcept
{
    return quantile(profile, overdueQuantile);
}

double lossShare(const TargetPool& pool, TimePoint now) noexcept
{
    double overdue = 0;
    for (const auto& [instance, target] : pool.targets) {
        for (const auto& [attemptId, attempt] : target.inFlight)
            overdue += attempt.overdueAge > Duration::zero() && now - attempt.startedAt > attempt.overdueAge ? 1 : 0;
    }
    return (pool.lossCounts.lost + overdue) / (pool.lossCounts.ended + overdue + assumedServed);
}

}
