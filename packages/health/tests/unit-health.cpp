#include "TestSupport.h"

#include "flamingowick/model/Error.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::health;
using namespace std::chrono_literals;

namespace {

struct Pool {
    HealthState state;
    TimePoint now { test::start };
    std::vector<Action> actions;

    explicit Pool(std::size_t targets, const HealthPolicy& policy = {})
        : state(test::stateWith(targets, policy))
    {
    }

    void observe(std::size_t target, Result result, Duration latency = 20ms, std::size_t observer = 0)
    {
        const auto more = test::observe(this->state, target, result, this->now, latency, observer);
        this->actions.insert(this->actions.end(), more.begin(), more.end());
    }

    // Sends one request to every target; the one to the failing target has the given result and latency.
    void sendRound(std::size_t failing, Result result, Duration latency = 20ms)
    {
        for (std::size_t i = 0; i < this->state.targets.size(); ++i)
            this->observe(i, i == failing ? result : Result::Ok, i == failing ? latency : 20ms);
        this->advance(30ms);
    }

    void advance(Duration duration)
    {
        this->now += duration;
        const auto more = handle(this->state, Tick {}, this->now);
        this->actions.insert(this->actions.end(), more.begin(), more.end());
    }

    void sendRounds(int count, std::size_t failing, Result result, Duration latency = 20ms)
    {
        for (int i = 0; i < count; ++i)
            this->sendRound(failing, result, latency);
    }

    Standing standing(std::size_t target, const char* from = "fd0") const
    {
        return standingOf(this->state, test::addressOf(target), from).standing;
    }
};

constexpr std::size_t noTarget = 99;

}

TEST_GROUP(Health) {};

TEST(Health, EjectsATargetThatFailsRequests)
{
    Pool pool(6);
    pool.sendRounds(100, noTarget, Result::Ok);
    pool.sendRounds(60, 2, Result::Error);
    const auto ejections = test::actionsOfType<Eject>(pool.actions);
    CHECK_EQUAL(1U, ejections.size());
    CHECK_EQUAL(test::addressOf(2), ejections[0].target);
    CHECK(ejections[0].reason.symptom != Symptom::Slowness);
    CHECK(ejections[0].reason.score >= ejections[0].reason.threshold);
}

TEST(Health, EjectsATargetThatAnswersSlowly)
{
    Pool pool(6);
    pool.sendRounds(100, noTarget, Result::Ok);
    pool.sendRounds(70, 2, Result::Ok, 120ms);
    CHECK(pool.standing(2) == Standing::Ejected);
    CHECK_EQUAL(1U, test::actionsOfType<Eject>(pool.actions).size());
}

TEST(Health, ExplainsAnEjection)
{
    Pool pool(6);
    pool.sendRounds(60, 2, Result::Timeout);
    const auto explanation = explain(pool.state, test::addressOf(2), pool.now);
    CHECK(explanation.standing.standing == Standing::Ejected);
    CHECK(explanation.record.has_value());
    CHECK(explanation.record->reason.bad >= 5);
    CHECK_EQUAL(1U, explanation.observers);
}

TEST(Health, SendsOnlyIdempotentRequestsUntilTheTargetIsCleared)
{
    Pool pool(6);
    pool.sendRounds(60, 2, Result::Error);
    pool.actions.clear();
    pool.advance(31s);
    const auto trickle = test::actionsOfType<Readmit>(pool.actions);
    CHECK_EQUAL(1U, trickle.size());
    CHECK(trickle[0].idempotentOnly);
    DOUBLES_EQUAL(trickleShare, trickle[0].share, 1e-9);
    pool.sendRounds(30, noTarget, Result::Ok);
    CHECK(pool.standing(2) == Standing::Ramp);
    pool.advance(11s);
    CHECK(pool.standing(2) == Standing::Healthy);
}

TEST(Health, EjectsWithLessEvidenceAndForLongerInTheTrickle)
{
    Pool pool(6);
    pool.sendRounds(60, 2, Result::Error);
    pool.advance(31s);
    pool.actions.clear();
    pool.sendRounds(40, 2, Result::Error);
    const auto ejections = test::actionsOfType<Eject>(pool.actions);
    CHECK_EQUAL(1U, ejections.size());
    CHECK(ejections[0].until - pool.now > 45s);
    CHECK(ejections[0].reason.threshold < thresholdsFor({}).eject);
}

TEST(Health, EjectsNoTargetForASharedCause)
{
    Pool pool(6);
    pool.sendRounds(100, noTarget, Result::Ok);
    for (int i = 0; i < 200; ++i) {
        for (std::size_t target = 0; target < 6; ++target)
            pool.observe(target, (i + static_cast<int>(target)) % 3 ? Result::Ok : Result::Error);
        pool.advance(30ms);
    }
    CHECK(test::actionsOfType<Eject>(pool.actions).empty());
    CHECK(pool.state.sharedCause.on);
    pool.sendRounds(600, noTarget, Result::Ok);
    CHECK_FALSE(pool.state.sharedCause.on);
}

TEST(Health, AvoidsAPathThatFailsFromOneFailureDomainOnly)
{
    Pool pool(6);
    for (int i = 0; i < 200; ++i) {
        for (std::size_t target = 0; target < 6; ++target)
            pool.observe(target, target == 4 && i % 3 == 1 ? Result::ConnectFailure : Result::Ok, 20ms, static_cast<std::size_t>(i % 3));
        pool.advance(20ms);
    }
    CHECK(test::actionsOfType<Eject>(pool.actions).empty());
    const auto avoided = test::actionsOfType<PathAvoid>(pool.actions);
    CHECK_EQUAL(1U, avoided.size());
    CHECK_EQUAL(std::string("fd1"), avoided[0].fromFailureDomain);
    CHECK(pool.standing(4, "fd1") == Standing::Ejected);
    CHECK(pool.standing(4, "fd0") == Standing::Healthy);
}

TEST(Health, CancelsAnEjectionWhenTheErrorsWereTheFaultOfACrashingRequest)
{
    Pool pool(6);
    const auto failedAt = pool.now;
    pool.sendRounds(60, 2, Result::Error);
    CHECK(pool.standing(2) == Standing::Ejected);
    for (int i = 0; i < 60; ++i)
        handle(pool.state, CrashExcluded { test::addressOf(2), test::observerAt(0), failedAt + i * 30ms }, pool.now);
    CHECK(pool.standing(2) == Standing::Healthy);
}

TEST(Health, ProbesRaiseSuspicionAndNeverClearIt)
{
    const auto errorsToEject = [](bool probeOk) {
        Pool pool(6);
        pool.sendRounds(20, noTarget, Result::Ok);
        int errors = 0;
        while (pool.standing(2) != Standing::Ejected && errors < 100) {
            handle(pool.state, ProbeResult { test::addressOf(2), probeOk }, pool.now);
            pool.observe(2, Result::Error);
            pool.now += 250ms;
            ++errors;
        }
        return errors;
    };
    CHECK(errorsToEject(false) < errorsToEject(true));
    Pool pool(6);
    for (int i = 0; i < 100; ++i)
        handle(pool.state, ProbeResult { test::addressOf(2), false }, pool.now);
    CHECK(pool.standing(2) == Standing::Healthy);
}

TEST(Health, ReadmitsTheLeastSevereWhenLeavingTargetsShrinkThePool)
{
    Pool pool(4);
    pool.sendRounds(60, noTarget, Result::Ok);
    for (int i = 0; i < 40; ++i) {
        for (std::size_t target = 0; target < 4; ++target)
            pool.observe(target, target == 1 || (target == 2 && i % 2) ? Result::Error : Result::Ok);
        pool.advance(50ms);
    }
    CHECK(pool.standing(1) == Standing::Ejected);
    CHECK(pool.standing(2) == Standing::Ejected);
    auto list = test::targetList(4);
    list[0].leaving = true;
    const auto actions = handle(pool.state, TargetsChanged { list }, pool.now);
    CHECK(pool.standing(1) == Standing::Ejected);
    CHECK(pool.standing(2) == Standing::Healthy);
    CHECK_EQUAL(1U, test::actionsOfType<FloorHit>(actions).size());
    CHECK_EQUAL(1.0, test::actionsOfType<Readmit>(actions)[0].share);
}

TEST(Health, ReadmitsTheLeastSevereWhenTheDocumentRaisesTheFloor)
{
    Pool pool(6);
    pool.sendRounds(60, 2, Result::Error);
    CHECK(pool.standing(2) == Standing::Ejected);
    HealthPolicy policy;
    policy.capacityFloor = 1.0;
    handle(pool.state, DocumentChanged { policy, TargetLimits {} }, pool.now);
    CHECK(pool.standing(2) == Standing::Healthy);
    CHECK(explain(pool.state, test::addressOf(2), pool.now).heldBackByFloor);
}

TEST(Health, AgreesWithAPeerThatReceivesItsSummary)
{
    Pool first(6);
    Pool second(6);
    first.sendRounds(60, 2, Result::Error);
    const auto summary = makeSummary(first.state, test::observerAt(0), test::start);
    handle(second.state, summary, first.now);
    CHECK(first.state.applied == second.state.applied);
    CHECK(second.standing(2) == Standing::Ejected);
    CHECK(handle(second.state, summary, first.now).empty());
}

TEST(Health, ThrowsWhenRestrictionsWouldReduceCapacityBelowTheFloor)
{
    Pool pool(2);
    pool.state.decisions.floor = [](const FloorRequest& request) {
        return FloorVerdict { { request.wanted.begin(), request.wanted.end() }, {} };
    };
    HealthPolicy policy;
    policy.capacityFloor = 1.0;
    handle(pool.state, DocumentChanged { policy, TargetLimits {} }, pool.now);
    CHECK_THROWS(InvariantViolation, pool.sendRounds(60, 1, Result::Error));
}
