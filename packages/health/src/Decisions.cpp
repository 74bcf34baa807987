#include "flamingowick/health/Decisions.h"

#include <algorithm>

namespace flamingowick::health {

double typicalShare(std::span<double> sharesOfOthers) noexcept
{
    if (sharesOfOthers.empty())
        return 0;
    const auto middle = sharesOfOthers.begin() + static_cast<std::ptrdiff_t>((sharesOfOthers.size() - 1) / 2);
    std::nth_element(sharesOfOthers.begin(), middle, sharesOfOthers.end());
    return *middle;
}

bool isSharedCause(const PoolView& view) noexcept
{
    return view.observed >= 2 && view.suspect * 2 > view.observed;
}

namespace {

    // The test whether another failure domain sees the target fail as the accusing one does.
    SequentialTest failingAlike(const Verdict& verdict) noexcept
    {
        constexpr double largestShare = 0.95;
        auto test = verdict.test;
        const auto share = verdict.score.total ? static_cast<double>(verdict.score.bad) / verdict.score.total : 0.0;
        test.failingShare = std::clamp(share, test.failingShare, std::max(largestShare, test.failingShare));
        return test;
    }

}

bool blamesPath(const TargetEvidence& evidence, std::string_view fromFailureDomain, const Verdict& verdict, double clearEvidence) noexcept
{
    const auto isCoarse = verdict.score.width == coarseWidth;
    const auto test = failingAlike(verdict);
    return std::any_of(evidence.byFailureDomain.begin(), evidence.byFailureDomain.end(), [&](const auto& entry) {
        if (entry.first == fromFailureDomain)
            return false;
        const auto& ring = isCoarse ? entry.second.coarse : entry.second.fine;
        return logLikelihoodRatio(ring, test, verdict.score.since) <= -clearEvidence;
    });
}

}
