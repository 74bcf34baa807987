#include "flamingowick/cost/Slowness.h"

#include "DecayingMeans.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::cost {

namespace {

    // Targets turn slow, and recover, within seconds to minutes.
    constexpr double slownessSeconds = 20;
    // Spread of the logarithm of the factors of sound targets. Ratios of observations are shrunk by it.
    constexpr double factorDeviation = 0.4;
    // A single response moves the factor as if it had taken at most e to this power of what was expected.
    constexpr double maxLogDistance = 2.5;

}

void observe(Slowness& slowness, const Estimate& expected, double explainedFactor, double seenSeconds, TimePoint now) noexcept
{
    if (!expected.isKnown() || !(seenSeconds > 0) || !(explainedFactor > 0) || !std::isfinite(seenSeconds))
        return;
    const double factor = std::log(seenSeconds) - expected.meanLog - std::log(explainedFactor);
    add(slowness.logFactor, factor, std::max(0.0, slowness.logFactor.mean), maxLogDistance, slownessSeconds, now);
}

double slownessFactor(const Slowness& slowness, TimePoint now) noexcept
{
    const double weight = decayedWeight(slowness.logFactor, slownessSeconds, now);
    if (weight <= 0)
        return 1;
    // The spread of the work itself, of which too few responses show too little.
    constexpr double minWorkVariance = 0.3;
    const double noise = std::max(slowness.logFactor.variance, minWorkVariance) / (factorDeviation * factorDeviation);
    return std::exp(slowness.logFactor.mean * weight / (weight + noise));
}

}
