#include "flamingowick/grants/SplitRotation.h"

#include <algorithm>
#include <numeric>

namespace flamingowick::grants {

namespace {

    double totalWeight(std::span<const double> weights) noexcept
    {
        return std::max(std::accumulate(weights.begin(), weights.end(), 0.0), 1e-9);
    }

}

SplitRotation startRotation(std::span<const double> weights, double phase)
{
    SplitRotation rotation;
    rotation.credits.assign(weights.size(), 0.0);
    // The part whose interval of cumulated shares contains the phase gets a credit of one request, which is deducted
    // from all parts by their shares, so that the credits sum to zero.
    double cumulated = 0;
    const double sum = totalWeight(weights);
    for (std::size_t part = 0; part < weights.size(); ++part) {
        const double share = weights[part] / sum;
        const bool isFirst = phase >= cumulated && phase < cumulated + share;
        rotation.credits[part] = (isFirst ? 1.0 : 0.0) - share;
        cumulated += share;
    }
    return rotation;
}

std::size_t nextPart(SplitRotation& rotation, std::span<const double> weights) noexcept
{
    const double sum = totalWeight(weights);
    for (std::size_t part = 0; part < weights.size(); ++part)
        rotation.credits[part] += weights[part] / sum;
    const auto largest = std::max_element(rotation.credits.begin(), rotation.credits.end());
    *largest -= 1;
    return static_cast<std::size_t>(largest - rotation.credits.begin());
}

}
