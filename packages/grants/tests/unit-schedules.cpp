#include <rapidcheck.h>

#include <map>
#include <set>

#include "Fixture.h"

using namespace flamingowick;
using namespace flamingowick::grants;

// Random sequences of calls to a pool. Each request must get exactly one decision, the attempts at a target must not
// exceed its slots, and no request may be granted a leaving target.

namespace {

struct RandomSchedule {
    PoolFixture fixture;
    std::set<AttemptId> undecided;
    std::map<AttemptId, std::string> running;
    std::set<AttemptId> decided;

    void applyDecisions(std::span<const Decision> decisions)
    {
        for (const Decision& decision : decisions) {
            RC_ASSERT(this->decided.insert(decision.attemptId).second);
            RC_ASSERT(this->undecided.erase(decision.attemptId) == 1);
            if (decision.kind == DecisionKind::Refused) {
                RC_ASSERT(decision.retryAfter > Duration::zero());
                continue;
            }
            const auto target = this->fixture.pool.targets.find(decision.instance);
            RC_ASSERT(target != this->fixture.pool.targets.end());
            RC_ASSERT(!target->second.listed.leaving);
            this->running[decision.attemptId] = decision.instance;
        }
        for (const auto& [instance, target] : this->fixture.pool.targets)
            RC_ASSERT(target.inFlight.size() <= target.listed.slots);
    }

    void requestOne()
    {
        GrantRequest request = this->fixture.makeRequest(milliseconds(*rc::gen::inRange(50, 4000)));
        request.priority = *rc::gen::inRange(0U, 3U);
        request.isRetry = *rc::gen::inRange(0, 4) == 0;
        request.earnsRetryCredit = !request.isRetry;
        request.idempotent = *rc::gen::arbitrary<bool>();
        this->undecided.insert(request.attemptId);
        this->applyDecisions(requestGrant(this->fixture.pool, request, this->fixture.now));
    }

    void finishOne()
    {
        if (this->running.empty())
            return;
        const auto ended = std::next(this->running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(this->running.size())));
        const auto outcome = static_cast<AttemptOutcome>(*rc::gen::inRange(0, 8));
        const AttemptId attemptId = ended->first;
        this->running.erase(ended);
        this->applyDecisions(finishAttempt(this->fixture.pool, attemptId, outcome, milliseconds(*rc::gen::inRange(0, 3000)), this->fixture.now));
    }

    void replaceTargets()
    {
        std::vector<ListedTarget> listed;
        for (unsigned index = 0; index < 6; ++index) {
            if (*rc::gen::inRange(0, 4) != 0)
                listed.push_back({ "t" + std::to_string(index), "10.0.0.1:80", index % 2 == 0 ? "a" : "b", 2, *rc::gen::inRange(0, 5) == 0, Duration::zero() });
        }
        this->applyDecisions(setTargets(this->fixture.pool, listed, this->fixture.now));
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
            this->replaceTargets();
            break;
        case 1:
        case 2:
            this->fixture.now += milliseconds(*rc::gen::inRange(1, 800));
            this->applyDecisions(expireOverdue(this->fixture.pool, this->fixture.now));
            break;
        case 3:
        case 4:
        case 5:
            this->finishOne();
            break;
        default:
            this->requestOne();
            break;
        }
    }
};

// Entries that lose messages: what the pool believes to be occupied is checked against what they run.
struct LossySchedule {
    PoolFixture fixture;
    std::set<AttemptId> running;

    bool losesMessages { true };

    bool isLost() const { return this->losesMessages && *rc::gen::inRange(0, 3) == 0; }

    void applyDecisions(const std::vector<Decision>& decisions)
    {
        for (const Decision& decision : decisions) {
            // A lost grant reply leaves an attempt that no entry runs.
            if (decision.kind == DecisionKind::Granted && !this->isLost())
                this->running.insert(decision.attemptId);
        }
    }

    void finish(const AttemptId& attemptId) { this->applyDecisions(finishAttempt(this->fixture.pool, attemptId, AttemptOutcome::Abandoned, Duration::zero(), this->fixture.now)); }

    void requestOrFinish()
    {
        if (*rc::gen::arbitrary<bool>() || this->running.empty()) {
            this->applyDecisions(requestGrant(this->fixture.pool, this->fixture.makeRequest(seconds(60)), this->fixture.now));
            return;
        }
        const AttemptId attemptId = *std::next(this->running.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(this->running.size())));
        this->running.erase(attemptId);
        if (!this->isLost())
            this->finish(attemptId);
    }

    void passTime()
    {
        this->fixture.now += milliseconds(100);
        for (const AttemptId& attemptId : attemptsToQuery(this->fixture.pool, this->fixture.now)) {
            if (!this->running.contains(attemptId) && !this->isLost())
                this->finish(attemptId);
        }
    }
};

}

TEST_GROUP(Schedules) {};

TEST(Schedules, DecideEachRequestOnceAndKeepToTheSlots)
{
    const bool passed = rc::check("pool schedules", [] {
        RandomSchedule schedule;
        schedule.fixture.listTargets(4);
        setRetryBudget(schedule.fixture.pool.retryBudget, 0.2, 10);
        const int steps = *rc::gen::inRange(20, 200);
        for (int step = 0; step < steps; ++step)
            schedule.step();
        // After all deadlines no request may be left in the queue.
        schedule.fixture.now += seconds(20);
        schedule.applyDecisions(expireOverdue(schedule.fixture.pool, schedule.fixture.now));
        RC_ASSERT(schedule.undecided.empty());
    });
    CHECK(passed);
}

// Guards against slots that stay occupied after messages between entries and dispatcher were lost.
TEST(Schedules, OccupyOnlyTheSlotsOfRunningAttemptsASecondAfterTheLastLoss)
{
    const bool passed = rc::check("lossy schedules", [] {
        LossySchedule schedule;
        schedule.fixture.listTargets(4);
        const int steps = *rc::gen::inRange(20, 200);
        for (int step = 0; step < steps; ++step) {
            schedule.requestOrFinish();
            if (*rc::gen::inRange(0, 4) == 0)
                schedule.passTime();
        }
        schedule.losesMessages = false;
        constexpr int calmSteps = 16;
        for (int step = 0; step < calmSteps; ++step)
            schedule.passTime();
        std::set<AttemptId> occupied;
        for (const auto& [attemptId, instance] : schedule.fixture.pool.instanceByAttempt)
            occupied.insert(attemptId);
        RC_ASSERT(std::includes(schedule.running.begin(), schedule.running.end(), occupied.begin(), occupied.end()));
    });
    CHECK(passed);
}
