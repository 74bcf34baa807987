#include "TestSupport.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace flamingowick;
using namespace flamingowick::health;

namespace {

std::vector<PoolMember> members(std::size_t count)
{
    std::vector<PoolMember> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back({ test::addressOf(i), false, false });
    return result;
}

Restriction ejected(std::size_t target, double severity, std::string from = "")
{
    return { { test::addressOf(target), std::move(from) }, { Standing::Ejected, 0 }, severity };
}

}

TEST_GROUP(Floor) {};

TEST(Floor, IsTheShareOfAllSlotsRoundedUp)
{
    CHECK_EQUAL(6U, floorSlots(6, 2, 0.5));
    CHECK_EQUAL(8U, floorSlots(5, 3, 0.5));
    CHECK_EQUAL(3U, floorSlots(30, 1, 0.1));
    CHECK_EQUAL(0U, floorSlots(0, 2, 0.5));
}

TEST(Floor, EjectsTheWorstFirstAndBreaksTiesByAddress)
{
    const auto pool = members(4);
    const std::vector<Restriction> wanted { ejected(3, 0.4), ejected(2, 0.9), ejected(1, 0.4) };
    const auto verdict = applyFloor({ pool, wanted, 2, 0.5 });
    CHECK_EQUAL(2U, verdict.applied.size());
    CHECK(verdict.applied[0] == wanted[1]);
    CHECK(verdict.applied[1] == wanted[2]);
    CHECK(verdict.heldBack == std::vector<Restriction> { wanted[0] });
}

TEST(Floor, CountsLeavingAndWarmingTargetsAsNoCapacity)
{
    auto pool = members(4);
    pool[0].leaving = true;
    pool[1].warming = true;
    const std::vector<Restriction> wanted { ejected(2, 1.0) };
    CHECK(applyFloor({ pool, wanted, 2, 0.5 }).applied.empty());
    const std::vector<Restriction> warming { ejected(1, 1.0) };
    CHECK_EQUAL(1U, applyFloor({ pool, warming, 2, 0.5 }).applied.size());
}

TEST(Floor, CountsPathRestrictionsOnlyFromTheirFailureDomain)
{
    const auto pool = members(4);
    const std::vector<Restriction> wanted { ejected(0, 1, "fd0"), ejected(1, 1, "fd0"), ejected(2, 1, "fd0"), ejected(3, 1, "fd1") };
    const auto verdict = applyFloor({ pool, wanted, 1, 0.5 });
    CHECK_EQUAL(3U, verdict.applied.size());
    CHECK_EQUAL(2U, healthyCapacity({ pool, {}, 1, 0.5 }, verdict.applied, "fd0"));
    CHECK_EQUAL(3U, healthyCapacity({ pool, {}, 1, 0.5 }, verdict.applied, "fd1"));
}

TEST(Floor, DoesNotDependOnTheOrderOfTheRestrictions)
{
    std::mt19937_64 random(20261203);
    for (int round = 0; round < 500; ++round) {
        const auto pool = members(3 + random() % 10);
        std::vector<Restriction> wanted;
        for (std::size_t i = 0; i < pool.size(); ++i)
            wanted.push_back(ejected(i, static_cast<double>(random() % 3), random() % 4 ? "" : "fd1"));
        const auto expected = applyFloor({ pool, wanted, 2, 0.5 });
        std::shuffle(wanted.begin(), wanted.end(), random);
        const auto other = applyFloor({ pool, wanted, 2, 0.5 });
        CHECK(expected.applied == other.applied);
        CHECK(respectsFloor({ pool, wanted, 2, 0.5 }, other.applied));
    }
}

TEST(Floor, CheckFailsForRestrictionsBelowIt)
{
    const auto pool = members(2);
    const std::vector<Restriction> both { ejected(0, 1), ejected(1, 1) };
    CHECK_FALSE(respectsFloor({ pool, both, 2, 0.5 }, both));
    CHECK(respectsFloor({ pool, both, 2, 0.0 }, both));
}
