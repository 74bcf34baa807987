#include "flamingowick/dispatch/RetryBudget.h"

#include "flamingowick/model/Error.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>

using namespace flamingowick;
using namespace flamingowick::dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration validity = seconds(5);
constexpr RetryLimits limits { .ratio = 0, .minPerSecond = 4 };

// Simulates dispatchers that request shares while replies are lost or delayed and the grantor is replaced. Returns the
// largest number of retry tokens that they accrued together beyond what the service allows.
double simulateGrants(std::uint64_t seed, Duration startDelayOfNewGrantor)
{
    std::mt19937_64 random(seed);
    TimePoint begin { seconds(100) };
    TimePoint now = begin;
    RetryGrantor grantor;
    std::vector<RetryBudget> holders(4);
    for (RetryBudget& holder : holders)
        holder.accruedAt = begin;
    double worst = -1;
    for (int step = 0; step < 200; ++step) {
        TimePoint requestedAt = now;
        now += milliseconds(random() % 1000);
        double earned = 0;
        for (RetryBudget& holder : holders) {
            accrueRetries(holder, limits, now);
            earned += holder.earned;
        }
        worst = std::max(worst, earned - std::chrono::duration<double>(now - begin).count() * limits.minPerSecond);
        if (random() % 20 == 0)
            grantor = { {}, now + startDelayOfNewGrantor };
        std::size_t index = random() % holders.size();
        double wanted = static_cast<double>(random() % 5) / 4;
        double share = grantShare(grantor, std::to_string(index), wanted, validity, now);
        bool lost = random() % 3 == 0;
        if (!lost)
            applyGrant(holders[index], { share, requestedAt + validity });
    }
    return worst;
}

}

TEST_GROUP(RetryGrants) {};

TEST(RetryGrants, NeverEarnMoreThanTheServiceAllows)
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
        CHECK(simulateGrants(seed, validity) <= 1e-6);
}

TEST(RetryGrants, EarnTooMuchWhenANewGrantorDoesNotWait)
{
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= 2000; ++seed)
        worst = std::max(worst, simulateGrants(seed, Duration::zero()));
    CHECK(worst > 1);
}

TEST(RetryGrants, ExpireAndLeaveTheRatioOfFirstAttempts)
{
    RetryLimits mixed { .ratio = 0.5, .minPerSecond = 2 };
    RetryBudget budget;
    applyGrant(budget, { 0.5, TimePoint(seconds(3)) });
    accrueRetries(budget, mixed, TimePoint(seconds(100)));
    DOUBLES_EQUAL(3.0, budget.earned, 1e-9);
    recordFirstAttempt(budget, mixed);
    DOUBLES_EQUAL(3.5, budget.earned, 1e-9);
}

TEST(RetryGrants, NeverSumToMoreThanOneWhileAReplyMayBeLost)
{
    RetryGrantor grantor;
    TimePoint now { seconds(100) };
    DOUBLES_EQUAL(0.75, grantShare(grantor, "x", 0.75, seconds(10), now), 1e-9);
    DOUBLES_EQUAL(0.25, grantShare(grantor, "x", 0.25, seconds(10), now + seconds(1)), 1e-9);
    DOUBLES_EQUAL(0.25, grantShare(grantor, "y", 0.75, seconds(10), now + seconds(2)), 1e-9);
    DOUBLES_EQUAL(0.75, grantShare(grantor, "y", 0.75, seconds(10), now + seconds(11)), 1e-9);
}

TEST(RetryGrants, StartAfterThoseOfThePredecessorHaveExpired)
{
    RetryGrantor grantor { {}, TimePoint(seconds(50)) };
    DOUBLES_EQUAL(0, grantShare(grantor, "x", 1, seconds(10), TimePoint(seconds(49))), 1e-9);
}
