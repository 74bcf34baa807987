#include "Recorder.h"
#include "Schedules.h"

#include "flamingowick/platform/PlatformClient.h"
#include "flamingowick/standins/StandinPlatform.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <thread>

using namespace flamingowick;
using namespace flamingowick::platform;
using namespace flamingowick::platform::testing;
using flamingowick::standins::PlatformFaults;
using flamingowick::standins::StandinPlatform;

namespace {

constexpr std::size_t callsPerRound = 20;

// Results that the client reported for its writes, compared with the writes that the store applied.
struct WriteCounts {
    std::size_t applied { 0 };
    std::size_t unknown { 0 };
    std::size_t unavailable { 0 };
    // Writes that were reported as without effect but were applied.
    std::size_t falselyReportedWithoutEffect { 0 };
    // Writes that were reported as applied but were not.
    std::size_t falselyReportedApplied { 0 };
    // Change ids that the store applied more than once.
    std::size_t appliedTwice { 0 };
    // Rounds in which a write had no result or more than one.
    std::size_t roundsWithWrongResultCount { 0 };
};

PlatformFaults randomFaults(std::mt19937_64& random)
{
    PlatformFaults faults;
    faults.outage = random() % 8 == 0;
    faults.loseAnswers = static_cast<double>(random() % 3) / 4;
    faults.dropCalls = static_cast<double>(random() % 3) / 4;
    faults.slow = std::chrono::milliseconds(random() % 4 == 0 ? random() % 25 : 0);
    faults.maxCallsPerSecond = random() % 4 == 0 ? 20 : 0;
    if (random() % 8 == 0)
        faults.deaf.emplace_back("vm-1");
    return faults;
}

ClientSettings roundSettings(const StandinPlatform& platform, std::uint64_t seed)
{
    ClientSettings settings;
    settings.url = platform.url();
    settings.vm = "vm-1";
    settings.callTimeout = std::chrono::milliseconds(20);
    settings.maxCallsPerSecond = 100000;
    settings.seed = seed;
    return settings;
}

// Submits callsPerRound creates under random faults, which change during the round, and stops the client at a random
// moment.
std::vector<Result> runRound(StandinPlatform& platform, std::uint64_t seed, std::mt19937_64& random, ClientPolicy policy)
{
    Recorder recorder;
    PlatformClient client(roundSettings(platform, seed), recorder.handler(), policy);
    for (std::size_t i = 0; i < callsPerRound; ++i) {
        if (i % 10 == 0)
            platform.setFaults(randomFaults(random));
        const std::string name = std::to_string(seed) + "-" + std::to_string(i);
        CHECK(client.submit(Create { i, { Plural::AuditSegments, name, "", name, "test", "{}" } }));
        if (random() % 16 == 0)
            recorder.awaitCount(i / 2);
    }
    recorder.awaitCount(random() % (callsPerRound + 1));
    client.stop();
    platform.setFaults({});
    return recorder.all();
}

void countResult(const Result& result, bool hadEffect, WriteCounts& counts)
{
    const bool applied = std::holds_alternative<Applied>(result);
    const bool unknown = std::holds_alternative<UnknownOutcome>(result);
    counts.applied += applied ? 1 : 0;
    counts.unknown += unknown ? 1 : 0;
    counts.unavailable += std::holds_alternative<Unavailable>(result) ? 1 : 0;
    counts.falselyReportedApplied += applied && !hadEffect ? 1 : 0;
    counts.falselyReportedWithoutEffect += !applied && !unknown && hadEffect ? 1 : 0;
}

using ReportedResults = std::vector<std::pair<std::uint64_t, std::vector<Result>>>;

// Compares the reported results with the writes that the store applied, and clears them.
void compareWithStore(const StandinPlatform& platform, ReportedResults& reported, WriteCounts& counts)
{
    // A slow store may still apply a write after its client has stopped.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::vector<std::string> changes = platform.appliedChanges();
    const std::set<std::string> effects(changes.begin(), changes.end());
    counts.appliedTwice += changes.size() - effects.size();
    for (const auto& [seed, results] : reported) {
        std::set<CallId> ids;
        for (const Result& result : results) {
            ids.insert(callId(result));
            countResult(result, effects.contains(std::to_string(seed) + "-" + std::to_string(callId(result))), counts);
        }
        counts.roundsWithWrongResultCount += results.size() != callsPerRound || ids.size() != callsPerRound ? 1 : 0;
    }
    reported.clear();
}

WriteCounts runRounds(unsigned rounds, ClientPolicy policy)
{
    constexpr std::size_t roundsPerCheck = 200;
    StandinPlatform platform({ .seed = 20261203 });
    WriteCounts counts;
    ReportedResults reported;
    forSchedules(rounds, [&](std::uint64_t seed, std::mt19937_64& random) {
        reported.emplace_back(seed, runRound(platform, seed, random, policy));
        if (reported.size() == roundsPerCheck)
            compareWithStore(platform, reported, counts);
    });
    compareWithStore(platform, reported, counts);
    return counts;
}

// A faulty policy that the check must detect: it treats every missing response as a write without effect.
Verdict judgeMissingResponseAsUnavailable(const Exchange& exchange) noexcept
{
    const Verdict verdict = judge(exchange);
    return verdict == Verdict::Unknown ? Verdict::Unavailable : verdict;
}

// A faulty policy that the check must detect: it treats every missing response as a conflict.
Verdict judgeMissingResponseAsConflict(const Exchange& exchange) noexcept
{
    return !exchange.answered && exchange.sent ? Verdict::Conflict : judge(exchange);
}

}

TEST_GROUP(RandomWrites) {};

TEST(RandomWrites, ReportedResultsAgreeWithTheWritesThatTheStoreApplied)
{
    const WriteCounts counts = runRounds(2000, {});
    LONGS_EQUAL(0, counts.falselyReportedWithoutEffect);
    LONGS_EQUAL(0, counts.falselyReportedApplied);
    LONGS_EQUAL(0, counts.appliedTwice);
    LONGS_EQUAL(0, counts.roundsWithWrongResultCount);
    CHECK(counts.applied > 0);
    CHECK(counts.unknown > 0);
    CHECK(counts.unavailable > 0);
}

TEST(RandomWrites, TheCheckDetectsAClientThatTreatsAMissingResponseAsNoEffect)
{
    CHECK(runRounds(100, { &judgeMissingResponseAsUnavailable }).falselyReportedWithoutEffect > 0);
}

TEST(RandomWrites, TheCheckDetectsAClientThatTreatsAMissingResponseAsAConflict)
{
    CHECK(runRounds(100, { &judgeMissingResponseAsConflict }).falselyReportedWithoutEffect > 0);
}
