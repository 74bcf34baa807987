#include "World.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::dispatch;

namespace {

constexpr FinishReason everyReason[] = { FinishReason::QueueFull, FinishReason::WaitTooLong, FinishReason::DeadlineExceeded,
    FinishReason::CallerCancelled, FinishReason::RequestQuarantined, FinishReason::AttemptsExhausted,
    FinishReason::RetryBudgetSpent, FinishReason::NotRepeatable };

void printCoverage(const Coverage& coverage)
{
    std::printf("passed %u, first attempts %u, retries %u, cancelled %u, quarantines %u;", coverage.passed,
        coverage.firstAttempts, coverage.retries, coverage.cancelled, coverage.notices);
    for (const auto& [reason, count] : coverage.finished)
        std::printf(" %s %u", std::string(toString(reason)).c_str(), count);
    std::printf("\n");
}

void checkBroken(const Policy& policy, const char* promise)
{
    STRCMP_CONTAINS(promise, playSchedules(policy).c_str());
}

}

TEST_GROUP(Schedules) {};

TEST(Schedules, KeepAllPromisesUnderRandomFaults)
{
    Coverage coverage;
    STRCMP_EQUAL("", playSchedules({}, {}, coverage).c_str());
    printCoverage(coverage);
    for (FinishReason reason : everyReason)
        CHECK(coverage.finished[reason] > 0);
    CHECK(coverage.outcomes[Outcome::NotRun] > 0 && coverage.outcomes[Outcome::Unknown] > 0);
    CHECK(coverage.passed > 0 && coverage.retries > 0 && coverage.cancelled > 0 && coverage.notices > 0);
}

TEST(Schedules, ShowNonIdempotentRequestsThatAreRepeated)
{
    Policy policy;
    policy.mayRepeat = [](bool, const AttemptResult&) { return true; };
    checkBroken(policy, "a non-idempotent request that may have run is attempted again");
}

TEST(Schedules, ShowALostConnectionThatIsTakenForNotRun)
{
    Policy policy;
    policy.certainlyNotRun = [](AttemptKind kind) { return kind == AttemptKind::MaybeRun || certainlyNotRun(kind); };
    checkBroken(policy, "not-run is said of a request that may have run");
}

TEST(Schedules, ShowSlotsThatAreExceeded)
{
    Policy policy;
    policy.usableSlots = [](const TargetLimits& limits, const TargetState& state, TimePoint now) { return usableSlots(limits, state, now) + 1; };
    checkBroken(policy, "without a free slot");
}

TEST(Schedules, ShowWorkForALeavingTarget)
{
    Policy policy;
    policy.takesNewWork = [](const TargetState& state) { return state.listed; };
    checkBroken(policy, "an attempt starts at a leaving target");
}

TEST(Schedules, ShowANonIdempotentTrial)
{
    Policy policy;
    policy.isOpenTo = [](const TargetState&, const Ticket&) { return true; };
    checkBroken(policy, "an ejected target gets a non-idempotent request");
}

TEST(Schedules, ShowRetriesBeyondTheBudget)
{
    Policy policy;
    policy.takeRetry = [](RetryBudget&) { return true; };
    checkBroken(policy, "more retries were started than earned");
}

TEST(Schedules, ShowACrashingRequestThatIsNotRefused)
{
    Policy policy;
    policy.refusal = [](const CrashLedger&, std::uint64_t, TimePoint) { return std::optional<TimePoint>(); };
    checkBroken(policy, "was sent to a third");
}

TEST(Schedules, ShowASuspectThatRunsAtManyTargetsAtOnce)
{
    Policy policy;
    policy.crashCount = [](const CrashLedger&, std::uint64_t, const CrashPolicy&, TimePoint) { return std::size_t { 0 }; };
    checkBroken(policy, "was sent to a third");
}

TEST(Schedules, ShowAnswersThatComeAfterTheDeadline)
{
    STRCMP_CONTAINS("after its deadline", playSchedules({}, { .withoutTicks = true }).c_str());
}

TEST(Schedules, ShowAnAnswerThatIsGivenTwice)
{
    STRCMP_CONTAINS("a request is finished twice", playSchedules({}, { .repeatsAnswers = true }).c_str());
}
