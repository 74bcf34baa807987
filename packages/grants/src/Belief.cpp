#include "flamingowick/grants/Belief.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::grants {

namespace {

    // Likelihood ratios of the outcomes, failing over healthy. Healthy targets answer about one request in a hundred
    // with an error; failing targets answer most of them so.
    constexpr double failedRatio = 14;
    constexpr double brokenRatio = 14;
    constexpr double unreachableRatio = 30;
    // Weaker evidence than an error: a healthy target sheds requests too when its slots are full.
    constexpr double shedRatio = 3;
    // Bounds of the probability, so that later evidence can reverse the verdict.
    constexpr double minProbability = 0.005;
    constexpr double maxProbability = 0.98;
    // Weight of a response's latency: a response slower than 49 of 50 is evidence of failure, a faster one of health.
    constexpr double slowResponseWeight = 0.015;
    constexpr double maxSlowResponseRatio = 3;
    constexpr double maxPendingRatio = 60;
    // The latency profile has too few responses to estimate a smaller share of late responses.
    constexpr double minSurvivalShare = 0.01;

    double likelihoodRatio(const BeliefModel& model, const LatencyProfile& profile, AttemptOutcome outcome, Duration duration) noexcept
    {
        switch (outcome) {
        case AttemptOutcome::Succeeded:
            return std::min((1 - model.failureRateWhenFailing) + slowResponseWeight / survival(profile, duration), maxSlowResponseRatio);
        case AttemptOutcome::Failed:
            return failedRatio;
        case AttemptOutcome::ConnectionBroken:
            return brokenRatio;
        case AttemptOutcome::Unreachable:
        case AttemptOutcome::InstanceReplaced:
            return unreachableRatio;
        case AttemptOutcome::Shed:
            return shedRatio;
        case AttemptOutcome::TimedOut:
        case AttemptOutcome::Abandoned:
            return pendingLikelihoodRatio(model, profile, duration);
        }
        return 1;
    }

}

std::string_view toString(AttemptOutcome outcome) noexcept
{
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        return "answered";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Shed:
        return "shed";
    case AttemptOutcome::ConnectionBroken:
        return "broken";
    case AttemptOutcome::TimedOut:
        return "hung";
    case AttemptOutcome::Unreachable:
        return "unreachable";
    case AttemptOutcome::InstanceReplaced:
        return "replaced";
    case AttemptOutcome::Abandoned:
        return "abandoned";
    }
    return "broken";
}

double failureProbabilityAt(const Belief& belief, const BeliefModel& model, TimePoint now) noexcept
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - belief.updatedAt).count());
    const double timeConstant = std::chrono::duration<double>(model.relaxationTime).count();
    return model.priorFailingShare + (belief.failureProbability - model.priorFailingShare) * std::exp(-elapsed / timeConstant);
}

double pendingLikelihoodRatio(const BeliefModel& model, const LatencyProfile& profile, Duration age) noexcept
{
    const double pendingWhenHealthy = survival(profile, age);
    return std::min((model.failureRateWhenFailing + (1 - model.failureRateWhenFailing) * pendingWhenHealthy) / pendingWhenHealthy, maxPendingRatio);
}

Duration suspicionAge(const BeliefModel& model, const LatencyProfile& profile, double failing) noexcept
{
    const double odds = failing / (1 - std::min(failing, maxProbability));
    // The survival at which the prior odds times the likelihood ratio of the pending attempt is 1: the posterior odds
    // are even.
    const double survivalAtEvenOdds = odds * model.failureRateWhenFailing / std::max(1 - odds * (1 - model.failureRateWhenFailing), 0.0);
    return survivalAtEvenOdds >= 1 ? Duration::zero() : quantile(profile, 1 - std::max(survivalAtEvenOdds, minSurvivalShare));
}

double bayesUpdate(double failing, double ratio) noexcept
{
    const double odds = failing / (1 - failing) * ratio;
    return std::clamp(odds / (1 + odds), minProbability, maxProbability);
}

void updateBelief(Belief& belief, const BeliefModel& model, const LatencyProfile& profile, AttemptOutcome outcome, Duration duration, TimePoint now) noexcept
{
    belief.failureProbability = bayesUpdate(failureProbabilityAt(belief, model, now), likelihoodRatio(model, profile, outcome, duration));
    belief.updatedAt = now;
}

}
