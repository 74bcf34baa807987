#include "flamingowick/grants/Belief.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::grants;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

LatencyProfile profileAround(Duration latency)
{
    LatencyProfile profile;
    for (int count = 0; count < 100; ++count)
        recordLatency(profile, latency + milliseconds(count % 20));
    return profile;
}

}

TEST_GROUP(Belief)
{
    BeliefModel model;
    LatencyProfile profile = profileAround(milliseconds(200));
    TimePoint now { seconds(100) };
};

TEST(Belief, FallsWithEverySuccess)
{
    Belief belief { model.priorFailingShare, now };
    double before = belief.failureProbability;
    for (int count = 0; count < 3; ++count) {
        updateBelief(belief, model, profile, AttemptOutcome::Succeeded, milliseconds(200), now);
        CHECK(belief.failureProbability < before);
        before = belief.failureProbability;
    }
}

TEST(Belief, OneErrorOfAHealthyTargetLeavesItMoreLikelyHealthy)
{
    Belief belief { 0.01, now };
    updateBelief(belief, model, profile, AttemptOutcome::Failed, milliseconds(200), now);
    CHECK(belief.failureProbability < 0.5);
}

TEST(Belief, TwoErrorsOfAnUnknownTargetMakeItAlmostCertainlyFailing)
{
    Belief belief { model.priorFailingShare, now };
    updateBelief(belief, model, profile, AttemptOutcome::Failed, milliseconds(200), now);
    updateBelief(belief, model, profile, AttemptOutcome::Failed, milliseconds(200), now);
    CHECK(belief.failureProbability > 0.9);
}

TEST(Belief, DecaysToThePriorFromEitherSide)
{
    const Belief failing { 0.95, now };
    const Belief healthy { 0.01, now };
    CHECK(failureProbabilityAt(failing, model, now + seconds(2)) < 0.95);
    CHECK(failureProbabilityAt(failing, model, now + seconds(2)) > failureProbabilityAt(failing, model, now + seconds(4)));
    DOUBLES_EQUAL(model.priorFailingShare, failureProbabilityAt(failing, model, now + seconds(100)), 0.001);
    DOUBLES_EQUAL(model.priorFailingShare, failureProbabilityAt(healthy, model, now + seconds(100)), 0.001);
}

TEST(Belief, AnAttemptOfUsualAgeIsNoEvidenceAndALateOneIsStrongEvidence)
{
    DOUBLES_EQUAL(1.0, pendingLikelihoodRatio(model, profile, milliseconds(0)), 0.01);
    CHECK(pendingLikelihoodRatio(model, profile, milliseconds(100)) < 1.2);
    CHECK(pendingLikelihoodRatio(model, profile, milliseconds(600)) > 5);
    CHECK(pendingLikelihoodRatio(model, profile, milliseconds(900)) >= pendingLikelihoodRatio(model, profile, milliseconds(600)));
}

TEST(Belief, ASlowResponseIsWeakerEvidenceOfHealthThanAUsualOne)
{
    Belief usual { 0.3, now };
    Belief slow { 0.3, now };
    updateBelief(usual, model, profile, AttemptOutcome::Succeeded, milliseconds(200), now);
    updateBelief(slow, model, profile, AttemptOutcome::Succeeded, milliseconds(2000), now);
    CHECK(usual.failureProbability < slow.failureProbability);
}

TEST(Belief, StaysWithinBoundsSoThatLaterEvidenceCanReverseIt)
{
    Belief belief { 0.5, now };
    for (int count = 0; count < 200; ++count)
        updateBelief(belief, model, profile, AttemptOutcome::TimedOut, seconds(5), now);
    CHECK(belief.failureProbability < 1);
    for (int count = 0; count < 8; ++count)
        updateBelief(belief, model, profile, AttemptOutcome::Succeeded, milliseconds(200), now);
    CHECK(belief.failureProbability < 0.1);
}

TEST(Belief, AnAttemptAbandonedAtOnceIsNoEvidence)
{
    Belief belief { 0.2, now };
    updateBelief(belief, model, profile, AttemptOutcome::Abandoned, Duration::zero(), now);
    DOUBLES_EQUAL(0.2, belief.failureProbability, 0.01);
}

TEST_GROUP(LatencyProfiles) {};

TEST(LatencyProfiles, SurvivalFallsWithAgeAndNeverReachesZero)
{
    const LatencyProfile profile = profileAround(milliseconds(100));
    double before = 1;
    for (int age = 0; age < 2000; age += 10) {
        const double now = survival(profile, milliseconds(age));
        CHECK(now <= before);
        CHECK(now > 0);
        before = now;
    }
}

TEST(LatencyProfiles, QuantilesOfFewResponsesComeFromTheObjective)
{
    LatencyProfile profile;
    profile.latencyObjective = milliseconds(900);
    CHECK(quantile(profile, 0.5) < milliseconds(300));
    CHECK(quantile(profile, 0.97) > milliseconds(600));
}

TEST(LatencyProfiles, ReplaceTheOldestResponses)
{
    LatencyProfile profile = profileAround(milliseconds(100));
    for (std::size_t count = 0; count < LatencyProfile::capacity; ++count)
        recordLatency(profile, milliseconds(500));
    CHECK(quantile(profile, 0.1) == milliseconds(500));
}

TEST(Belief, SuspectsATargetTheSoonerTheLikelierItWasFailing)
{
    const BeliefModel model;
    LatencyProfile profile;
    for (int count = 1; count <= 50; ++count)
        recordLatency(profile, milliseconds(10 * count));
    Duration before = suspicionAge(model, profile, 0.005);
    CHECK(before >= milliseconds(450));
    for (const double failing : { 0.05, 0.15, 0.3, 0.5 }) {
        const Duration after = suspicionAge(model, profile, failing);
        CHECK(after < before);
        // At this age the target is about as likely failing as healthy.
        const double posterior = bayesUpdate(failing, pendingLikelihoodRatio(model, profile, after));
        CHECK(posterior > 0.4 && posterior < 0.62);
        before = after;
    }
    CHECK(suspicionAge(model, profile, 0.6) == Duration::zero());
    CHECK(suspicionAge(model, profile, 1) == Duration::zero());
}
