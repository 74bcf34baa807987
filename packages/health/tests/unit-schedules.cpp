#include "Schedule.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::health;
using namespace flamingowick::health::test;

namespace {

using Run = ScheduleResult (*)(std::uint64_t, const Decisions&);

struct Totals {
    std::uint64_t runs { 0 };
    std::uint64_t failures { 0 };
    std::size_t ejections { 0 };
    std::size_t pathsAvoided { 0 };
    std::size_t floorHits { 0 };
    std::size_t sharedCauses { 0 };
    std::string firstFailure;
};

void add(Totals& totals, std::uint64_t seed, const ScheduleResult& result)
{
    ++totals.runs;
    totals.ejections += result.ejections;
    totals.pathsAvoided += result.pathsAvoided;
    totals.floorHits += result.floorHits;
    totals.sharedCauses += result.sharedCauseSeen;
    if (result.failure.empty())
        return;
    ++totals.failures;
    if (totals.firstFailure.empty())
        totals.firstFailure = "seed " + std::to_string(seed) + ": " + result.failure;
}

// Runs schedules with seeds from FLAMINGOWICK_SEED on: at least the given number, and for FLAMINGOWICK_SECONDS if set.
Totals runAll(Run run, std::uint64_t minRuns, const Decisions& decisions = {})
{
    const auto seed = fromEnvironment("FLAMINGOWICK_SEED", 1);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(fromEnvironment("FLAMINGOWICK_SECONDS", 0));
    Totals totals;
    while (totals.runs < minRuns || std::chrono::steady_clock::now() < end)
        add(totals, seed + totals.runs, run(seed + totals.runs, decisions));
    return totals;
}

void expectNoFailure(const char* name, const Totals& totals)
{
    std::printf("\n%s: %llu schedules, %llu failed, %zu ejections, %zu paths avoided, %zu floor hits, %zu with a shared cause\n",
        name, static_cast<unsigned long long>(totals.runs), static_cast<unsigned long long>(totals.failures),
        totals.ejections, totals.pathsAvoided, totals.floorHits, totals.sharedCauses);
    STRCMP_EQUAL("", totals.firstFailure.c_str());
}

constexpr std::uint64_t scheduleCount = 2000;
constexpr std::uint64_t brokenScheduleCount = 60;

void expectFailure(Run run, const Decisions& broken)
{
    const auto intact = runAll(run, brokenScheduleCount);
    STRCMP_EQUAL("", intact.firstFailure.c_str());
    CHECK(runAll(run, brokenScheduleCount, broken).failures > 0);
}

}

TEST_GROUP(Schedules) {};

TEST(Schedules, KeepTheFloorAndComeToAgree)
{
    expectNoFailure("mixed", runAll(runMixedSchedule, scheduleCount));
}

TEST(Schedules, EjectNobodyForASharedCause)
{
    expectNoFailure("shared cause", runAll(runSharedCauseSchedule, scheduleCount));
}

TEST(Schedules, AvoidThePathAndNotTheTarget)
{
    expectNoFailure("path", runAll(runPathSchedule, scheduleCount));
}

TEST_GROUP(BrokenDecisionsSchedules) {};

TEST(BrokenDecisionsSchedules, DetectAFloorThatHoldsNothingBack)
{
    Decisions broken;
    broken.floor = [](const FloorRequest& request) {
        return FloorVerdict { { request.wanted.begin(), request.wanted.end() }, {} };
    };
    expectFailure(runMixedSchedule, broken);
}

TEST(BrokenDecisionsSchedules, DetectAFloorThatIgnoresLeavingTargets)
{
    Decisions broken;
    broken.floor = [](const FloorRequest& request) {
        std::vector<PoolMember> members(request.members.begin(), request.members.end());
        for (auto& member : members)
            member.leaving = false;
        auto modified = request;
        modified.members = members;
        return applyFloor(modified);
    };
    expectFailure(runMixedSchedule, broken);
}

TEST(BrokenDecisionsSchedules, DetectAJoinThatIgnoresIncomingRecords)
{
    Decisions broken;
    broken.join = [](const EjectionRecord& current, const EjectionRecord&) noexcept -> const EjectionRecord& { return current; };
    expectFailure(runMixedSchedule, broken);
}

TEST(BrokenDecisionsSchedules, DetectAMergeThatCountsDuplicates)
{
    Decisions broken;
    broken.merge = [](TargetEvidence& evidence, const ObserverId& observer, const TargetCounters& counters, TimePoint) {
        for (const auto& bucket : counters.fine)
            addCounts(evidence, observer, TimePoint(bucket.index * fineWidth), bucket.counts);
        return Counts { 1, 1, 1, 0 };
    };
    expectFailure(runMixedSchedule, broken);
}

TEST(BrokenDecisionsSchedules, DetectAMissedSharedCause)
{
    Decisions broken;
    broken.sharedCause = [](const PoolView&) noexcept { return false; };
    broken.typical = [](std::span<double>) noexcept { return 0.0; };
    expectFailure(runSharedCauseSchedule, broken);
}

TEST(BrokenDecisionsSchedules, DetectAnEjectionForAPathFault)
{
    Decisions broken;
    broken.blame = [](const TargetEvidence&, const Accusation&, const Thresholds&, TimePoint) noexcept { return Blame::Target; };
    expectFailure(runPathSchedule, broken);
}
