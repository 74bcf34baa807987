#include "LoadSimulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::grants;

// Each test simulates a load and compares the pool with entries that choose by two random choices and share no state.
// Without overload the pool has to serve a share of 0.95; otherwise it has to do better than the two choices.

namespace {

struct Comparison {
    LoadOutcome pool;
    LoadOutcome twoChoices;
};

Comparison compare(std::string_view name, const Load& load)
{
    Comparison sum;
    constexpr std::uint64_t seeds = 5;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (auto [total, run] : { std::pair(&sum.pool, simulateWithPool(load, seed)), std::pair(&sum.twoChoices, simulateWithTwoChoices(load, seed)) }) {
            total->requests += run.requests;
            total->served += run.served;
            total->withinObjective += run.withinObjective;
            total->refused += run.refused;
            total->requestsByPriority.resize(run.requestsByPriority.size());
            total->servedByPriority.resize(run.servedByPriority.size());
            for (std::size_t priority = 0; priority < run.requestsByPriority.size(); ++priority) {
                total->requestsByPriority[priority] += run.requestsByPriority[priority];
                total->servedByPriority[priority] += run.servedByPriority[priority];
            }
        }
    }
    std::printf("%.*s: served %.3f (two choices %.3f), in objective %.3f (two choices %.3f)\n", static_cast<int>(name.size()), name.data(), sum.pool.servedShare(), sum.twoChoices.servedShare(),
        static_cast<double>(sum.pool.withinObjective) / sum.pool.requests, static_cast<double>(sum.twoChoices.withinObjective) / sum.twoChoices.requests);
    return sum;
}

}

TEST_GROUP(Loads) {};

TEST(Loads, AThirdOfTheTargetsHangsInTurnAndNoRequestIsIdempotent)
{
    Load load;
    load.targets = 15;
    load.rate = [](double) { return 60.0; };
    load.workSeconds = 0.16;
    load.hangShare = 0.3;
    const Comparison comparison = compare("a third hangs in turn", load);
    CHECK(comparison.pool.servedShare() >= 0.95);
    CHECK(comparison.pool.servedShare() > comparison.twoChoices.servedShare());
}

TEST(Loads, AThirdOfTheTargetsHangsInTurnAndAllRequestsAreIdempotent)
{
    Load load;
    load.targets = 12;
    load.slots = 4;
    load.rate = [](double) { return 40.0; };
    load.workSeconds = 0.3;
    load.deadlineSeconds = 3;
    load.objectiveSeconds = 1.5;
    load.hangShare = 0.3;
    load.idempotentShare = 1;
    const Comparison comparison = compare("a third hangs, idempotent", load);
    CHECK(comparison.pool.servedShare() >= 0.95);
    CHECK(comparison.pool.servedShare() > comparison.twoChoices.servedShare());
}

TEST(Loads, ABurstOfTwiceTheRateOnTwelveSlotsWithAThirdOfTheTargetsHanging)
{
    Load load;
    load.rate = [](double seconds) { return seconds > 20 && seconds < 25 ? 60.0 : 30.0; };
    load.hangShare = 0.3;
    const Comparison comparison = compare("burst on twelve slots", load);
    CHECK(comparison.pool.servedShare() > comparison.twoChoices.servedShare());
    CHECK(comparison.pool.withinObjective > comparison.twoChoices.withinObjective);
}

TEST(Loads, AConstantLoadOf150PercentOfCapacityIsServedInTimeOrRefused)
{
    Load load;
    load.rate = [](double) { return 90.0; };
    const Comparison comparison = compare("constant overload", load);
    CHECK(comparison.pool.servedShare() > comparison.twoChoices.servedShare());
    CHECK(comparison.pool.withinObjective > comparison.twoChoices.withinObjective);
    // Nearly all requests that were not served were refused without an attempt, so that they cost no slot time.
    CHECK(comparison.pool.served + comparison.pool.refused >= comparison.pool.requests * 95 / 100);
}

TEST(Loads, RequestsOfHighPriorityAreServedFirstUnderOverload)
{
    Load load;
    load.rate = [](double) { return 80.0; };
    load.priorities = 3;
    const Comparison comparison = compare("three priorities under overload", load);
    CHECK(comparison.pool.servedShareOfPriority(0) > comparison.pool.servedShareOfPriority(1));
    CHECK(comparison.pool.servedShareOfPriority(1) > comparison.pool.servedShareOfPriority(2));
}

TEST(Loads, AThirdOfTheTargetsIsFiveTimesSlower)
{
    Load load;
    load.targets = 9;
    load.rate = [](double) { return 25.0; };
    load.slowShare = 0.34;
    const Comparison comparison = compare("a slow third", load);
    CHECK(comparison.pool.servedShare() >= 0.95);
    CHECK(comparison.pool.withinObjective > comparison.twoChoices.withinObjective);
}

TEST(Loads, EveryTargetShedsATenthOfItsRequests)
{
    Load load;
    load.targets = 15;
    load.rate = [](double) { return 60.0; };
    load.shedProbability = 0.1;
    const Comparison comparison = compare("all shed a tenth", load);
    CHECK(comparison.pool.servedShare() >= 0.95);
}
