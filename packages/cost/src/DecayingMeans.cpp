#include "DecayingMeans.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::cost {

double decayedWeight(const DecayingMean& mean, double timeConstantSeconds, TimePoint now) noexcept
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - mean.updatedAt).count());
    return mean.weight * std::exp(-elapsed / timeConstantSeconds);
}

void add(DecayingMean& mean, double value, double expected, double maxDistance, double timeConstantSeconds, TimePoint now) noexcept
{
    const double limited = std::clamp(value, expected - maxDistance, expected + maxDistance);
    const double before = decayedWeight(mean, timeConstantSeconds, now);
    const double distance = limited - mean.mean;
    mean.weight = before + 1;
    mean.mean += distance / mean.weight;
    // The decaying form of Welford's recurrence.
    mean.variance = before / mean.weight * (mean.variance + distance * distance / mean.weight);
    mean.updatedAt = std::max(mean.updatedAt, now);
}

}
