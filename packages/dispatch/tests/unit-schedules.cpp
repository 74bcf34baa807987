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

void expectViolation(const Policy& policy, const char* message)
{
    STRCMP_CONTAINS(message, runSchedules(policy).c_str());
}

}

TEST_GROUP(Schedules) {};

TEST(Schedules, KeepAllGuaranteesUnderRandomFaults)
{
    Coverage coverage;
    STRCMP_EQUAL("", runSchedules({}, {}, coverage).c_str());
    printCoverage(coverage);
    for (FinishReason reason : everyReason)
        CHECK(coverage.finished[reason] > 0);
    CHECK(coverage.outcomes[Outcome::NotRun] > 0 && coverage.outcomes[Outcome::Unknown] > 0);
    CHECK(coverage.passed > 0 && coverage.retries > 0 && coverage.cancelled > 0 && coverage.notices > 0);
}

TEST(Schedules, ShowNonIdempotentRequestsThatAreRetried)
{
    Policy policy;
    policy.mayRepeat = [](bool, const AttemptResult&) { return true; };
    expectViolation(policy, "a non-idempotent request that may have run is attempted again");
}

TEST(Schedules, ShowALostConnectionThatIsTakenForNotRun)
{
    Policy policy;
    policy.certainlyNotRun = [](AttemptKind kind) { return kind == AttemptKind::MaybeRun || certainlyNotRun(kind); };
    expectViolation(policy, "not-run is reported for a request that may have run");
}

TEST(Schedules, ShowSlotsThatAreExceeded)
{
    Policy policy;
    policy.usableSlots = [](const TargetLimits& limits, const TargetState& state, TimePoint now) { return usableSlots(limits, state, now) + 1; };
    expectViolation(policy, "without a free slot");
}

TEST(Schedules, ShowWorkForALeavingTarget)
{
    Policy policy;
    policy.takesNewWork = [](const TargetState& state) { return state.listed; };
    expectViolation(policy, "an attempt starts at a leaving target");
}

TEST(Schedules, ShowANonIdempotentTrial)
{
    Policy policy;
    policy.isOpenTo = [](const TargetState&, const Ticket&) { return true; };
    expectViolation(policy, "an ejected target gets a non-idempotent request");
}

TEST(Schedules, ShowRetriesBeyondTheBudget)
{
    Policy policy;
    policy.takeRetry = [](RetryBudget&) { return true; };
    expectViolation(policy, "more retries were started than earned");
}

TEST(Schedules, ShowACrashingRequestThatIsNotRefused)
{
    Policy policy;
    policy.refusal = [](const CrashLedger&, std::uint64_t, TimePoint) { return std::optional<TimePoint>(); };
    expectViolation(policy, "was sent to a third");
}

TEST(Schedules, ShowASuspectThatRunsAtManyTargetsAtOnce)
{
    Policy policy;
    policy.crashCount = [](const CrashLedger&, std::uint64_t, const CrashPolicy&, TimePoint) { return std::size_t { 0 }; };
    expectViolation(policy, "was sent to a third");
}

TEST(Schedules, ShowAnswersAfterTheDeadline)
{
    STRCMP_CONTAINS("after its deadline", runSchedules({}, { .omitTicks = true }).c_str());
}

TEST(Schedules, ShowAnAnswerThatIsGivenTwice)
{
    STRCMP_CONTAINS("a request is finished twice", runSchedules({}, { .duplicateAnswers = true }).c_str());
}
