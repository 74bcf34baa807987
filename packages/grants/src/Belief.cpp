#include "flamingowick/grants/Belief.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::grants {

namespace {

    // Likelihood ratios, failing over sound. Sound targets answer about one request in a hundred with
    // an error; failing ones most.
    constexpr double failedRatio = 14;
    constexpr double brokenRatio = 14;
    constexpr double unreachableRatio = 30;
    // A full target sheds too.
    constexpr double shedRatio = 3;
    // Limits of certainty, so that later evidence can turn the verdict.
    constexpr double leastProbability = 0.005;
    constexpr double greatestProbability = 0.98;
    // Weight of a slow answer: an answer slower than 49 in 50 counts against the target.
    constexpr double slowWeight = 0.015;
    constexpr double greatestSlowRatio = 3;
    constexpr double greatestPendingRatio = 60;
    // Fewer late answers than this can't be told from the profile.
    constexpr double leastUnusual = 0.01;

    double ratioOf(const BeliefModel& model, const LatencyProfile& profile, Outcome outcome, Duration lasted) noexcept
    {
        switch (outcome) {
        case Outcome::Succeeded:
            return std::min((1 - model.failureShare) + slowWeight / survival(profile, lasted), greatestSlowRatio);
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
    const double time = std::chrono::duration<double>(model.relaxation).count();
    return model.failingShare + (belief.failing - model.failingShare) * std::exp(-elapsed / time);
}

double pendingRatio(const BeliefModel& model, const LatencyProfile& profile, Duration age) noexcept
{
    const double sound = survival(profile, age);
    return std::min((model.failureShare + (1 - model.failureShare) * sound) / sound, greatestPendingRatio);
}

Duration doubtedAfter(const BeliefModel& model, const LatencyProfile& profile, double failing) noexcept
{
    const double odds = failing / (1 - std::min(failing, greatestProbability));
    // Share of sound answers that are still out when the odds have become even.
    const double left = odds * model.failureShare / std::max(1 - odds * (1 - model.failureShare), 0.0);
    return left >= 1 ? Duration::zero() : quantile(profile, 1 - std::max(left, leastUnusual));
}

double updated(double failing, double ratio) noexcept
{
    const double odds = failing / (1 - failing) * ratio;
    return std::clamp(odds / (1 + odds), leastProbability, greatestProbability);
}

void observe(Belief& belief, const BeliefModel& model, const LatencyProfile& profile, Outcome outcome, Duration lasted, TimePoint now) noexcept
{
    belief.failing = updated(relaxed(belief, model, now), ratioOf(model, profile, outcome, lasted));
    belief.at = now;
}

}
