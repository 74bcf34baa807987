#include "Environment.h"
#include "FakeFleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::configuration;
using namespace flamingowick::configuration::tests;

namespace {

constexpr std::uint64_t schedules = 2'000;
// A broken policy must be caught within this many schedules.
constexpr std::uint64_t mutationSchedules = 200;

// Returns whether a run fails by the check named.
bool isCaught(const Policy& policy, std::string_view check, bool staleSources = false)
{
    for (std::uint64_t round = 0; round < mutationSchedules; ++round) {
        FakeFleet fleet(firstSeed() + round, policy);
        fleet.staleSources = staleSources;
        fleet.run();
        const auto named = [check](const std::string& violation) { return violation.find(check) != std::string::npos; };
        if (std::ranges::any_of(fleet.violations, named))
            return true;
    }
    return false;
}

void printSpread(const char* name, std::vector<std::int64_t> milliseconds)
{
    std::ranges::sort(milliseconds);
    const std::size_t count = milliseconds.size();
    std::printf("%s: median %lld ms, 99%% %lld ms, most %lld ms\n", name, static_cast<long long>(milliseconds[count / 2]),
        static_cast<long long>(milliseconds[count * 99 / 100]), static_cast<long long>(milliseconds.back()));
}

}

TEST_GROUP(RandomSchedules) {};

TEST(RandomSchedules, keepEveryPromiseOfConfiguration)
{
    using WallClock = std::chrono::steady_clock;
    const auto end = WallClock::now() + std::chrono::seconds(extraSeconds());
    std::vector<std::int64_t> agreement;
    std::vector<std::int64_t> spread;
    std::vector<std::int64_t> readiness;
    std::uint64_t writes = 0;
    for (std::uint64_t round = 0; round < schedules || WallClock::now() < end; ++round) {
        FakeFleet fleet(firstSeed() + round, fakePolicy());
        fleet.run();
        if (!fleet.violations.empty())
            FAIL(("seed " + std::to_string(firstSeed() + round) + ", " + fleet.violations.front()).c_str());
        agreement.push_back(fleet.agreementMs);
        spread.push_back(fleet.spreadMs);
        readiness.push_back(fleet.readinessMs);
        writes += fleet.store.writes;
    }
    std::printf("\n%zu schedules, %llu writes\n", agreement.size(), static_cast<unsigned long long>(writes));
    printSpread("documents agree after faults", std::move(agreement));
    printSpread("documents agree after faults and the last write", std::move(spread));
    printSpread("all daemons ready after faults", std::move(readiness));
}

TEST_GROUP(BrokenPolicies)
{
    Policy policy { fakePolicy() };
};

TEST(BrokenPolicies, areCaughtWhenAnyDocumentReplacesTheHeldOne)
{
    this->policy.supersedes = [](const AcceptedDocument&, const AcceptedDocument&) noexcept { return true; };
    CHECK(isCaught(this->policy, "an older version replaces a newer one"));
}

TEST(BrokenPolicies, areCaughtWhenUnknownWritesCountAsDone)
{
    this->policy.stepAfterWrite = [](WriteOutcome outcome) noexcept { return outcome == WriteOutcome::Conflict ? AttemptStep::Reread : AttemptStep::Finish; };
    CHECK(isCaught(this->policy, "a version was applied that the store never held"));
}

TEST(BrokenPolicies, areCaughtWhenConflictsCountAsDone)
{
    this->policy.stepAfterWrite = [](WriteOutcome outcome) noexcept { return outcome == WriteOutcome::Unknown ? AttemptStep::Reread : AttemptStep::Finish; };
    CHECK(isCaught(this->policy, "a version was applied that the store never held"));
}

TEST(BrokenPolicies, areCaughtWhenWritesAreUnconditional)
{
    this->policy.expectedVersion = [](const StoredDocument&) { return std::string("*"); };
    CHECK(isCaught(this->policy, "exactly once"));
}

TEST(BrokenPolicies, areCaughtWhenDigestsAreNeverExchanged)
{
    this->policy.digestDue = [](TimePoint, Duration, TimePoint) noexcept { return false; };
    CHECK(isCaught(this->policy, "the daemons didn't agree"));
}

TEST(BrokenPolicies, areCaughtWhenReadyAtOnce)
{
    this->policy.isReady = [](const BootView&) noexcept { return true; };
    CHECK(isCaught(this->policy, "ready behind"));
}

TEST(BrokenPolicies, areCaughtWhenInvalidTextsGetInForce)
{
    this->policy.decideChange = [](const AcceptedDocument& current, const std::optional<SourceObject>& source, DocumentCheck, const ChangeStamp& stamp) {
        const DocumentCheck acceptAll = [](std::string_view text) {
            return Checked<ServiceDocument> { checkFakeText(text).value, {} };
        };
        return decideChange(current, source, acceptAll, stamp);
    };
    CHECK(isCaught(this->policy, "the daemons didn't agree"));
}

TEST(BrokenPolicies, areCaughtWhenAuditEntriesAreDropped)
{
    this->policy.decideChange = [](const AcceptedDocument& current, const std::optional<SourceObject>& source, DocumentCheck check, const ChangeStamp& stamp) {
        AcceptedDocument next = decideChange(current, source, check, stamp);
        if (next.audit.size() > 3)
            next.audit.erase(next.audit.begin());
        return next;
    };
    CHECK(isCaught(this->policy, "exactly once"));
}

TEST(BrokenPolicies, areCaughtWhenDeletionsAreOverlooked)
{
    this->policy.needsDecision = [](const AcceptedDocument& current, const SourceMark& mark) noexcept {
        return mark.present && needsDecision(current, mark);
    };
    CHECK(isCaught(this->policy, "the daemons didn't agree"));
}

TEST(BrokenPolicies, areCaughtWhenSourceReadsLagBehindCompletedWrites)
{
    CHECK(isCaught(this->policy, "an older source was accepted", true));
}
