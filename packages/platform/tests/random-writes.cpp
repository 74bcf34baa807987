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

// What a run told of its writes, checked against what the platform applied.
struct Tally {
    std::size_t applied { 0 };
    std::size_t unknown { 0 };
    std::size_t unavailable { 0 };
    // Writes told as without effect that had one.
    std::size_t falselyWithoutEffect { 0 };
    // Writes told as applied that had no effect.
    std::size_t falselyApplied { 0 };
    // Change ids that the platform applied more than once.
    std::size_t appliedTwice { 0 };
    // Writes with no result, or more than one.
    std::size_t miscounted { 0 };
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

// Makes callsPerRound creates under random faults that change on the way, and stops at any moment.
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

void countResult(const Result& result, bool hadEffect, Tally& tally)
{
    const bool applied = std::holds_alternative<Applied>(result);
    const bool unknown = std::holds_alternative<UnknownOutcome>(result);
    tally.applied += applied ? 1 : 0;
    tally.unknown += unknown ? 1 : 0;
    tally.unavailable += std::holds_alternative<Unavailable>(result) ? 1 : 0;
    tally.falselyApplied += applied && !hadEffect ? 1 : 0;
    tally.falselyWithoutEffect += !applied && !unknown && hadEffect ? 1 : 0;
}

using Told = std::vector<std::pair<std::uint64_t, std::vector<Result>>>;

// Checks what was told against what the platform applied, and forgets it.
void checkTold(const StandinPlatform& platform, Told& told, Tally& tally)
{
    // A slow platform may still apply a write whose client is gone.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::vector<std::string> changes = platform.appliedChanges();
    const std::set<std::string> effects(changes.begin(), changes.end());
    tally.appliedTwice += changes.size() - effects.size();
    for (const auto& [seed, results] : told) {
        std::set<CallId> ids;
        for (const Result& result : results) {
            ids.insert(callId(result));
            countResult(result, effects.contains(std::to_string(seed) + "-" + std::to_string(callId(result))), tally);
        }
        tally.miscounted += results.size() != callsPerRound || ids.size() != callsPerRound ? 1 : 0;
    }
    told.clear();
}

Tally runRounds(unsigned rounds, ClientPolicy policy)
{
    constexpr std::size_t roundsPerCheck = 200;
    StandinPlatform platform({ .seed = 20261203 });
    Tally tally;
    Told told;
    forSchedules(rounds, [&](std::uint64_t seed, std::mt19937_64& random) {
        told.emplace_back(seed, runRound(platform, seed, random, policy));
        if (told.size() == roundsPerCheck)
            checkTold(platform, told, tally);
    });
    checkTold(platform, told, tally);
    return tally;
}

// The mistake that the check is for: taking every missing answer for a write without effect.
Verdict judgeMissingAnswerAsUnavailable(const Exchange& exchange) noexcept
{
    const Verdict verdict = judge(exchange);
    return verdict == Verdict::Unknown ? Verdict::Unavailable : verdict;
}

// The other mistake: taking every missing answer for a refusal.
Verdict judgeMissingAnswerAsConflict(const Exchange& exchange) noexcept
{
    return !exchange.answered && exchange.sent ? Verdict::Conflict : judge(exchange);
}

}

TEST_GROUP(RandomWrites) {};

TEST(RandomWrites, WhatIsToldOfAWriteAgreesWithWhatThePlatformApplied)
{
    const Tally tally = runRounds(2000, {});
    LONGS_EQUAL(0, tally.falselyWithoutEffect);
    LONGS_EQUAL(0, tally.falselyApplied);
    LONGS_EQUAL(0, tally.appliedTwice);
    LONGS_EQUAL(0, tally.miscounted);
    CHECK(tally.applied > 0);
    CHECK(tally.unknown > 0);
    CHECK(tally.unavailable > 0);
}

TEST(RandomWrites, TheCheckFindsAClientThatTakesAMissingAnswerForNoEffect)
{
    CHECK(runRounds(100, { &judgeMissingAnswerAsUnavailable }).falselyWithoutEffect > 0);
}

TEST(RandomWrites, TheCheckFindsAClientThatTakesAMissingAnswerForAConflict)
{
    CHECK(runRounds(100, { &judgeMissingAnswerAsConflict }).falselyWithoutEffect > 0);
}
