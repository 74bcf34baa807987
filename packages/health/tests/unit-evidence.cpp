#include "TestSupport.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace flamingowick;
using namespace flamingowick::health;
using namespace std::chrono_literals;

namespace {

// Merges the counters in the given order and returns the pooled counts of the bucket at the start time.
Counts pooledAfter(const std::vector<std::pair<ObserverId, TargetCounters>>& messages)
{
    TargetEvidence evidence;
    for (const auto& [observer, counters] : messages)
        mergeCounters(evidence, observer, counters, test::start);
    return countsAt(evidence.pooled.fine, bucketIndex(test::start, fineWidth));
}

TargetCounters countersOf(TargetEvidence& evidence, const ObserverId& observer)
{
    return countersSince("t", evidence.byObserver[observer], test::start - 1min);
}

}

TEST_GROUP(Evidence) {};

TEST(Evidence, MergesToTheSameSumsWhateverTheOrderAndTheDuplicates)
{
    std::vector<std::pair<ObserverId, TargetCounters>> messages;
    for (std::size_t i = 0; i < 3; ++i) {
        TargetEvidence own;
        for (int k = 0; k < 5; ++k) {
            addCounts(own, test::observerAt(i), test::start, Counts { 1, k % 2 ? 1U : 0U, 0, 0 });
            messages.emplace_back(test::observerAt(i), countersOf(own, test::observerAt(i)));
        }
    }
    std::mt19937_64 random(7);
    for (int round = 0; round < 100; ++round) {
        auto shuffled = messages;
        shuffled.insert(shuffled.end(), messages.begin(), messages.begin() + 4);
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        const auto sums = pooledAfter(shuffled);
        CHECK_EQUAL(15U, sums.total);
        CHECK_EQUAL(6U, sums.errors);
    }
}

TEST(Evidence, IgnoresBucketsFarInTheFuture)
{
    TargetEvidence ahead;
    addCounts(ahead, test::observerAt(0), test::start + 1min, Counts { 1, 1, 0, 0 });
    TargetEvidence evidence;
    mergeCounters(evidence, test::observerAt(0), countersSince("t", ahead.pooled, test::start), test::start);
    CHECK_EQUAL(0U, tally(evidence.pooled.fine, Symptom::Errors, 0).total);
}

TEST(Evidence, DropsObserversWithoutOutcomesInTheWindow)
{
    TargetEvidence evidence;
    addCounts(evidence, test::observerAt(0), test::start, Counts { 1, 0, 0, 0 });
    CHECK_FALSE(isStale(evidence, test::start + 5min));
    CHECK(isStale(evidence, test::start + 11min));
    dropStaleObservers(evidence, test::start + 11min);
    CHECK(evidence.byObserver.empty());
}

TEST_GROUP(SequentialTests) {};

TEST(SequentialTests, NeverFallBelowZeroAndDropEarlierOutcomes)
{
    const SequentialTest errors { Symptom::Errors, 0.01, 0.3 };
    const auto thresholds = thresholdsFor({});
    Rings rings;
    TargetEvidence evidence;
    addCounts(evidence, test::observerAt(0), test::start, Counts { 1000, 0, 0, 0 });
    addCounts(evidence, test::observerAt(0), test::start + 1s, Counts { 2, 2, 0, 0 });
    const auto score = cusum(evidence.pooled.fine, errors, 0, thresholds);
    DOUBLES_EQUAL(std::min(2 * std::log(30.0), thresholds.bucketLimit), score.value, 1e-9);
    CHECK_EQUAL(2U, score.bad);
    CHECK_EQUAL(2U, score.total);
}

TEST(SequentialTests, NeverExceedTheHighestScore)
{
    std::mt19937_64 random(17);
    TargetEvidence evidence;
    for (int i = 0; i < 3000; ++i) {
        const auto bad = random() % 8 == 0 ? 1U : 0U;
        addCounts(evidence, test::observerAt(0), test::start + i * 37ms, Counts { 1, bad, 1 - bad, random() % 40 == 0 ? bad : 0 });
        for (const auto& sequentialTest : testsFor({})) {
            const auto score = cusum(evidence.pooled.fine, sequentialTest, 0, thresholdsFor({}));
            CHECK(score.value <= highestScore(evidence.pooled.fine, sequentialTest) + 1e-9);
        }
    }
}

TEST(SequentialTests, DoNotCountForgivenErrors)
{
    TargetEvidence evidence;
    addCounts(evidence, test::observerAt(0), test::start, Counts { 3, 3, 0, 0 });
    addCounts(evidence, test::observerAt(0), test::start, Counts { 0, 0, 0, 2 });
    const auto sums = tally(evidence.pooled.fine, Symptom::Errors, 0);
    CHECK_EQUAL(1U, sums.bad);
    CHECK_EQUAL(1U, sums.total);
}

TEST(SequentialTests, RequireMoreEvidenceWhereFalseEjectionsCostMore)
{
    HealthPolicy careful;
    careful.falseEjectionCost = 30;
    HealthPolicy quick;
    quick.falseEjectionCost = 1;
    quick.lateEjectionCost = 3;
    DOUBLES_EQUAL(std::log(90.0), thresholdsFor(careful).eject - thresholdsFor(quick).eject, 1e-9);
    DOUBLES_EQUAL(6, thresholdsFor(careful).eject / thresholdsFor(careful).bucketLimit, 1e-9);
    DOUBLES_EQUAL(4, thresholdsFor(quick).eject / thresholdsFor(quick).bucketLimit, 1e-9);
}

TEST(SequentialTests, CompareATargetWithThePoolsShare)
{
    const SequentialTest errors { Symptom::Errors, 0.01, 0.3 };
    CHECK_EQUAL(0.01, relativeTo(errors, 0.0).healthyShare);
    CHECK_EQUAL(0.4, relativeTo(errors, 0.4).healthyShare);
    CHECK_EQUAL(0.95, relativeTo(errors, 0.4).failingShare);
}

TEST_GROUP(EjectionRecords) {};

TEST(EjectionRecords, JoinIsCommutativeAssociativeAndIdempotent)
{
    std::mt19937_64 random(11);
    const auto makeRandomRecord = [&] {
        EjectionRecord record;
        record.ejectedAt = test::start + Duration(random() % 3);
        record.phase = static_cast<Phase>(random() % 3);
        record.until = test::start + Duration(random() % 3);
        record.severity = static_cast<double>(random() % 2);
        return record;
    };
    for (int round = 0; round < 2000; ++round) {
        const auto a = makeRandomRecord();
        const auto b = makeRandomRecord();
        const auto c = makeRandomRecord();
        CHECK(join(a, b) == join(b, a));
        CHECK(join(a, join(b, c)) == join(join(a, b), c));
        CHECK(join(a, a) == a);
    }
}

TEST(EjectionRecords, LastLongerForFlappingTargetsAndDecayLater)
{
    const HealthPolicy policy;
    CHECK(ejectionDuration(policy, 0) == policy.baseEjection);
    CHECK(ejectionDuration(policy, 2) == policy.baseEjection * 4);
    CHECK(ejectionDuration(policy, 60) == policy.maxEjection);
    EjectionRecord record;
    record.ejectedAt = test::start;
    record.until = test::start + 30s;
    record.repeats = 1;
    CHECK_EQUAL(2U, repeatsAt(record, policy, test::start + 1min));
    CHECK_EQUAL(1U, repeatsAt(record, policy, test::start + 11min));
    CHECK_EQUAL(0U, repeatsAt(record, policy, test::start + 21min));
}

TEST(EjectionRecords, ReturnByTrickleThenRamp)
{
    const HealthPolicy policy;
    EjectionRecord record;
    record.ejectedAt = test::start;
    record.until = test::start + 30s;
    CHECK(standingAt(record, policy, test::start + 29s).standing == Standing::Ejected);
    CHECK(standingAt(record, policy, test::start + 31s) == (StandingShare { Standing::Trickle, trickleShare }));
    record.phase = Phase::Ramp;
    record.changedAt = test::start + 40s;
    CHECK(standingAt(record, policy, test::start + 45s) == (StandingShare { Standing::Ramp, 0.5 }));
    CHECK(standingAt(record, policy, test::start + 50s).standing == Standing::Healthy);
}

TEST(EjectionRecords, EndNoLaterThanADocumentThatShortensThemAllows)
{
    HealthPolicy policy;
    EjectionRecord record;
    record.ejectedAt = test::start;
    record.until = test::start + 5min;
    policy.maxEjection = 20s;
    CHECK(endOf(record, policy) == test::start + 20s);
}
