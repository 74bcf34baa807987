#include "flamingowick/grants/LatencyProfile.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::grants {

namespace {

    // Number of assumed responses that are added to the recorded ones, so that a few early responses don't dominate.
    constexpr double assumedResponseCount = 8;

    // Returns the survival of the assumed responses: exponential, with a third of the objective as the mean.
    double assumedSurvival(const LatencyProfile& profile, Duration age) noexcept
    {
        const double mean = std::max(1.0, static_cast<double>(profile.latencyObjective.count()) / 3);
        return std::exp(-static_cast<double>(age.count()) / mean);
    }

}

void recordLatency(LatencyProfile& profile, Duration latency) noexcept
{
    profile.recent[profile.nextIndex] = latency; // NOLINT(cppcoreguidelines-pro-bounds-constant-array-index)
    profile.nextIndex = (profile.nextIndex + 1) % LatencyProfile::capacity;
    profile.count = std::min(profile.count + 1, LatencyProfile::capacity);
}

double survival(const LatencyProfile& profile, Duration age) noexcept
{
    if (age <= Duration::zero())
        return 1;
    const auto* const end = profile.recent.begin() + profile.count;
    const auto longer = static_cast<double>(std::count_if(profile.recent.begin(), end, [age](Duration latency) { return latency > age; }));
    const double assumed = assumedResponseCount * assumedSurvival(profile, age);
    return std::max((longer + assumed) / (static_cast<double>(profile.count) + assumedResponseCount), 0.5 / (static_cast<double>(profile.count) + assumedResponseCount));
}

Duration quantile(const LatencyProfile& profile, double share) noexcept
{
    if (profile.count < static_cast<std::size_t>(assumedResponseCount)) {
        const double mean = static_cast<double>(profile.latencyObjective.count()) / 3;
        return Duration(static_cast<Duration::rep>(-std::log(std::max(1 - share, 1e-3)) * mean));
    }
    std::array<Duration, LatencyProfile::capacity> sorted = profile.recent;
    auto* const end = sorted.begin() + profile.count;
    auto* const nth = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(share, 0.999) * static_cast<double>(profile.count));
    std::nth_element(sorted.begin(), nth, end);
    return *nth;
}

}
