#include "Fixture.h"

#include "flamingowick/model/Error.h"

using namespace flamingowick;
using namespace flamingowick::dispatch;
using std::chrono::seconds;

TEST_GROUP(Targets) {};

TEST(Targets, WarmUpAfterTheFirstListOnly)
{
    Fixture fixture(serviceWith(4), 1);
    fixture.state.document.targets.warmUp = seconds(8);
    fixture.list(2);
    const auto& targets = fixture.state.targets.byAddress;
    const TargetLimits& limits = fixture.state.document.targets;
    CHECK_EQUAL(4, usableSlots(limits, targets.at("t0"), fixture.now));
    CHECK_EQUAL(1, usableSlots(limits, targets.at("t1"), fixture.now));
    CHECK_EQUAL(3, usableSlots(limits, targets.at("t1"), fixture.now + seconds(6)));
    CHECK_EQUAL(4, usableSlots(limits, targets.at("t1"), fixture.now + seconds(8)));
}

TEST(Targets, StayLeavingWhenAnOlderListDoesNotSaySo)
{
    Fixture fixture;
    fixture.send(TargetLeaving { "t0" });
    fixture.list(2);
    CHECK(fixture.state.targets.byAddress.at("t0").leaving);
}

TEST(Targets, AreNotLeavingAfterTheyWereRelistedOrRestarted)
{
    Fixture fixture;
    fixture.list(2, true);
    fixture.list(1, true);
    fixture.list(2);
    CHECK_FALSE(fixture.state.targets.byAddress.at("t1").leaving);
    fixture.send(TargetStarted { "t0", 5 });
    CHECK_FALSE(fixture.state.targets.byAddress.at("t0").leaving);
}

TEST(Targets, IgnoreReportsOfAnEarlierIncarnation)
{
    Fixture fixture;
    fixture.send(TargetStarted { "t0", 5 });
    fixture.send(TargetLeaving { "t0", 4 });
    CHECK_FALSE(fixture.state.targets.byAddress.at("t0").leaving);
    fixture.send(TargetLeaving { "t0", 5 });
    fixture.send(TargetStarted { "t0", 5 });
    CHECK(fixture.state.targets.byAddress.at("t0").leaving);
}

TEST(Targets, IgnoreALeavingListEntryOfAnEarlierIncarnation)
{
    Fixture fixture;
    fixture.list(1, true);
    fixture.send(TargetStarted { "t0", 5 });
    fixture.list(1, true);
    CHECK_FALSE(fixture.state.targets.byAddress.at("t0").leaving);
    fixture.list(1, false);
    fixture.list(1, true);
    CHECK(fixture.state.targets.byAddress.at("t0").leaving);
}

TEST(Targets, IgnoreTheDrainSignalOfAnEarlierIncarnation)
{
    Fixture fixture({}, 1);
    RequestId id = fixture.submit();
    fixture.send(TargetStarted { "t0", 5 });
    fixture.end(id, AttemptKind::Drained, 503);
    CHECK_FALSE(fixture.state.targets.byAddress.at("t0").leaving);
}

TEST(Targets, AreLeavingWhenReportedBeforeTheListContainsThem)
{
    Fixture fixture({}, 1);
    fixture.send(TargetLeaving { "t1" });
    fixture.list(2);
    CHECK(fixture.state.targets.byAddress.at("t1").leaving);
}

TEST(Targets, IgnoreListsOfALowerVersion)
{
    Fixture fixture({}, 1);
    Target target { "new", "a", false };
    fixture.send(TargetsChanged { { &target, 1 }, 7 });
    fixture.send(TargetsChanged { {}, 6 });
    CHECK(fixture.state.targets.byAddress.contains("new"));
}

TEST(Targets, KeepTheirSlotCountWhileTheyAreNotListed)
{
    Fixture fixture({}, 1);
    RequestId id = fixture.submit();
    fixture.list(0);
    fixture.list(1);
    CHECK_EQUAL(1, fixture.state.targets.byAddress.at("t0").inFlight);
    fixture.end(id, AttemptKind::Answered, 200);
    CHECK_EQUAL(0, fixture.state.targets.byAddress.at("t0").inFlight);
}

TEST(Targets, OnTrialGetAShareOfIdempotentRequests)
{
    Fixture fixture(serviceWith(100));
    fixture.send(TargetHealth { "t0", true, 0.25 });
    unsigned trials = 0;
    for (int request = 0; request < 80; ++request) {
        RequestId id = fixture.submit(request % 2 == 0);
        trials += fixture.first<StartAttempt>()->target == "t0";
        fixture.end(id, AttemptKind::Answered, 200);
    }
    CHECK(trials >= 7 && trials <= 10);
}

TEST(Targets, InTheCallersFailureDomainWinATie)
{
    Candidate candidates[] = { { "x", "a", 1, 4 }, { "y", "b", 1, 4 }, { "z", "b", 2, 4 } };
    for (std::uint64_t random = 0; random < 3; ++random)
        CHECK_EQUAL(1, chooseLeastLoaded(candidates, "b", random));
}

TEST(Targets, RefuseAnAttemptWithoutAFreeSlot)
{
    Fixture fixture(serviceWith(1), 1);
    fixture.submit();
    CHECK_THROWS(InvariantViolation, occupySlot(fixture.state.targets, "t0", fixture.state.document.targets, fixture.now));
}
