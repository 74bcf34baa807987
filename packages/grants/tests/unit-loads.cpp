#include "LoadSimulation.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::grants;

// Each test names a pattern of load and compares the pool with entries that share nothing. Bounds are
// those of the target (0.95 served on a day without overload) or the comparison itself.

namespace {

struct Pair {
    LoadOutcome pool;
    LoadOutcome before;
};

Pair play(std::string_view name, const Load& load)
{
    Pair sum;
    constexpr std::uint64_t seeds = 5;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (auto [into, from] : { std::pair(&sum.pool, playWithPool(load, seed)), std::pair(&sum.before, playWithTwoChoices(load, seed)) }) {
            into->asked += from.asked;
            into->served += from.served;
            into->inObjective += from.inObjective;
            into->refused += from.refused;
            into->askedByRank.resize(from.askedByRank.size());
            into->servedByRank.resize(from.servedByRank.size());
            for (std::size_t rank = 0; rank < from.askedByRank.size(); ++rank) {
                into->askedByRank[rank] += from.askedByRank[rank];
                into->servedByRank[rank] += from.servedByRank[rank];
            }
        }
    }
    std::printf("%.*s: served %.3f (before %.3f), in objective %.3f (before %.3f)\n", static_cast<int>(name.size()), name.data(), sum.pool.share(), sum.before.share(),
        static_cast<double>(sum.pool.inObjective) / sum.pool.asked, static_cast<double>(sum.before.inObjective) / sum.before.asked);
    return sum;
}

}

TEST_GROUP(Loads) {};

TEST(Loads, AThirdOfTheTargetsHangsByTurnsAndNothingMayBeRepeated)
{
    Load load;
    load.targets = 15;
    load.rate = [](double) { return 60.0; };
    load.workSeconds = 0.16;
    load.hangShare = 0.3;
    const Pair played = play("a third hangs by turns", load);
    CHECK(played.pool.share() >= 0.95);
    CHECK(played.pool.share() > played.before.share());
}

TEST(Loads, AThirdOfTheTargetsHangsByTurnsAndAllMayBeRepeated)
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
    const Pair played = play("a third hangs, repeatable", load);
    CHECK(played.pool.share() >= 0.95);
    CHECK(played.pool.share() > played.before.share());
}

TEST(Loads, BurstOfTwiceTheRateOnTwelveSlotsWithAThirdOfTheTargetsHanging)
{
    Load load;
    load.rate = [](double seconds) { return seconds > 20 && seconds < 25 ? 60.0 : 30.0; };
    load.hangShare = 0.3;
    const Pair played = play("burst on twelve slots", load);
    CHECK(played.pool.share() > played.before.share());
    CHECK(played.pool.inObjective > played.before.inObjective);
}

TEST(Loads, HalfAsMuchAgainAsAllSlotsCarryIsServedInTimeOrRefused)
{
    Load load;
    load.rate = [](double) { return 90.0; };
    const Pair played = play("standing overload", load);
    CHECK(played.pool.share() > played.before.share());
    CHECK(played.pool.inObjective > played.before.inObjective);
    // Whoever is let in is served: nearly all others were refused unsent.
    CHECK(played.pool.served + played.pool.refused >= played.pool.asked * 95 / 100);
}

TEST(Loads, UrgentRequestsComeFirstUnderOverload)
{
    Load load;
    load.rate = [](double) { return 80.0; };
    load.ranks = 3;
    const Pair played = play("three ranks under overload", load);
    CHECK(played.pool.shareOfRank(0) > played.pool.shareOfRank(1));
    CHECK(played.pool.shareOfRank(1) > played.pool.shareOfRank(2));
}

TEST(Loads, AThirdOfTheTargetsIsFiveTimesSlower)
{
    Load load;
    load.targets = 9;
    load.rate = [](double) { return 25.0; };
    load.slowShare = 0.34;
    const Pair played = play("a slow third", load);
    CHECK(played.pool.share() >= 0.95);
    CHECK(played.pool.inObjective > played.before.inObjective);
}

TEST(Loads, EveryTargetRefusesATenthOfItsRequests)
{
    Load load;
    load.targets = 15;
    load.rate = [](double) { return 60.0; };
    load.sheds = 0.1;
    const Pair played = play("all shed a tenth", load);
    CHECK(played.pool.share() >= 0.95);
}
