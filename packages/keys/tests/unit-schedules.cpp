#include "Environment.h"
#include "World.h"

#include <CppUTest/TestHarness.h>

#include <iostream>

using namespace flamingowick;
using namespace flamingowick::keys;
using namespace flamingowick::keys::test;

namespace {

constexpr std::uint64_t scheduleCount = 4000;
constexpr std::uint64_t mutationScheduleLimit = 10000;
constexpr Duration brokenLease = std::chrono::milliseconds(1500);

// Runs schedules until one shows a violation; returns the first, or "" when none does.
std::string firstViolation(Scenario scenario)
{
    std::string found;
    std::uint64_t seed = 1;
    for (; seed <= mutationScheduleLimit && found.empty(); ++seed) {
        scenario.seed = seed;
        Ledger ledger = runSchedule(scenario);
        for (const std::string& violation : ledger.violations) {
            if (violation.starts_with("key") || violation.starts_with("not-run"))
                found = violation;
        }
    }
    std::cout << "\n  after " << seed - 1 << " schedules: " << (found.empty() ? "nothing found" : found) << '\n';
    return found;
}

bool lapsedLease(const RangeRecord&, const OwnerEvidence& evidence) noexcept
{
    return evidence.provenDead || (evidence.silence && *evidence.silence > brokenLease);
}

bool withoutProof(const RangeRecord&, const OwnerEvidence&) noexcept { return true; }

// A restarted daemon that goes on with what its predecessor on the VM owned.
std::optional<RangeRecord> goOnAfterRestart(const DaemonId& self, const RangeRecord& copy)
{
    if (copy.owner.vm != self.vm || copy.owner == self)
        return std::nullopt;
    RangeRecord record = copy;
    record.previous = copy.owner;
    record.owner = self;
    ++record.epoch;
    return record;
}

Succession withoutEntries(const SuccessionEvidence& evidence) noexcept
{
    Succession decided = decideSuccession(evidence);
    return decided == Succession::Hold ? Succession::ActNow : decided;
}

Succession withoutWait(const SuccessionEvidence& evidence) noexcept
{
    Succession decided = decideSuccession(evidence);
    return decided == Succession::ActAfterWait ? Succession::ActNow : decided;
}

Outcome notRunWithoutOwner() noexcept { return Outcome::NotRun; }

bool anyAttempt(TimePoint, TimePoint, Duration) noexcept { return true; }

bool resendUnknown(const KeyEntry& entry) noexcept { return entry.state == EntryState::Unknown; }

}

TEST_GROUP(Schedules) {};

TEST(Schedules, NoKeyRunsTwiceAndNotRunIsTrueUnderAllFaults)
{
    Ledger total;
    std::uint64_t ran = 0;
    std::uint64_t schedules = forEachSeed(scheduleCount, [&](std::uint64_t seed) {
        Scenario scenario;
        scenario.seed = seed;
        Ledger ledger = runSchedule(scenario);
        ran += ledger.runs.size();
        total.told.answered += ledger.told.answered;
        total.told.unknown += ledger.told.unknown;
        total.told.notRun += ledger.told.notRun;
        total.handOvers += ledger.handOvers;
        total.takeovers += ledger.takeovers;
        if (!ledger.violations.empty())
            std::cout << "\n  seed " << seed << ": " << ledger.violations.front() << '\n';
        return ledger.violations.empty() ? true : (total.violations = ledger.violations, false);
    });
    std::cout << "\n  " << schedules << " schedules, " << ran << " keys ran; told answered " << total.told.answered
              << ", unknown " << total.told.unknown << ", not-run " << total.told.notRun << "; hand-overs "
              << total.handOvers << ", takeovers " << total.takeovers << '\n';
    CHECK(total.violations.empty());
    // The schedules must not pass by doing nothing.
    CHECK(ran > schedules * 5);
    CHECK(total.told.notRun > schedules);
    CHECK(total.handOvers > schedules / 2);
    CHECK(total.takeovers > schedules / 2);
}

TEST_GROUP(BrokenPolicies)
{
    Scenario scenario;
};

TEST(BrokenPolicies, ALeaseThatLapsesIsFound)
{
    scenario.policy.mayTakeOver = lapsedLease;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, TakingOverWithoutProofIsFound)
{
    scenario.policy.mayTakeOver = withoutProof;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, ActingOnAPeersCopyIsFound)
{
    scenario.policy.recordFromPeerCopy = goOnAfterRestart;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, ASuccessorActingWithoutEntriesIsFound)
{
    scenario.policy.decideSuccession = withoutEntries;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, ATakeoverWithoutTheWaitIsFound)
{
    scenario.policy.decideSuccession = withoutWait;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, AnEntrySayingNotRunForAnUnreachableOwnerIsFound)
{
    scenario.policy.outcomeWithoutOwner = notRunWithoutOwner;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, DispatchingAnUnknownKeyAgainIsFound)
{
    scenario.policy.mayDispatchAgain = resendUnknown;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, RunningAnAttemptFromBeforeARefusalIsFound)
{
    scenario.policy.acceptedAfterRefusal = anyAttempt;
    CHECK(!firstViolation(scenario).empty());
}
