#include "Fixture.h"

#include <array>
#include <cstdlib>
#include <deque>
#include <random>

using namespace flamingowick;
using namespace flamingowick::grants;

// Targets that name the requests per second that they take. Pattern: services degraded by design, where a target in need asks
// for less work than its slots would take.

namespace {

constexpr Duration limitWindow { seconds(4) };

// What the platform allows in any window: one and a half times the limit, and five requests more.
double allowedInWindow(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

}

TEST_GROUP(TargetLimits)
{
    PoolFixture fixture;
    std::vector<ListedTarget> targets;

    void listTargets(unsigned count, std::span<const double> limits, unsigned slots = 2)
    {
        targets.clear();
        for (unsigned index = 0; index < count; ++index) {
            targets.push_back({ "t" + std::to_string(index), "10.0.0.1:" + std::to_string(8000 + index), "a", slots, false, Duration::zero() });
            if (index < limits.size())
                targets.back().requestsPerSecond = limits[index];
        }
        setTargets(fixture.pool, targets, fixture.now);
    }

    void listTargets(unsigned count, std::initializer_list<double> limits) { listTargets(count, std::span(limits.begin(), limits.size())); }
};

TEST(TargetLimits, LeaveOtherTargetsToTakeTheRequests)
{
    listTargets(3, { 0.5 });
    unsigned atLimited = 0;
    for (int count = 0; count < 100; ++count) {
        const GrantRequest request = fixture.makeRequest();
        const auto decision = fixture.decide(request);
        CHECK(decision.has_value());
        CHECK(decision->kind == DecisionKind::Granted);
        atLimited += decision->instance == "t0" ? 1 : 0;
        fixture.now += milliseconds(100);
        finishAttempt(fixture.pool, request.attemptId, AttemptOutcome::Succeeded, milliseconds(50), fixture.now);
    }
    // Ten seconds.
    CHECK(atLimited >= 3 && atLimited <= 6);
    CHECK(failureProbability(fixture.pool, fixture.pool.targets.at("t0"), fixture.now) < fixture.pool.limits.maxFailureProbability);
}

TEST(TargetLimits, ThatAllTargetsHaveReachedAreTheReasonOfARefusalWithTheTimeToTheNextToken)
{
    listTargets(2, { 0.5, 0.4 });
    fixture.recordLatencies(milliseconds(100));
    const auto decision = fixture.decide(fixture.makeRequest());
    CHECK(decision.has_value());
    CHECK(decision->kind == DecisionKind::Refused);
    CHECK(decision->limited);
    CHECK(decision->retryAfter > milliseconds(1900) && decision->retryAfter <= milliseconds(2001));
}

TEST(TargetLimits, GiveATokenToTheQueuedRequestOfHighestPriority)
{
    listTargets(1, { 4 });
    fixture.recordLatencies(milliseconds(100));
    GrantRequest low = fixture.makeRequest(seconds(5));
    low.priority = 2;
    GrantRequest high = fixture.makeRequest(seconds(5));
    high.priority = 0;
    CHECK_FALSE(fixture.decide(low).has_value());
    CHECK_FALSE(fixture.decide(high).has_value());
    fixture.now += milliseconds(260);
    const auto decisions = expireOverdue(fixture.pool, fixture.now);
    CHECK_EQUAL(1, decisions.size());
    CHECK(decisions.front().attemptId == high.attemptId);
    CHECK(decisions.front().limited);
}

TEST(TargetLimits, DoNotShortenTheWaitForASlotWhileThereAreTokens)
{
    listTargets(1, std::array { 20.0 }, 1);
    fixture.recordLatencies(milliseconds(500));
    fixture.now += seconds(1);
    CHECK(fixture.decide(fixture.makeRequest())->kind == DecisionKind::Granted);
    const auto decision = fixture.decide(fixture.makeRequest(milliseconds(700)));
    CHECK(decision.has_value());
    CHECK(decision->kind == DecisionKind::Refused);
    CHECK_FALSE(decision->limited);
    CHECK(decision->retryAfter >= milliseconds(400));
}

TEST(TargetLimits, CountAttemptsThatOthersGranted)
{
    listTargets(1, { 1 });
    fixture.now += seconds(1);
    recordStartedAttempt(fixture.pool, { 9, 1 }, "t0", { fixture.now, 0 }, fixture.now);
    CHECK(timeToToken(*fixture.pool.targets.at("t0").requestLimit, fixture.now) > milliseconds(900));
}

TEST(TargetLimits, MayRiseFallAndEnd)
{
    listTargets(1, { 1 });
    fixture.now += milliseconds(500);
    targets.front().requestsPerSecond = 10;
    setTargets(fixture.pool, targets, fixture.now);
    CHECK(timeToToken(*fixture.pool.targets.at("t0").requestLimit, fixture.now) == milliseconds(50));
    targets.front().requestsPerSecond.reset();
    setTargets(fixture.pool, targets, fixture.now);
    CHECK(fixture.decide(fixture.makeRequest())->kind == DecisionKind::Granted);
}

// Plays services whose targets name limits from 0.5 to 20 a second, on one, a third or all of them, under bursts, while
// dispatchers end and others, whose buckets have filled meanwhile, take over. FLAMINGOWICK_SEED and FLAMINGOWICK_RUNS play
// other seeds, and more of them.
TEST(TargetLimits, HoldInAnyFourSecondsThoughDispatchersTakeOver)
{
    const std::uint64_t first = numberFromEnvironment("FLAMINGOWICK_SEED", 1);
    const std::uint64_t runs = numberFromEnvironment("FLAMINGOWICK_RUNS", 50);
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        std::mt19937_64 random(seed);
        const auto draw = [&random](double least, double most) { return std::uniform_real_distribution<double>(least, most)(random); };
        const auto count = static_cast<unsigned>(draw(3, 19));
        const unsigned limitedCount = std::array { 1U, std::max(1U, count / 3), count }.at(seed % 3);
        std::vector<double> limits;
        for (unsigned index = 0; index < limitedCount; ++index)
            limits.push_back(draw(0.5, 20));
        constexpr unsigned slots = 4;
        std::array<PoolFixture, 3> dispatchers;
        std::size_t current = 0;
        listTargets(count, limits, slots);
        for (PoolFixture& dispatcher : dispatchers)
            setTargets(dispatcher.pool, targets, dispatcher.now);
        std::map<std::string, std::deque<TimePoint>> arrivals;
        std::multimap<TimePoint, std::pair<std::size_t, AttemptId>> ends;
        TimePoint now = dispatchers.front().now;
        const TimePoint start = now;
        TimePoint takeOverAt = now + milliseconds(static_cast<int>(draw(500, 6000)));
        std::uint64_t lastNumber = 0;
        const auto apply = [&](std::span<const Decision> decisions) {
            for (const Decision& decision : decisions) {
                if (decision.kind != DecisionKind::Granted)
                    continue;
                ends.emplace(now + milliseconds(static_cast<int>(draw(20, 900))), std::pair(current, decision.attemptId));
                const auto index = static_cast<std::size_t>(std::stoul(decision.instance.substr(1)));
                if (index >= limits.size())
                    continue;
                std::deque<TimePoint>& times = arrivals[decision.instance];
                times.push_back(now);
                while (now - times.front() > limitWindow)
                    times.pop_front();
                CHECK_TEXT(static_cast<double>(times.size()) <= allowedInWindow(limits[index]), ("seed " + std::to_string(seed)).c_str());
            }
        };
        TimePoint expiredAt = now;
        while (now - start < seconds(15)) {
            const bool burst = (now - start) / seconds(5) % 2 == 1;
            now += milliseconds(static_cast<int>(draw(0, burst ? 10 : 60)));
            if (now >= takeOverAt) {
                current = (current + 1) % dispatchers.size();
                takeOverAt = now + milliseconds(static_cast<int>(draw(500, 6000)));
            }
            while (!ends.empty() && ends.begin()->first <= now) {
                const auto [dispatcher, attemptId] = ends.begin()->second;
                ends.erase(ends.begin());
                const std::vector<Decision> freed = finishAttempt(dispatchers.at(dispatcher).pool, attemptId, AttemptOutcome::Succeeded, milliseconds(200), now);
                // What a dispatcher that was passed over grants to requests in its queue is declined.
                if (dispatcher == current)
                    apply(freed);
            }
            dispatchers.at(current).now = now;
            GrantRequest request = dispatchers.at(current).makeRequest();
            request.attemptId = { 1, ++lastNumber };
            apply(requestGrant(dispatchers.at(current).pool, request, now));
            if (now - expiredAt < milliseconds(50))
                continue;
            expiredAt = now;
            apply(expireOverdue(dispatchers.at(current).pool, now));
        }
        CHECK(!arrivals.empty());
    }
}
