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
    Belief belief { model.failingShare, now };
    double before = belief.failing;
    for (int count = 0; count < 3; ++count) {
        observe(belief, model, profile, Outcome::Succeeded, milliseconds(200), now);
        CHECK(belief.failing < before);
        before = belief.failing;
    }
}

TEST(Belief, OneErrorOfAHealthyTargetLeavesItMoreLikelyHealthy)
{
    Belief belief { 0.01, now };
    observe(belief, model, profile, Outcome::Failed, milliseconds(200), now);
    CHECK(belief.failing < 0.5);
}

TEST(Belief, TwoErrorsOfAnUnknownTargetMakeItAlmostCertainlyFailing)
{
    Belief belief { model.failingShare, now };
    observe(belief, model, profile, Outcome::Failed, milliseconds(200), now);
    observe(belief, model, profile, Outcome::Failed, milliseconds(200), now);
    CHECK(belief.failing > 0.9);
}

TEST(Belief, DecaysToThePriorFromEitherSide)
{
    const Belief failing { 0.95, now };
    const Belief healthy { 0.01, now };
    CHECK(relaxed(failing, model, now + seconds(2)) < 0.95);
    CHECK(relaxed(failing, model, now + seconds(2)) > relaxed(failing, model, now + seconds(4)));
    DOUBLES_EQUAL(model.failingShare, relaxed(failing, model, now + seconds(100)), 0.001);
    DOUBLES_EQUAL(model.failingShare, relaxed(healthy, model, now + seconds(100)), 0.001);
}

TEST(Belief, AnAttemptOfUsualAgeIsNoEvidenceAndALateOneIsStrongEvidence)
{
    DOUBLES_EQUAL(1.0, pendingRatio(model, profile, milliseconds(0)), 0.01);
    CHECK(pendingRatio(model, profile, milliseconds(100)) < 1.2);
    CHECK(pendingRatio(model, profile, milliseconds(600)) > 5);
    CHECK(pendingRatio(model, profile, milliseconds(900)) >= pendingRatio(model, profile, milliseconds(600)));
}

TEST(Belief, ASlowAnswerIsWeakerEvidenceOfHealthThanAUsualOne)
{
    Belief usual { 0.3, now };
    Belief slow { 0.3, now };
    observe(usual, model, profile, Outcome::Succeeded, milliseconds(200), now);
    observe(slow, model, profile, Outcome::Succeeded, milliseconds(2000), now);
    CHECK(usual.failing < slow.failing);
}

TEST(Belief, StaysWithinBoundsSoThatLaterEvidenceCanReverseIt)
{
    Belief belief { 0.5, now };
    for (int count = 0; count < 200; ++count)
        observe(belief, model, profile, Outcome::Hung, seconds(5), now);
    CHECK(belief.failing < 1);
    for (int count = 0; count < 8; ++count)
        observe(belief, model, profile, Outcome::Succeeded, milliseconds(200), now);
    CHECK(belief.failing < 0.1);
}

TEST(Belief, AnAttemptAbandonedAtOnceIsNoEvidence)
{
    Belief belief { 0.2, now };
    observe(belief, model, profile, Outcome::Abandoned, Duration::zero(), now);
    DOUBLES_EQUAL(0.2, belief.failing, 0.01);
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

TEST(LatencyProfiles, QuantilesOfFewAnswersComeFromTheObjective)
{
    LatencyProfile profile;
    profile.assumed = milliseconds(900);
    CHECK(quantile(profile, 0.5) < milliseconds(300));
    CHECK(quantile(profile, 0.97) > milliseconds(600));
}

TEST(LatencyProfiles, ReplaceTheOldestAnswers)
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
    Duration before = doubtedAfter(model, profile, 0.005);
    CHECK(before >= milliseconds(450));
    for (const double failing : { 0.05, 0.15, 0.3, 0.5 }) {
        const Duration after = doubtedAfter(model, profile, failing);
        CHECK(after < before);
        // At this age the target is about as likely failing as healthy.
        const double posterior = updated(failing, pendingRatio(model, profile, after));
        CHECK(posterior > 0.4 && posterior < 0.62);
        before = after;
    }
    CHECK(doubtedAfter(model, profile, 0.6) == Duration::zero());
    CHECK(doubtedAfter(model, profile, 1) == Duration::zero());
}
