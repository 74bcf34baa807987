#include "flamingowick/health/Decisions.h"

#include <algorithm>

namespace flamingowick::health {

double typicalShare(std::span<double> sharesOfOthers) noexcept
{
    if (sharesOfOthers.empty())
        return 0;
    const auto middle = sharesOfOthers.begin() + static_cast<std::ptrdiff_t>(sharesOfOthers.size() / 2);
    std::nth_element(sharesOfOthers.begin(), middle, sharesOfOthers.end());
    return *middle;
}

bool isSharedCause(const PoolView& view) noexcept
{
    return view.observed >= 2 && view.suspect * 2 > view.observed;
}

namespace {

    // A failure domain counts as using a target for this long after its last outcome.
    constexpr Duration activityWindow = std::chrono::seconds(10);

    bool isActive(const Rings& rings, TimePoint now) noexcept
    {
        return rings.fine.newest >= bucketIndex(now - activityWindow, fineWidth);
    }

    // Returns a test for whether the target fails from another failure domain as much as from the accusing one.
    SequentialTest makeSharedFaultTest(const Verdict& verdict) noexcept
    {
        constexpr double maxShare = 0.95;
        auto test = verdict.test;
        const auto share = verdict.score.total ? static_cast<double>(verdict.score.bad) / verdict.score.total : 0.0;
        test.failingShare = std::clamp(share, test.failingShare, std::max(maxShare, test.failingShare));
        return test;
    }

}

Blame placeBlame(const TargetEvidence& evidence, const Accusation& accusation, const Thresholds& thresholds, TimePoint now) noexcept
{
    const auto test = makeSharedFaultTest(accusation.verdict);
    const auto& score = accusation.verdict.score;
    auto blame = Blame::Target;
    for (const auto& [domain, rings] : evidence.byFailureDomain) {
        if (domain == accusation.fromFailureDomain)
            continue;
        const auto& ring = score.width == coarseWidth ? rings.coarse : rings.fine;
        const auto ratio = logLikelihoodRatio(ring, test, score.since);
        if (ratio <= -thresholds.clear)
            return Blame::Path;
        if (ratio <= 0 && isActive(rings, now))
            blame = Blame::Undecided;
    }
    return score.value < thresholds.ceiling ? blame : Blame::Target;
}

}
