#include "flamingowick/grants/Explanation.h"

#include "Admission.h"
#include "Placement.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace flamingowick::grants {

namespace {

    CandidateStanding standingOf(const TargetPool& pool, const PooledTarget& target, const GrantRequest& request, bool isEligible, TimePoint now)
    {
        if (target.listed.leaving)
            return CandidateStanding::Leaving;
        if (contains(request.excludedInstances, target.listed.instance))
            return CandidateStanding::Excluded;
        if (usedSlots(target) >= target.listed.slots)
            return CandidateStanding::Full;
        if (isAtLimit(target, now))
            return CandidateStanding::AtLimit;
        if (!isEligible)
            return CandidateStanding::Suspected;
        return judge(pool, target, request, now).isLate ? CandidateStanding::TooSlow : CandidateStanding::Costlier;
    }

}

std::string_view toString(CandidateStanding standing) noexcept
{
    constexpr std::array<std::string_view, 8> names { "chosen", "excluded", "leaving", "full", "at-limit", "suspected", "too-slow", "costlier" };
    return names.at(static_cast<std::size_t>(standing));
}

Explanation explainPlacement(const TargetPool& pool, const GrantRequest& request, TimePoint now)
{
    TargetPool copy = pool;
    Explanation explanation;
    std::vector<const PooledTarget*> eligible;
    for (const Candidate& candidate : eligibleTargets(copy, now))
        eligible.push_back(candidate.target);
    for (const auto& [instance, target] : copy.targets) {
        const TargetJudgement judgement = judge(copy, target, request, now);
        const bool isEligible = std::find(eligible.begin(), eligible.end(), &target) != eligible.end();
        explanation.candidates.push_back({ instance, target.listed.failureDomain, standingOf(copy, target, request, isEligible, now), failureProbability(copy, target, now),
            usedSlots(target), target.listed.slots, judgement.slowness, judgement.remainingSeconds, judgement.completionSeconds, judgement.cost });
    }
    const std::size_t ahead = std::distance(copy.queue.begin(), copy.queue.upper_bound(request.priority));
    explanation.expectedWait = estimateQueueWait(copy, ahead, eligibleCapacity(copy, now), now);
    for (Decision& decision : requestGrant(copy, request, now)) {
        if (decision.attemptId == request.attemptId)
            explanation.decision = std::move(decision);
    }
    if (explanation.decision)
        explanation.expectedWait = Duration::zero();
    for (ExplainedCandidate& candidate : explanation.candidates) {
        if (explanation.decision && explanation.decision->kind == DecisionKind::Granted && candidate.instance == explanation.decision->instance)
            candidate.standing = CandidateStanding::Chosen;
    }
    std::sort(explanation.candidates.begin(), explanation.candidates.end(), [](const ExplainedCandidate& a, const ExplainedCandidate& b) {
        const auto sortKey = [](const ExplainedCandidate& each) { return std::tuple(each.standing != CandidateStanding::Chosen, each.cost); };
        return sortKey(a) < sortKey(b);
    });
    return explanation;
}

}
