#include "flamingowick/health/LatencyBaseline.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace flamingowick::health {

namespace {

    constexpr std::uint32_t responsesPerUpdate = 64;
    constexpr std::uint32_t minResponses = 8;
    constexpr std::uint32_t maxResponses = 512;

    std::size_t binOf(Duration latency) noexcept
    {
        if (latency <= firstBin)
            return 0;
        const auto ratio = static_cast<double>(latency.count()) / static_cast<double>(firstBin.count());
        const auto bin = static_cast<std::size_t>(binsPerOctave * std::log2(ratio));
        return std::min(bin, latencyBins - 1);
    }

    // Returns the geometric centre of a bin.
    Duration binCentre(std::size_t bin) noexcept
    {
        const auto octaves = (static_cast<double>(bin) + 0.5) / binsPerOctave;
        return Duration(std::llround(static_cast<double>(firstBin.count()) * std::exp2(octaves)));
    }

    Duration medianOf(const LatencyHistogram& histogram) noexcept
    {
        std::uint32_t cumulative = 0;
        for (std::size_t bin = 0; bin < latencyBins; ++bin) {
            cumulative += histogram.counts[bin];
            if (2 * cumulative >= histogram.total)
                return binCentre(bin);
        }
        return binCentre(latencyBins - 1);
    }

    void halveCounts(LatencyHistogram& histogram) noexcept
    {
        histogram.total = 0;
        for (auto& count : histogram.counts) {
            count /= 2;
            histogram.total += count;
        }
    }

    void updateReference(LatencyBaseline& baseline)
    {
        std::vector<Duration> medians;
        for (const auto& [address, histogram] : baseline.targets) {
            if (histogram.total >= minResponses)
                medians.push_back(medianOf(histogram));
        }
        baseline.answersSinceUpdate = 0;
        if (medians.empty())
            return;
        const auto middle = medians.begin() + static_cast<std::ptrdiff_t>((medians.size() - 1) / 2);
        std::nth_element(medians.begin(), middle, medians.end());
        baseline.reference = *middle;
    }

}

void addLatency(LatencyBaseline& baseline, std::string_view target, Duration latency)
{
    auto found = baseline.targets.find(target);
    if (found == baseline.targets.end())
        found = baseline.targets.emplace(std::string(target), LatencyHistogram {}).first;
    auto& histogram = found->second;
    ++histogram.counts[binOf(latency)];
    if (++histogram.total >= maxResponses)
        halveCounts(histogram);
    if (++baseline.answersSinceUpdate >= responsesPerUpdate)
        updateReference(baseline);
}

void forgetTarget(LatencyBaseline& baseline, std::string_view target) noexcept
{
    const auto found = baseline.targets.find(target);
    if (found != baseline.targets.end())
        baseline.targets.erase(found);
}

bool isSlow(const LatencyBaseline& baseline, Duration latency, double factor) noexcept
{
    if (baseline.reference <= Duration::zero())
        return false;
    return static_cast<double>(latency.count()) >= factor * static_cast<double>(baseline.reference.count());
}

}
