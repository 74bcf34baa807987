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
    // Weight of an answer's latency: an answer slower than 49 of 50 is evidence of failure, a faster one of health.
    constexpr double slowAnswerWeight = 0.015;
    constexpr double maxSlowAnswerRatio = 3;
    constexpr double maxPendingRatio = 60;
    // The latency profile has too few answers to tell a smaller share of late answers.
    constexpr double minSurvivalShare = 0.01;

    double likelihoodRatio(const BeliefModel& model, const LatencyProfile& profile, Outcome outcome, Duration lasted) noexcept
    {
        switch (outcome) {
        case Outcome::Succeeded:
            return std::min((1 - model.failureShare) + slowAnswerWeight / survival(profile, lasted), maxSlowAnswerRatio);
        case Outcome::Failed:
            return failedRatio;
        case Outcome::Broken:
            return brokenRatio;
        case Outcome::Unreachable:
        case Outcome::Replaced:
            return unreachableRatio;
        case Outcome::Shed:
            return shedRatio;
        case Outcome::Hung:
        case Outcome::Abandoned:
            return pendingRatio(model, profile, lasted);
        }
        return 1;
    }

}

std::string_view toString(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Succeeded:
        return "answered";
    case Outcome::Failed:
        return "failed";
    case Outcome::Shed:
        return "shed";
    case Outcome::Broken:
        return "broken";
    case Outcome::Hung:
        return "hung";
    case Outcome::Unreachable:
        return "unreachable";
    case Outcome::Replaced:
        return "replaced";
    case Outcome::Abandoned:
        return "abandoned";
    }
    return "broken";
}

double relaxed(const Belief& belief, const BeliefModel& model, TimePoint now) noexcept
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - belief.at).count());
    const double timeConstant = std::chrono::duration<double>(model.relaxation).count();
    return model.failingShare + (belief.failing - model.failingShare) * std::exp(-elapsed / timeConstant);
}

double pendingRatio(const BeliefModel& model, const LatencyProfile& profile, Duration age) noexcept
{
    const double pendingWhenHealthy = survival(profile, age);
    return std::min((model.failureShare + (1 - model.failureShare) * pendingWhenHealthy) / pendingWhenHealthy, maxPendingRatio);
}

Duration doubtedAfter(const BeliefModel& model, const LatencyProfile& profile, double failing) noexcept
{
    const double odds = failing / (1 - std::min(failing, maxProbability));
    // The survival at which the prior odds times the likelihood ratio of the pending attempt is 1: the posterior odds
    // are even.
    const double survivalAtEvenOdds = odds * model.failureShare / std::max(1 - odds * (1 - model.failureShare), 0.0);
    return survivalAtEvenOdds >= 1 ? Duration::zero() : quantile(profile, 1 - std::max(survivalAtEvenOdds, minSurvivalShare));
}

double updated(double failing, double ratio) noexcept
{
    const double odds = failing / (1 - failing) * ratio;
    return std::clamp(odds / (1 + odds), minProbability, maxProbability);
}

void observe(Belief& belief, const BeliefModel& model, const LatencyProfile& profile, Outcome outcome, Duration lasted, TimePoint now) noexcept
{
    belief.failing = updated(relaxed(belief, model, now), likelihoodRatio(model, profile, outcome, lasted));
    belief.at = now;
}

}
