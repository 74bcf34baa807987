#include "flamingowick/grants/SplitRotation.h"

#include <algorithm>
#include <numeric>

namespace flamingowick::grants {

namespace {

    double total(std::span<const double> weights) noexcept
    {
        return std::max(std::accumulate(weights.begin(), weights.end(), 0.0), 1e-9);
    }

}

SplitRotation startRotation(std::span<const double> weights, double phase)
{
    SplitRotation rotation;
    rotation.credits.assign(weights.size(), 0.0);
    // The part on which the phase falls is owed one request, and all others pay for it.
    double reached = 0;
    const double sum = total(weights);
    for (std::size_t part = 0; part < weights.size(); ++part) {
        const double share = weights[part] / sum;
        const bool chosen = phase >= reached && phase < reached + share;
        rotation.credits[part] = (chosen ? 1.0 : 0.0) - share;
        reached += share;
    }
    return rotation;
}

std::size_t nextPart(SplitRotation& rotation, std::span<const double> weights) noexcept
{
    const double sum = total(weights);
    for (std::size_t part = 0; part < weights.size(); ++part)
        rotation.credits[part] += weights[part] / sum;
    const auto owed = std::max_element(rotation.credits.begin(), rotation.credits.end());
    *owed -= 1;
    return static_cast<std::size_t>(owed - rotation.credits.begin());
}

}
