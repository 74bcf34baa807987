#include "Fleet.h"

#include "flamingowick/model/Invariant.h"

#include <cstdlib>

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::membership;

namespace {

constexpr unsigned schedules = 2000;
constexpr unsigned mutationSchedules = 100;

std::uint64_t firstSeed()
{
    const char* text = std::getenv("FLAMINGOWICK_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

// Disturbs a fleet at random, then heals everything and gives it time to agree.
bool convergesAfterFaults(std::uint64_t seed, Policy policy)
{
    Fleet fleet(3 + seed % 4, seed, policy);
    fleet.run(std::chrono::seconds(3));
    auto count = static_cast<unsigned>(fleet.daemons.size());
    for (unsigned round = 0; round < 4; ++round) {
        unsigned index = static_cast<unsigned>(fleet.random() % count);
        fleet.loss = static_cast<double>(fleet.random() % 30) / 100;
        fleet.repeat = 0.1;
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
            fleet.cut(index, static_cast<unsigned>(fleet.random() % count));
            break;
        }
        fleet.run(std::chrono::milliseconds(500 + fleet.random() % 6000));
    }
    fleet.healAll();
    fleet.run(std::chrono::seconds(40));
    return fleet.agrees();
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
    CHECK(fleet.agrees());
}

TEST(Membership, NoticesADeadMemberEverywhere)
{
    Fleet fleet(44, 2);
    fleet.run(std::chrono::seconds(5));
    fleet.kill(7);
    fleet.run(std::chrono::seconds(10));
    CHECK_EQUAL(0U, fleet.countingAlive(7));
    CHECK_EQUAL(0U, fleet.falseLosses());
}

TEST(Membership, KeepsAMemberThatOnePeerCanNotReach)
{
    Fleet fleet(11, 3);
    fleet.run(std::chrono::seconds(5));
    fleet.cut(2, 5);
    fleet.run(std::chrono::minutes(2));
    CHECK_EQUAL(0U, fleet.falseLosses());
    CHECK_EQUAL(10U, fleet.countingAlive(5));
}

TEST(Membership, KeepsAllMembersWhileATenthOfTheMessagesIsLost)
{
    Fleet fleet(22, 4);
    fleet.run(std::chrono::seconds(5));
    fleet.loss = 0.1;
    fleet.run(std::chrono::minutes(2));
    CHECK_EQUAL(0U, fleet.falseLosses());
}

TEST(Membership, APausedMemberComesBackAndCondemnsNobody)
{
    Fleet fleet(11, 5);
    fleet.run(std::chrono::seconds(5));
    fleet.setPaused(3, true);
    fleet.run(std::chrono::seconds(30));
    CHECK_EQUAL(0U, fleet.countingAlive(3));
    fleet.setPaused(3, false);
    fleet.run(std::chrono::seconds(25));
    CHECK(fleet.agrees());
    CHECK_EQUAL(0U, fleet.falseLosses());
}

TEST(Membership, TellsARestartFromTheLifeBefore)
{
    Fleet fleet(5, 6);
    fleet.run(std::chrono::seconds(5));
    Incarnation before = fleet.daemons[2].state.own.member.id.incarnation;
    fleet.restart(2);
    fleet.run(std::chrono::seconds(5));
    CHECK(fleet.agrees());
    CHECK(fleet.daemons[0].state.members.at("vm-2").update.member.id.incarnation > before);
}

TEST(Membership, FindsTheOtherHalfAfterAnHourLongCut)
{
    Fleet fleet(6, 7);
    fleet.run(std::chrono::seconds(5));
    for (unsigned left = 0; left < 3; ++left) {
        for (unsigned right = 3; right < 6; ++right) {
            fleet.cut(left, right);
            fleet.cut(right, left);
        }
    }
    fleet.run(std::chrono::hours(1));
    CHECK(!fleet.agrees());
    fleet.healAll();
    fleet.run(std::chrono::seconds(60));
    CHECK(fleet.agrees());
}

TEST(Membership, AMemberThatLeavesIsGoneAtOnce)
{
    Fleet fleet(5, 8);
    fleet.run(std::chrono::seconds(5));
    fleet.leave(1);
    fleet.run(std::chrono::milliseconds(200));
    CHECK_EQUAL(0U, fleet.countingAlive(1));
    CHECK(fleet.agrees());
}

TEST(Membership, AgreesOnceFaultsHaveEnded)
{
    CHECK_EQUAL(0U, countFailures({}, schedules));
}

TEST_GROUP(MembershipMutations) {};

TEST(MembershipMutations, WithoutRefutationThePausedStayOut)
{
    Policy policy;
    policy.mustRefute = [](const Update&, const Update&) noexcept { return false; };
    CHECK(countFailures(policy, mutationSchedules) > 0);
}

TEST(MembershipMutations, WithoutTheOrderOfIncarnationsTheDeadComeBack)
{
    Policy policy;
    policy.supersedes = [](const Update& held, const Update& offered) noexcept { return !(held == offered); };
    CHECK(countFailures(policy, mutationSchedules) > 0);
}
