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
constexpr Duration faultyLeaseDuration = std::chrono::milliseconds(1500);

// Runs schedules until one shows a violation of the safety of keys. Returns the violation, or "" if there is none.
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

bool takeOverAfterLeaseExpiry(const RangeRecord&, const OwnerEvidence& evidence) noexcept
{
    return evidence.provenDead || (evidence.silence && *evidence.silence > faultyLeaseDuration);
}

bool takeOverWithoutProof(const RangeRecord&, const OwnerEvidence&) noexcept { return true; }

// A restarted daemon adopts the ranges of its predecessor on the VM from a peer's copy of the record.
std::optional<RangeRecord> adoptRecordAfterRestart(const DaemonId& self, const RangeRecord& copy)
{
    if (copy.owner.vm != self.vm || copy.owner == self)
        return std::nullopt;
    RangeRecord record = copy;
    record.previous = copy.owner;
    record.owner = self;
    ++record.epoch;
    return record;
}

Succession actWithoutEntries(const SuccessionEvidence& evidence) noexcept
{
    Succession decided = decideSuccession(evidence);
    return decided == Succession::Hold ? Succession::ActNow : decided;
}

Succession actWithoutWait(const SuccessionEvidence& evidence) noexcept
{
    Succession decided = decideSuccession(evidence);
    return decided == Succession::ActAfterWait ? Succession::ActNow : decided;
}

Outcome answerNotRunWithoutOwner() noexcept { return Outcome::NotRun; }

bool acceptAnyAttempt(TimePoint, TimePoint, Duration) noexcept { return true; }

bool dispatchUnknownAgain(const KeyEntry& entry) noexcept { return entry.state == EntryState::Unknown; }

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
        total.outcomes.answered += ledger.outcomes.answered;
        total.outcomes.unknown += ledger.outcomes.unknown;
        total.outcomes.notRun += ledger.outcomes.notRun;
        total.handOvers += ledger.handOvers;
        total.takeovers += ledger.takeovers;
        if (!ledger.violations.empty())
            std::cout << "\n  seed " << seed << ": " << ledger.violations.front() << '\n';
        return ledger.violations.empty() ? true : (total.violations = ledger.violations, false);
    });
    std::cout << "\n  " << schedules << " schedules, " << ran << " keys ran; answers: answered " << total.outcomes.answered
              << ", unknown " << total.outcomes.unknown << ", not-run " << total.outcomes.notRun << "; hand-overs "
              << total.handOvers << ", takeovers " << total.takeovers << '\n';
    CHECK(total.violations.empty());
    // Lower bounds, so that the test cannot pass without keys that run, refusals, hand-overs and takeovers.
    CHECK(ran > schedules * 5);
    CHECK(total.outcomes.notRun > schedules);
    CHECK(total.handOvers > schedules / 2);
    CHECK(total.takeovers > schedules / 2);
}

TEST_GROUP(BrokenPolicies)
{
    Scenario scenario;
};

TEST(BrokenPolicies, ALeaseThatExpiresIsFound)
{
    scenario.policy.mayTakeOver = takeOverAfterLeaseExpiry;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, TakingOverWithoutProofIsFound)
{
    scenario.policy.mayTakeOver = takeOverWithoutProof;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, ActingOnAPeersCopyIsFound)
{
    scenario.policy.recordFromPeerCopy = adoptRecordAfterRestart;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, ASuccessorActingWithoutEntriesIsFound)
{
    scenario.policy.decideSuccession = actWithoutEntries;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, ATakeoverWithoutTheWaitIsFound)
{
    scenario.policy.decideSuccession = actWithoutWait;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, AnEntrySayingNotRunForAnUnreachableOwnerIsFound)
{
    scenario.policy.outcomeWithoutOwner = answerNotRunWithoutOwner;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, DispatchingAnUnknownKeyAgainIsFound)
{
    scenario.policy.mayDispatchAgain = dispatchUnknownAgain;
    CHECK(!firstViolation(scenario).empty());
}

TEST(BrokenPolicies, RunningAnAttemptFromBeforeARefusalIsFound)
{
    scenario.policy.acceptedAfterRefusal = acceptAnyAttempt;
    CHECK(!firstViolation(scenario).empty());
}
