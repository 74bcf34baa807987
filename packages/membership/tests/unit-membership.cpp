#include "Fleet.h"

#include "flamingowick/model/Invariant.h"

#include <cstdlib>

// Included last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::membership;

namespace {

constexpr unsigned scheduleCount = 2000;
constexpr unsigned mutationScheduleCount = 100;

std::uint64_t firstSeed()
{
    const char* text = std::getenv("FLAMINGOWICK_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// Injects random faults into a fleet, ends them, and returns whether the daemons agree on the members 40 s later.
bool convergesAfterFaults(std::uint64_t seed, Policy policy)
{
    Fleet fleet(3 + seed % 4, seed, policy);
    fleet.run(std::chrono::seconds(3));
    auto count = static_cast<unsigned>(fleet.daemons.size());
    for (unsigned round = 0; round < 4; ++round) {
        unsigned index = static_cast<unsigned>(fleet.random() % count);
        fleet.lossProbability = static_cast<double>(fleet.random() % 30) / 100;
        fleet.duplicationProbability = 0.1;
        switch (fleet.random() % 4) {
        case 0:
            fleet.kill(index);
            break;
        case 1:
            fleet.restart(index);
            break;
        case 2:
            fleet.setPaused(index, true);
            break;
        default:
            fleet.blockLink(index, static_cast<unsigned>(fleet.random() % count));
            break;
        }
        fleet.run(std::chrono::milliseconds(500 + fleet.random() % 6000));
    }
    fleet.healAll();
    fleet.run(std::chrono::seconds(40));
    return fleet.hasConverged();
}

unsigned countFailures(Policy policy, unsigned runs)
{
    unsigned failures = 0;
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + runs; ++seed) {
        try {
            failures += convergesAfterFaults(seed, policy) ? 0 : 1;
        } catch (const InvariantViolation&) {
            ++failures;
        }
    }
    return failures;
}

}

TEST_GROUP(Membership) {};

TEST(Membership, FindsEveryMemberFromTwoSeeds)
{
    Fleet fleet(44, 1);
    fleet.run(std::chrono::seconds(5));
    CHECK(fleet.hasConverged());
}

TEST(Membership, EveryMemberDetectsAKilledMember)
{
    Fleet fleet(44, 2);
    fleet.run(std::chrono::seconds(5));
    fleet.kill(7);
    fleet.run(std::chrono::seconds(10));
    CHECK_EQUAL(0U, fleet.observersCountingAlive(7));
    CHECK_EQUAL(0U, fleet.falseLossCount());
}

TEST(Membership, KeepsAMemberThatOnePeerCannotReach)
{
    Fleet fleet(11, 3);
    fleet.run(std::chrono::seconds(5));
    fleet.blockLink(2, 5);
    fleet.run(std::chrono::minutes(2));
    CHECK_EQUAL(0U, fleet.falseLossCount());
    CHECK_EQUAL(10U, fleet.observersCountingAlive(5));
}

TEST(Membership, KeepsAllMembersWhileATenthOfTheMessagesIsLost)
{
    Fleet fleet(22, 4);
    fleet.run(std::chrono::seconds(5));
    fleet.lossProbability = 0.1;
    fleet.run(std::chrono::minutes(2));
    CHECK_EQUAL(0U, fleet.falseLossCount());
}

TEST(Membership, APausedMemberRejoinsAndReportsNobodyAsLost)
{
    Fleet fleet(11, 5);
    fleet.run(std::chrono::seconds(5));
    fleet.setPaused(3, true);
    fleet.run(std::chrono::seconds(30));
    CHECK_EQUAL(0U, fleet.observersCountingAlive(3));
    fleet.setPaused(3, false);
    fleet.run(std::chrono::seconds(25));
    CHECK(fleet.hasConverged());
    CHECK_EQUAL(0U, fleet.falseLossCount());
}

TEST(Membership, DistinguishesARestartFromThePreviousIncarnation)
{
    Fleet fleet(5, 6);
    fleet.run(std::chrono::seconds(5));
    Incarnation before = fleet.daemons[2].state.own.member.id.incarnation;
    fleet.restart(2);
    fleet.run(std::chrono::seconds(5));
    CHECK(fleet.hasConverged());
    CHECK(fleet.daemons[0].state.members.at("vm-2").update.member.id.incarnation > before);
}

TEST(Membership, FindsTheOtherHalfAfterAnHourLongCut)
{
    Fleet fleet(6, 7);
    fleet.run(std::chrono::seconds(5));
    for (unsigned left = 0; left < 3; ++left) {
        for (unsigned right = 3; right < 6; ++right) {
            fleet.blockLink(left, right);
            fleet.blockLink(right, left);
        }
    }
    fleet.run(std::chrono::hours(1));
    CHECK(!fleet.hasConverged());
    fleet.healAll();
    fleet.run(std::chrono::seconds(60));
    CHECK(fleet.hasConverged());
}

TEST(Membership, AMemberThatLeavesIsRemovedWithin200Ms)
{
    Fleet fleet(5, 8);
    fleet.run(std::chrono::seconds(5));
    fleet.leave(1);
    fleet.run(std::chrono::milliseconds(200));
    CHECK_EQUAL(0U, fleet.observersCountingAlive(1));
    CHECK(fleet.hasConverged());
}

TEST(Membership, ConvergesAfterFaultsHaveEnded)
{
    CHECK_EQUAL(0U, countFailures({}, scheduleCount));
}

TEST_GROUP(MembershipMutations) {};

TEST(MembershipMutations, WithoutRefutationPausedMembersStayLost)
{
    Policy policy;
    policy.mustRefute = [](const Update&, const Update&) noexcept { return false; };
    CHECK(countFailures(policy, mutationScheduleCount) > 0);
}

TEST(MembershipMutations, WithoutTheOrderOfIncarnationsSchedulesFail)
{
    Policy policy;
    policy.supersedes = [](const Update& current, const Update& candidate) noexcept { return !(current == candidate); };
    CHECK(countFailures(policy, mutationScheduleCount) > 0);
}
