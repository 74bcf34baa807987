#include "flamingowick/grants/SplitRotation.h"

#include "Fixture.h"

using namespace flamingowick;
using namespace flamingowick::grants;

TEST_GROUP(Pool)
{
    PoolFixture fixture;
};

TEST(Pool, NeverGrantsMoreThanATargetsSlots)
{
    fixture.listTargets(2);
    unsigned granted = 0;
    for (int count = 0; count < 10; ++count) {
        const auto decision = fixture.decide(fixture.makeRequest());
        granted += decision && decision->kind == DecisionKind::Granted ? 1 : 0;
    }
    CHECK_EQUAL(4, granted);
    for (const auto& [instance, target] : fixture.pool.targets)
        CHECK_EQUAL(2, target.inFlight.size());
}

TEST(Pool, GrantsAFreedSlotToTheQueuedRequestOfHighestPriority)
{
    fixture.listTargets(1, 1);
    const GrantRequest first = fixture.makeRequest();
    fixture.decide(first);
    GrantRequest low = fixture.makeRequest();
    low.priority = 2;
    GrantRequest high = fixture.makeRequest();
    high.priority = 0;
    CHECK_FALSE(fixture.decide(low).has_value());
    CHECK_FALSE(fixture.decide(high).has_value());
    const auto decisions = finishAttempt(fixture.pool, first.attemptId, AttemptOutcome::Succeeded, milliseconds(50), fixture.now);
    CHECK_EQUAL(1, decisions.size());
    CHECK(decisions.front().attemptId == high.attemptId);
}

TEST(Pool, RefusesAtOnceARequestThatCannotStartInTime)
{
    fixture.listTargets(1, 1);
    fixture.recordLatencies(milliseconds(500));
    fixture.decide(fixture.makeRequest());
    for (int count = 0; count < 20; ++count)
        fixture.decide(fixture.makeRequest());
    const auto decision = fixture.decide(fixture.makeRequest(milliseconds(600)));
    CHECK(decision.has_value());
    CHECK(decision->kind == DecisionKind::Refused);
    CHECK(decision->reason == RefusalReason::NoSlotInTime);
    CHECK(decision->retryAfter > Duration::zero());
}

TEST(Pool, RefusesAQueuedRequestOnceItCannotMeetItsDeadline)
{
    fixture.listTargets(1, 1);
    fixture.recordLatencies(milliseconds(200));
    fixture.decide(fixture.makeRequest());
    const GrantRequest queued = fixture.makeRequest(milliseconds(900));
    CHECK_FALSE(fixture.decide(queued).has_value());
    fixture.now += milliseconds(500);
    CHECK_EQUAL(0, expireOverdue(fixture.pool, fixture.now).size());
    fixture.now += milliseconds(300);
    const auto decisions = expireOverdue(fixture.pool, fixture.now);
    CHECK_EQUAL(1, decisions.size());
    CHECK(decisions.front().kind == DecisionKind::Refused);
    CHECK_EQUAL(0, fixture.pool.queue.size());
}

TEST(Pool, RefusesAQueuedRequestWhenTheQueueAheadOfItHasGrownTooLong)
{
    fixture.listTargets(1, 1);
    fixture.recordLatencies(milliseconds(200));
    fixture.decide(fixture.makeRequest(seconds(9)));
    GrantRequest low = fixture.makeRequest(milliseconds(2500));
    low.priority = 2;
    CHECK_FALSE(fixture.decide(low).has_value());
    for (int count = 0; count < 7; ++count)
        fixture.decide(fixture.makeRequest(seconds(9)));
    bool refused = false;
    // No slot becomes free. The request must be refused before its latest useful start, which is after 2.3 s.
    for (int step = 0; step < 36 && !refused; ++step) {
        fixture.now += milliseconds(50);
        for (const Decision& decision : expireOverdue(fixture.pool, fixture.now))
            refused = refused || (decision.attemptId == low.attemptId && decision.kind == DecisionKind::Refused);
    }
    CHECK(refused);
}

TEST(Pool, ReturnsTheSameGrantForAResentRequest)
{
    fixture.listTargets(3);
    const GrantRequest request = fixture.makeRequest();
    const auto first = fixture.decide(request);
    const auto second = fixture.decide(request);
    CHECK(first->instance == second->instance);
    CHECK_EQUAL(1, fixture.pool.instanceByAttempt.size());
}

TEST(Pool, KeepsThePlaceInTheQueueOfAResentRequest)
{
    fixture.listTargets(1, 1);
    const GrantRequest running = fixture.makeRequest();
    fixture.decide(running);
    const GrantRequest first = fixture.makeRequest();
    const GrantRequest second = fixture.makeRequest();
    fixture.decide(first);
    fixture.decide(second);
    fixture.decide(first);
    CHECK_EQUAL(2, fixture.pool.queue.size());
    const auto decisions = finishAttempt(fixture.pool, running.attemptId, AttemptOutcome::Succeeded, milliseconds(50), fixture.now);
    CHECK(decisions.front().attemptId == first.attemptId);
}

TEST(Pool, GrantsNoRequestToATargetWhoseAttemptIsLongOverdue)
{
    fixture.listTargets(2);
    fixture.recordLatencies(milliseconds(100));
    const auto overdue = fixture.decide(fixture.makeRequest(seconds(10)));
    fixture.now += milliseconds(900);
    for (int count = 0; count < 2; ++count) {
        const auto decision = fixture.decide(fixture.makeRequest());
        CHECK(decision->instance != overdue->instance);
    }
}

TEST(Pool, TriesASuspectedTargetAgainWithinTwelveSeconds)
{
    fixture.listTargets(10);
    fixture.recordLatencies(milliseconds(100));
    const auto hung = fixture.decide(fixture.makeRequest());
    finishAttempt(fixture.pool, hung->attemptId, AttemptOutcome::TimedOut, seconds(1), fixture.now);
    bool wasTried = false;
    for (int step = 0; step < 600 && !wasTried; ++step) {
        fixture.now += milliseconds(20);
        const GrantRequest request = fixture.makeRequest();
        const auto decision = fixture.decide(request);
        wasTried = decision->instance == hung->instance;
        finishAttempt(fixture.pool, request.attemptId, AttemptOutcome::Succeeded, milliseconds(100), fixture.now);
    }
    CHECK(wasTried);
}

TEST(Pool, GivesMostTargetsARequestInEachCoverageWindow)
{
    fixture.listTargets(10);
    fixture.recordLatencies(milliseconds(20));
    for (int step = 0; step < 400; ++step) {
        fixture.now += milliseconds(20);
        const GrantRequest request = fixture.makeRequest();
        const auto decision = fixture.decide(request);
        // Three targets answer all requests with errors.
        const bool fails = decision->instance < "t3";
        finishAttempt(fixture.pool, request.attemptId, fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, milliseconds(20), fixture.now);
        if (step < 100)
            continue;
        const auto recent = std::count_if(fixture.pool.targets.begin(), fixture.pool.targets.end(), [this](const auto& item) { return fixture.now - item.second.lastGrantedAt <= seconds(2); });
        CHECK(recent >= 7);
    }
}

TEST(Pool, StarvesNoHealthyTarget)
{
    fixture.listTargets(20);
    fixture.recordLatencies(milliseconds(20));
    for (int step = 0; step < 600; ++step) {
        fixture.now += milliseconds(20);
        GrantRequest request = fixture.makeRequest();
        // The entry has idle connections to the targets that were tried first.
        request.idleConnectionInstances = { "t0", "t1", "t10", "t11", "t12", "t13" };
        const auto decision = fixture.decide(request);
        const bool fails = decision->instance == "t18" || decision->instance == "t19";
        finishAttempt(fixture.pool, request.attemptId, fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, milliseconds(20), fixture.now);
        if (step < 200)
            continue;
        unsigned recent = 0;
        for (const auto& [instance, target] : fixture.pool.targets) {
            const bool isHealthy = instance != "t18" && instance != "t19";
            recent += isHealthy && fixture.now - target.lastGrantedAt <= seconds(2) ? 1 : 0;
            CHECK(!isHealthy || fixture.now - target.lastGrantedAt <= seconds(4));
        }
        // The platform requires this of 0.7 of the healthy targets.
        CHECK(recent >= 13);
    }
}

TEST(Pool, GivesAllTargetsARequestInEachWindowWhileManyRequestsAreLost)
{
    fixture.listTargets(20);
    fixture.recordLatencies(milliseconds(20));
    std::map<std::string, unsigned> requests;
    for (int step = 0; step < 1000; ++step) {
        fixture.now += milliseconds(20);
        const GrantRequest request = fixture.makeRequest();
        const auto decision = fixture.decide(request);
        // A third of the targets answers all requests with errors, the others one in six.
        const bool fails = decision->instance > "t5" || ++requests[decision->instance] % 6 == 0;
        finishAttempt(fixture.pool, request.attemptId, fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, milliseconds(20), fixture.now);
        if (step < 200)
            continue;
        for (const auto& [instance, target] : fixture.pool.targets)
            CHECK(fixture.now - target.lastGrantedAt <= milliseconds(2300));
    }
}

TEST(Pool, CoversMoreTargetsTheMoreRequestsAreLost)
{
    fixture.listTargets(15);
    fixture.recordLatencies(milliseconds(20));
    unsigned requests = 0;
    for (int step = 0; step < 1000; ++step) {
        fixture.now += milliseconds(20);
        const GrantRequest request = fixture.makeRequest();
        const auto decision = fixture.decide(request);
        // A third of the targets answers all requests with errors, the others one in fourteen.
        const bool fails = decision->instance > "t5" || ++requests % 14 == 0;
        finishAttempt(fixture.pool, request.attemptId, fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, milliseconds(20), fixture.now);
        if (step < 200)
            continue;
        const auto recent = std::count_if(fixture.pool.targets.begin(), fixture.pool.targets.end(), [this](const auto& item) { return fixture.now - item.second.lastGrantedAt <= seconds(2); });
        // The platform may regard only six of the targets as healthy; a share of 0.7 of these has to get requests.
        CHECK(recent >= 13);
    }
}

TEST(Pool, IdempotentRequestsTestSuspectedTargetsAndAreHedgedAtOnce)
{
    fixture.listTargets(10);
    fixture.recordLatencies(milliseconds(100));
    const auto hung = fixture.decide(fixture.makeRequest());
    finishAttempt(fixture.pool, hung->attemptId, AttemptOutcome::TimedOut, seconds(1), fixture.now);
    fixture.now += seconds(2);
    unsigned tests = 0;
    for (int step = 0; step < 100; ++step) {
        fixture.now += milliseconds(20);
        GrantRequest request = fixture.makeRequest();
        request.idempotent = step % 2 == 0;
        const auto decision = fixture.decide(request);
        if (decision->instance == hung->instance) {
            ++tests;
            CHECK(request.idempotent);
            CHECK(decision->suspicionAge == Duration::zero());
        }
        finishAttempt(fixture.pool, request.attemptId, decision->instance == hung->instance ? AttemptOutcome::TimedOut : AttemptOutcome::Succeeded, milliseconds(100), fixture.now);
    }
    CHECK(tests > 0);
}

TEST(Pool, EntriesThatDecideLocallySpreadOverEqualTargets)
{
    std::map<std::string, unsigned> chosen;
    for (std::uint64_t entry = 0; entry < 45; ++entry) {
        PoolFixture local;
        local.pool.tieBreakerSeed = entry;
        local.listTargets(47);
        // One request at the start, and one after the coverage window, when no target is covered.
        ++chosen[local.decide(local.makeRequest())->instance];
        local.now += seconds(3);
        ++chosen[local.decide(local.makeRequest())->instance];
    }
    for (const auto& [instance, count] : chosen)
        CHECK(count <= 10);
}

TEST(Pool, ChoosesNoLeavingOrExcludedTarget)
{
    fixture.listTargets(3);
    std::vector<ListedTarget> listed;
    for (const auto& [instance, target] : fixture.pool.targets)
        listed.push_back(target.listed);
    listed[0].leaving = true;
    setTargets(fixture.pool, listed, fixture.now);
    for (int count = 0; count < 2; ++count) {
        GrantRequest request = fixture.makeRequest();
        request.excludedInstances = { "t1" };
        CHECK_EQUAL(std::string("t2"), fixture.decide(request)->instance);
    }
}

TEST(Pool, RefusesWithNoTargetWhenTheListIsEmpty)
{
    const auto decision = fixture.decide(fixture.makeRequest());
    CHECK(decision->reason == RefusalReason::NoTarget);
}

TEST(Pool, PrefersIdleConnectionsAmongEqualTargets)
{
    fixture.listTargets(5);
    GrantRequest request = fixture.makeRequest();
    request.idleConnectionInstances = { "t3" };
    CHECK_EQUAL(std::string("t3"), fixture.decide(request)->instance);
}

TEST(Pool, LetsIdempotentRequestsTestUnknownTargets)
{
    fixture.listTargets(2, 4);
    for (int count = 0; count < 20; ++count)
        updateBelief(fixture.pool.targets.at("t0").belief, fixture.pool.model, fixture.pool.overallLatency, AttemptOutcome::Succeeded, milliseconds(10), fixture.now);
    // One request runs at the healthy target.
    recordStartedAttempt(fixture.pool, { 2, 1 }, "t0", { fixture.now, 0 }, fixture.now);
    CHECK_EQUAL(std::string("t0"), fixture.decide(fixture.makeRequest())->instance);
    GrantRequest idempotent = fixture.makeRequest();
    idempotent.idempotent = true;
    CHECK_EQUAL(std::string("t1"), fixture.decide(idempotent)->instance);
}

TEST(Pool, CountsRecordedAttemptsThatItDidNotGrant)
{
    fixture.listTargets(1, 1);
    recordStartedAttempt(fixture.pool, { 2, 1 }, "t0", { fixture.now, 0 }, fixture.now);
    CHECK_FALSE(fixture.decide(fixture.makeRequest()).has_value());
    CHECK_EQUAL(1, finishAttempt(fixture.pool, { 2, 1 }, AttemptOutcome::Succeeded, milliseconds(20), fixture.now).size());
}

// Guards against requests that are sent to a target whose slots are taken by longer attempts.
TEST(Pool, KeepsTheSlotOfAnAttemptUntilItsDeadline)
{
    fixture.listTargets(1, 1);
    fixture.decide(fixture.makeRequest(seconds(15)));
    fixture.now += seconds(14);
    expireOverdue(fixture.pool, fixture.now);
    CHECK_EQUAL(0, fixture.pool.slotsFreedByAge);
    fixture.now += milliseconds(2100);
    expireOverdue(fixture.pool, fixture.now);
    CHECK_EQUAL(1, fixture.pool.slotsFreedByAge);
}

TEST(Pool, FreesTheSlotOfAnAttemptWhoseEndWasNeverReported)
{
    fixture.listTargets(1, 1);
    fixture.decide(fixture.makeRequest());
    fixture.now += seconds(13);
    expireOverdue(fixture.pool, fixture.now);
    const auto decision = fixture.decide(fixture.makeRequest());
    CHECK(decision.has_value());
    CHECK(decision->kind == DecisionKind::Granted);
    CHECK_EQUAL(1, fixture.pool.slotsFreedByAge);
}

TEST(Pool, KeepsTargetsEligibleWhenAllAreSuspected)
{
    fixture.listTargets(4);
    for (auto& [instance, target] : fixture.pool.targets)
        target.belief = { 0.98, fixture.now };
    const auto decision = fixture.decide(fixture.makeRequest());
    CHECK(decision->kind == DecisionKind::Granted);
}

TEST(Pool, RefusesRetriesBeyondTheRetryBudget)
{
    fixture.listTargets(50);
    setRetryBudget(fixture.pool.retryBudget, 0.2, 4);
    unsigned granted = 0;
    for (int count = 0; count < 10; ++count)
        granted += fixture.decide(fixture.makeRetry())->kind == DecisionKind::Granted ? 1 : 0;
    CHECK_EQUAL(1, granted);
    for (int count = 0; count < 5; ++count)
        fixture.decide(fixture.makeRequest());
    CHECK(fixture.decide(fixture.makeRetry())->kind == DecisionKind::Granted);
}

// Guards against a request earning credit for retries at each dispatcher and group that it is asked of.
TEST(Pool, AddsToTheRetryBudgetOnlyByRequestsThatCarryCredit)
{
    fixture.listTargets(50);
    setRetryBudget(fixture.pool.retryBudget, 0.2, 4);
    CHECK(fixture.decide(fixture.makeRetry())->kind == DecisionKind::Granted);
    for (int count = 0; count < 20; ++count) {
        GrantRequest again = fixture.makeRequest();
        again.earnsRetryCredit = false;
        fixture.decide(again);
    }
    CHECK(fixture.decide(fixture.makeRetry())->reason == RefusalReason::RetryBudgetExhausted);
}

TEST_GROUP(Retries) {};

// Guards against the retries of one service growing with the number of dispatchers that serve it within a window.
TEST(Retries, OfDispatchersThatTakeOverOneAfterTheOtherStayWithinTheBurst)
{
    constexpr double serviceBurst = 56;
    // The share of the service's burst that each dispatcher may use.
    constexpr double share = 0.4;
    constexpr int dispatchers = 32;
    int retries = 0;
    for (int dispatcher = 0; dispatcher < dispatchers; ++dispatcher) {
        RetryBudget budget;
        setRetryBudget(budget, 0.2, share * serviceBurst);
        while (takeRetryToken(budget))
            ++retries;
    }
    CHECK_COMPARE(retries, <=, serviceBurst);
}

TEST(Retries, StayWithinRatioAndBurstInAnyWindow)
{
    RetryBudget budget;
    setRetryBudget(budget, 0.2, 20);
    unsigned taken = 0;
    for (int request = 0; request < 500; ++request) {
        depositRetryCredit(budget);
        while (takeRetryToken(budget))
            ++taken;
        CHECK(taken <= 0.2 * (request + 1) + 20);
    }
}

TEST(Retries, StartWithOneToken)
{
    RetryBudget budget;
    setRetryBudget(budget, 0.2, 20);
    unsigned taken = 0;
    while (takeRetryToken(budget))
        ++taken;
    CHECK_EQUAL(1, taken);
}

TEST_GROUP(Splits) {};

TEST(Splits, KeepEachPartWithinTwoRequestsOfItsShare)
{
    const std::vector<double> weights { 70, 20, 10 };
    for (double phase = 0; phase < 1; phase += 0.07) {
        SplitRotation rotation = startRotation(weights, phase);
        std::vector<double> counts(weights.size());
        for (int request = 1; request <= 300; ++request) {
            counts[nextPart(rotation, weights)] += 1;
            for (std::size_t part = 0; part < weights.size(); ++part)
                CHECK(std::abs(counts[part] - weights[part] / 100 * request) <= 2.01);
        }
    }
}

TEST(Splits, StartAtThePartOfThePhase)
{
    const std::vector<double> weights { 50, 50 };
    SplitRotation low = startRotation(weights, 0.1);
    SplitRotation high = startRotation(weights, 0.9);
    CHECK_EQUAL(0, nextPart(low, weights));
    CHECK_EQUAL(1, nextPart(high, weights));
}
