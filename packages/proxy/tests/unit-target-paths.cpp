#include "flamingowick/proxy/TargetPaths.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace flamingowick;
using namespace flamingowick::proxy;
using std::chrono::milliseconds;

TEST_GROUP(TargetPaths)
{
    TargetPaths paths;
    Fleet fleet;
    TimePoint now { std::chrono::seconds(100) };

    // Records that two targets were reached only through another daemon.
    void cutOff()
    {
        CHECK_FALSE(recordPathFault(paths, "i-1", now));
        CHECK(recordPathFault(paths, "i-2", now));
    }

    void addMembers(std::string_view failureDomain, unsigned count)
    {
        for (unsigned index = 0; index < count; ++index) {
            const std::string name = std::string(failureDomain) + "-" + std::to_string(index);
            addMember(fleet, { name, "127.0.0.1:" + std::to_string(fleet.members.size() + 1), std::string(failureDomain) }, now);
        }
    }
};

TEST(TargetPaths, AreDirectAtFirst)
{
    const ConnectPlan plan = planConnection(paths, "i-1", now);
    CHECK(plan.direct);
    CHECK(plan.throughMember);
    CHECK_FALSE(isCutOff(paths));
}

// A lost packet delays a single connection.
TEST(TargetPaths, AreNotCutOffByOneTarget)
{
    CHECK_FALSE(recordPathFault(paths, "i-1", now));
    CHECK_FALSE(recordPathFault(paths, "i-1", now));
    CHECK_FALSE(recordDirectConnection(paths));
    CHECK_FALSE(recordPathFault(paths, "i-2", now));
    CHECK_FALSE(isCutOff(paths));
}

TEST(TargetPaths, LeadThroughOthersWhileCutOffAndAreTriedDirectlyAtTimes)
{
    cutOff();
    unsigned direct = 0;
    for (int step = 0; step < 100; ++step) {
        now += milliseconds(50);
        const ConnectPlan plan = planConnection(paths, "i-1", now);
        CHECK(plan.throughMember);
        direct += plan.direct ? 1 : 0;
    }
    CHECK_EQUAL(10U, direct);
    CHECK(recordDirectConnection(paths));
    CHECK(planConnection(paths, "i-1", now).direct);
}

TEST(TargetPaths, AskNoOtherDaemonForATargetThatOthersDoNotReach)
{
    recordUnreachable(paths, "i-1", now);
    CHECK_FALSE(planConnection(paths, "i-1", now).throughMember);
    CHECK(planConnection(paths, "i-1", now).direct);
    CHECK(planConnection(paths, "i-2", now).throughMember);
    CHECK(planConnection(paths, "i-1", now + paths.limits.unreachableTime).throughMember);
}

TEST(TargetPaths, LeadThroughAnotherFailureDomainFirst)
{
    addMembers("a", 3);
    addMembers("b", 3);
    fleet.self = "a-0";
    for (std::uint64_t random = 0; random < 10; ++random) {
        const auto first = chooseTunnelMember(fleet, paths, "a", {}, random, now);
        CHECK_EQUAL('b', first->front());
        const auto second = chooseTunnelMember(fleet, paths, "a", std::vector<std::string> { *first }, random, now);
        CHECK_EQUAL('a', second->front());
        CHECK(*second != "a-0");
    }
}

TEST(TargetPaths, LeadThroughNoMemberThatIsLeavingSilentOrCouldNotHelp)
{
    addMembers("b", 4);
    fleet.self = "a-0";
    markMemberLeaving(fleet, "b-0");
    markMemberSuspected(fleet, "b-1", now);
    recordUnusableMember(paths, "b-2", now);
    for (std::uint64_t random = 0; random < 10; ++random)
        CHECK_EQUAL(std::string("b-3"), chooseTunnelMember(fleet, paths, "a", {}, random, now).value());
    CHECK_FALSE(chooseTunnelMember(fleet, paths, "a", std::vector<std::string> { "b-3" }, 0, now).has_value());
    now += paths.limits.unusableMemberTime;
    CHECK_EQUAL(std::string("b-2"), chooseTunnelMember(fleet, paths, "a", std::vector<std::string> { "b-3" }, 0, now).value());
}
