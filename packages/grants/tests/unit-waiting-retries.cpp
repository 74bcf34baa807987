#include "Fixture.h"

using namespace flamingowick;
using namespace flamingowick::grants;

// The load: a share of the targets answers with errors within milliseconds while the others run all of their slots, so that
// the retry of a request with seconds left finds no free slot or no token.
TEST_GROUP(WaitingRetries)
{
    PoolFixture fixture;

    void setup() override
    {
        fixture.pool.limits.admissionOrder = AdmissionOrder::Shares;
        setRetryBudget(fixture.pool.retryBudget, 0.2, 4);
        fixture.listTargets(1, 1);
        fixture.recordLatencies(milliseconds(100));
    }
};

TEST(WaitingRetries, WaitForASlotWhileNoOtherAttemptIsInFlight)
{
    const GrantRequest running = fixture.makeRequest();
    fixture.decide(running);
    const GrantRequest retry = fixture.makeRetry();
    CHECK_FALSE(fixture.decide(retry).has_value());
    const std::vector<Decision> decisions = finishAttempt(fixture.pool, running.attemptId, AttemptOutcome::Succeeded, milliseconds(100), fixture.now);
    CHECK_EQUAL(1, decisions.size());
    CHECK(decisions.front().attemptId == retry.attemptId);
}

TEST(WaitingRetries, BesideAnAttemptInFlightAreRefusedAtOnce)
{
    fixture.decide(fixture.makeRequest());
    GrantRequest hedge = fixture.makeRetry();
    hedge.isHedge = true;
    const std::optional<Decision> decision = fixture.decide(hedge);
    CHECK(decision && decision->reason == RefusalReason::NoSlotInTime);
}

TEST(WaitingRetries, TakeTheirTokenWhenTheyAreGrantedFromTheQueue)
{
    const GrantRequest running = fixture.makeRequest();
    fixture.decide(running);
    const double before = fixture.pool.retryBudget.tokens;
    fixture.decide(fixture.makeRetry());
    DOUBLES_EQUAL(before, fixture.pool.retryBudget.tokens, 1e-9);
    finishAttempt(fixture.pool, running.attemptId, AttemptOutcome::Succeeded, milliseconds(100), fixture.now);
    DOUBLES_EQUAL(before - 1, fixture.pool.retryBudget.tokens, 1e-9);
}

TEST(WaitingRetries, InTheQueueGetNoSlotWithoutAToken)
{
    const GrantRequest running = fixture.makeRequest();
    fixture.decide(running);
    const GrantRequest retry = fixture.makeRetry();
    fixture.decide(retry);
    forfeitRetryTokens(fixture.pool.retryBudget);
    const GrantRequest first = fixture.makeRequest();
    fixture.decide(first);
    const std::vector<Decision> decisions = finishAttempt(fixture.pool, running.attemptId, AttemptOutcome::Succeeded, milliseconds(100), fixture.now);
    CHECK_EQUAL(1, decisions.size());
    CHECK(decisions.front().attemptId == first.attemptId);
}
