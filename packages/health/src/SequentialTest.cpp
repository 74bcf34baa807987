#include "flamingowick/health/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::health {

namespace {

    // Number of outcomes of a target between two faults; about one day of heavy traffic.
    constexpr double outcomesBetweenFaults = 1e6;
    constexpr double minThreshold = 4.0;
    constexpr double healthySlowShare = 0.05;
    constexpr double failingSlowShare = 0.5;
    constexpr double minShare = 1e-4;
    constexpr double maxShare = 0.95;
    // A target counts as worse than the pool at this many times the pool's share of bad outcomes.
    constexpr double poolShareFactor = 2.5;
    // By Wald's bound, a failing target passes the trickle with a probability of at most 5 %.
    const double clearEvidence = std::log(20.0);
    // Number of buckets that a verdict must span, so that a burst of about one second does not eject a target: the number
    // if false and late ejections cost the same, the increase per tenfold cost of a false ejection, and the limits.
    constexpr double bucketsAtEqualCosts = 4.5;
    constexpr double bucketsPerTenfoldCost = 1.5;
    constexpr double minVerdictBuckets = 4.0;
    constexpr double maxVerdictBuckets = 6.0;
    constexpr double ceilingFactor = 1.5;

    struct OutcomeWeights {
        double bad;
        double good;
    };

    OutcomeWeights weightsOf(const SequentialTest& test) noexcept
    {
        return {
            std::log(test.failingShare / test.healthyShare),
            std::log((1 - test.failingShare) / (1 - test.healthyShare)),
        };
    }

    struct Sample {
        std::uint32_t bad;
        std::uint32_t total;
    };

    Sample sampleOf(const Counts& counts, Symptom symptom) noexcept
    {
        const auto forgiven = std::min(counts.forgiven, counts.errors);
        const auto total = counts.total - std::min(forgiven, counts.total);
        if (symptom != Symptom::Slowness)
            return { std::min(counts.errors - forgiven, total), total };
        const auto successes = counts.total - std::min(counts.errors, counts.total);
        return { std::min(counts.slow, successes), successes };
    }

    double weightedSum(const Sample& sample, const OutcomeWeights& weights) noexcept
    {
        return sample.bad * weights.bad + (sample.total - sample.bad) * weights.good;
    }

    // Calls visit(index, counts) for each non-empty bucket from the given index on, oldest first.
    template <typename Visit>
    void forEachBucket(const Ring& ring, std::int64_t from, Visit visit)
    {
        const auto size = static_cast<std::int64_t>(ring.buckets.size());
        auto index = std::max({ from, ring.newest - size + 1, std::int64_t { 0 } });
        auto position = static_cast<std::size_t>(index % size);
        for (; index <= ring.newest; ++index) {
            const auto& bucket = ring.buckets[position];
            if (bucket.index == index && bucket.counts.total)
                visit(index, bucket.counts);
            position = position + 1 == ring.buckets.size() ? 0 : position + 1;
        }
    }

    double clampShare(double share) noexcept
    {
        return std::clamp(share, minShare, maxShare);
    }

}

std::string_view toString(Symptom symptom) noexcept
{
    switch (symptom) {
    case Symptom::Errors:
        return "errors";
    case Symptom::RareErrors:
        return "rare-errors";
    case Symptom::Slowness:
        return "slowness";
    }
    return "errors";
}

std::array<SequentialTest, symptomCount> testsFor(const HealthPolicy& policy) noexcept
{
    const auto healthy = std::clamp(policy.healthyErrorShare, minShare, maxShare / 2);
    const auto failing = std::clamp(policy.failingErrorShare, healthy * 1.5, maxShare);
    return { {
        { Symptom::Errors, healthy, failing },
        { Symptom::RareErrors, healthy, std::sqrt(healthy * failing) },
        { Symptom::Slowness, healthySlowShare, failingSlowShare },
    } };
}

Thresholds thresholdsFor(const HealthPolicy& policy) noexcept
{
    constexpr double minCost = 1e-9;
    const auto ratio = std::max(policy.falseEjectionCost, minCost) / std::max(policy.lateEjectionCost, minCost);
    Thresholds thresholds;
    thresholds.eject = std::max(minThreshold, std::log(outcomesBetweenFaults * ratio));
    thresholds.probation = thresholds.eject / 2;
    thresholds.suspect = thresholds.eject / 2;
    thresholds.clear = clearEvidence;
    const auto bucketSpan = bucketsAtEqualCosts + bucketsPerTenfoldCost * std::log10(ratio);
    thresholds.bucketLimit = thresholds.eject / std::clamp(bucketSpan, minVerdictBuckets, maxVerdictBuckets);
    thresholds.ceiling = thresholds.eject * ceilingFactor;
    return thresholds;
}

SequentialTest relativeTo(const SequentialTest& test, double poolShare) noexcept
{
    auto relative = test;
    relative.healthyShare = clampShare(std::max(test.healthyShare, poolShare));
    if (poolShare > test.healthyShare)
        relative.failingShare = clampShare(std::max(test.failingShare, poolShare * poolShareFactor));
    return relative;
}

Score cusum(const Ring& ring, const SequentialTest& test, std::int64_t from, const Thresholds& thresholds) noexcept
{
    const auto weights = weightsOf(test);
    Score score;
    score.width = ring.width;
    forEachBucket(ring, from, [&](std::int64_t index, const Counts& counts) {
        const auto sample = sampleOf(counts, test.symptom);
        const auto value = score.value + std::min(weightedSum(sample, weights), thresholds.bucketLimit);
        if (value <= 0) {
            score = Score { 0, 0, 0, index + 1, ring.width };
            return;
        }
        score.value = std::min(value, thresholds.ceiling);
        score.bad += sample.bad;
        score.total += sample.total;
    });
    return score;
}

double highestScore(const Ring& ring, const SequentialTest& test) noexcept
{
    const auto bad = test.symptom == Symptom::Slowness ? ring.sum.slow : ring.sum.errors;
    return bad * weightsOf(test).bad;
}

double logLikelihoodRatio(const Ring& ring, const SequentialTest& test, std::int64_t from) noexcept
{
    const auto weights = weightsOf(test);
    double sum = 0;
    forEachBucket(ring, from, [&](std::int64_t, const Counts& counts) {
        sum += weightedSum(sampleOf(counts, test.symptom), weights);
    });
    return sum;
}

Score tally(const Ring& ring, Symptom symptom, std::int64_t from) noexcept
{
    Score score;
    score.since = from;
    score.width = ring.width;
    forEachBucket(ring, from, [&](std::int64_t, const Counts& counts) {
        const auto sample = sampleOf(counts, symptom);
        score.bad += sample.bad;
        score.total += sample.total;
    });
    return score;
}

}
