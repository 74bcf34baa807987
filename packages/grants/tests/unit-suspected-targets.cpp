#include "LoadSimulation.h"

#include "Fixture.h"

#include <array>
#include <cmath>
#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::grants;

// The load: some targets answer most requests with errors within milliseconds, so that their slots are always free, while the
// healthy ones run nearly all of their slots. Sent to a free slot, a request mostly fails; a healthy one is free a little later.
TEST_GROUP(SuspectedTargets)
{
    PoolFixture fixture;

    void setup() override
    {
        fixture.pool.limits.admissionOrder = AdmissionOrder::Shares;
        setRetryBudget(fixture.pool.retryBudget, 0.2, 4);
        fixture.recordLatencies(milliseconds(200));
    }

    // Lists healthy targets, all slots of which are in use, and one suspected target without attempts.
    std::vector<GrantRequest> occupyHealthyTargets(unsigned healthyTargets, unsigned slots)
    {
        fixture.listTargets(healthyTargets + 1, slots);
        for (auto& [instance, target] : fixture.pool.targets)
            target.lastGrantedAt = fixture.now;
        fixture.pool.targets.at("t0").belief = { 0.98, fixture.now };
        std::vector<GrantRequest> running;
        for (unsigned count = 0; count < healthyTargets * slots; ++count) {
            running.push_back(fixture.makeRequest());
            const std::optional<Decision> decision = fixture.decide(running.back());
            CHECK(decision && decision->instance != "t0");
        }
        return running;
    }

    GrantRequest makeIdempotentRequest()
    {
        GrantRequest request = fixture.makeRequest();
        request.idempotent = true;
        return request;
    }

    std::string decidedInstance(const GrantRequest& request)
    {
        const std::optional<Decision> decision = fixture.decide(request);
        return decision ? decision->instance : "queued";
    }
};

TEST(SuspectedTargets, GetNoNonIdempotentRequestWhileAHealthySlotIsExpectedInTime)
{
    const std::vector<GrantRequest> running = occupyHealthyTargets(2, 1);
    const GrantRequest request = fixture.makeRequest();
    CHECK_EQUAL(std::string("queued"), decidedInstance(request));
    const std::vector<Decision> decisions = finishAttempt(fixture.pool, running.front().attemptId, AttemptOutcome::Succeeded, milliseconds(200), fixture.now);
    CHECK_EQUAL(1, decisions.size());
    CHECK(decisions.front().attemptId == request.attemptId);
}

TEST(SuspectedTargets, GetAnIdempotentRequestOnlyWhereNoHealthySlotIsDueSoon)
{
    occupyHealthyTargets(4, 2);
    for (int count = 0; count < 3; ++count)
        CHECK_EQUAL(std::string("queued"), decidedInstance(makeIdempotentRequest()));
    CHECK_EQUAL(std::string("t0"), decidedInstance(makeIdempotentRequest()));
}

TEST(SuspectedTargets, GetARequestThatBecameLateInTheQueue)
{
    occupyHealthyTargets(2, 1);
    const GrantRequest request = fixture.makeRequest();
    CHECK_EQUAL(std::string("queued"), decidedInstance(request));
    fixture.now += request.latencyObjective;
    const std::vector<Decision> decisions = expireOverdue(fixture.pool, fixture.now);
    CHECK_EQUAL(1, decisions.size());
    CHECK_EQUAL(std::string("t0"), decisions.front().instance);
}

TEST(SuspectedTargets, GetARequestRatherThanThatItIsRefused)
{
    occupyHealthyTargets(1, 1);
    unsigned refused = 0;
    for (int count = 0; count < 20; ++count) {
        const std::optional<Decision> decision = fixture.decide(fixture.makeRequest());
        refused += decision && decision->kind == DecisionKind::Refused ? 1 : 0;
        if (decision && decision->kind == DecisionKind::Granted)
            CHECK_EQUAL(std::string("t0"), decision->instance);
        CHECK(refused == 0 || !fixture.pool.targets.at("t0").inFlight.empty());
    }
    CHECK(refused > 0);
}

TEST(SuspectedTargets, GetNoHedgeWhileAHealthyTargetIsBusy)
{
    occupyHealthyTargets(2, 1);
    GrantRequest hedge = fixture.makeRetry();
    hedge.idempotent = true;
    hedge.isHedge = true;
    const std::optional<Decision> decision = fixture.decide(hedge);
    CHECK(decision && decision->reason == RefusalReason::NoSlotInTime);
}

TEST(SuspectedTargets, AreNotTestedByRetries)
{
    fixture.listTargets(4, 2);
    fixture.pool.targets.at("t0").belief = { 0.98, fixture.now };
    for (auto& [instance, target] : fixture.pool.targets)
        target.lastGrantedAt = instance == "t0" ? fixture.now - seconds(9) : fixture.now;
    GrantRequest retry = fixture.makeRetry();
    retry.idempotent = true;
    CHECK(decidedInstance(retry) != "t0");
    CHECK_EQUAL(std::string("t0"), decidedInstance(makeIdempotentRequest()));
}

TEST(SuspectedTargets, GetRequestsAtOnceWhenAllTargetsAreSuspected)
{
    fixture.listTargets(3, 2);
    for (auto& [instance, target] : fixture.pool.targets) {
        target.belief = { instance == "t1" ? 0.7 : 0.98, fixture.now };
        target.lastGrantedAt = fixture.now;
    }
    CHECK_EQUAL(std::string("t1"), decidedInstance(fixture.makeRequest()));
}

TEST_GROUP(FailingFast) {};

namespace {

// The rate of requests, in parts of what the healthy targets can run on average, and the share of the targets that fail.
struct Shortage {
    double load;
    double failingShare;
};

Load loadOf(const Shortage& shortage)
{
    Load load;
    load.targets = 21;
    load.slots = 6;
    load.workSeconds = 0.5;
    load.objectiveSeconds = 2;
    load.deadlineSeconds = 8;
    load.lengthSeconds = 27;
    load.hangShare = shortage.failingShare;
    load.staggeredPeriods = true;
    load.failsFast = true;
    load.idempotentShare = 0.45;
    load.limits.admissionOrder = AdmissionOrder::Shares;
    load.limits.placeByCost = true;
    // The work is lognormal with a deviation of 0.5.
    const double meanWork = load.workSeconds * std::exp(0.125);
    const double rate = shortage.load * (1 - shortage.failingShare) * load.targets * load.slots / meanWork;
    load.rate = [rate](double) { return rate; };
    return load;
}

// What a placement serves that knows which targets fail: all that the healthy ones can run, and of the rest the part that a
// failing target answers.
double servedShareWithKnowledge(const Shortage& shortage, const Load& load)
{
    const double atHealthy = std::min(1.0, 1 / shortage.load);
    return atHealthy + (1 - atHealthy) * (1 - load.hangProbability);
}

double servedShareOfPool(const Shortage& shortage, const Load& load)
{
    LoadOutcome sum;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        const LoadOutcome outcome = simulateWithPool(load, seed);
        sum.requests += outcome.requests;
        sum.served += outcome.served;
        sum.withinObjective += outcome.withinObjective;
    }
    std::printf("%.1f fail fast, load %.1f: served %.4f, in objective %.4f; with knowledge %.4f\n", shortage.failingShare, shortage.load, sum.servedShare(),
        static_cast<double>(sum.withinObjective) / sum.requests, servedShareWithKnowledge(shortage, load));
    return sum.servedShare();
}

}

TEST(FailingFast, UpToHalfOfTheTargetsLeavesRequestsServedNearlyAsWithKnowledgeOfThem)
{
    for (const Shortage& shortage : std::array<Shortage, 8> { { { 0.5, 0.3 }, { 0.8, 0.3 }, { 1.0, 0.3 }, { 1.3, 0.3 }, { 0.5, 0.5 }, { 0.8, 0.5 }, { 1.0, 0.5 }, { 1.3, 0.5 } } }) {
        const Load load = loadOf(shortage);
        // The stated targets, with room and short of room.
        const double bound = shortage.load < 1 ? 0.95 : 0.90;
        CHECK(servedShareOfPool(shortage, load) >= bound * servedShareWithKnowledge(shortage, load));
    }
}
