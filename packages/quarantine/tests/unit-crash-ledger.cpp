#include "flamingowick/quarantine/CrashLedger.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(CrashLedger)
{
    CrashLedger ledger;
    CrashPolicy policy { 3, seconds(60) };
    TimePoint now { seconds(100) };

    // Records a crash by an attempt that began just before.
    bool crash(std::uint64_t fingerprint, const std::string& target)
    {
        now += milliseconds(10);
        return recordCrash(ledger, fingerprint, target, now - milliseconds(5), policy, now);
    }
};

TEST(CrashLedger, RefusesARequestAtTheLastCrashThatThePolicyAllows)
{
    CHECK_FALSE(crash(7, "a"));
    CHECK_FALSE(crash(7, "b"));
    CHECK_FALSE(refusal(ledger, 7, now).has_value());
    CHECK(crash(7, "c"));
    CHECK(refusal(ledger, 7, now).has_value());
    CHECK_FALSE(refusal(ledger, 8, now).has_value());
    CHECK_FALSE(refusal(ledger, 7, now + seconds(60)).has_value());
}

TEST(CrashLedger, CountsATargetAgainOnlyForAnAttemptThatBeganAfterItsLastCrash)
{
    crash(7, "a");
    CHECK_FALSE(recordCrash(ledger, 7, "a", now - milliseconds(1), policy, now + milliseconds(1)));
    CHECK_EQUAL(1, crashCount(ledger, 7, policy, now));
    crash(7, "a");
    CHECK_EQUAL(2, crashCount(ledger, 7, policy, now));
}

TEST(CrashLedger, ForgetsASuspectThatSurvivesOrIsNotSeenForTheRefusalTime)
{
    crash(7, "a");
    recordSurvival(ledger, 7);
    CHECK_EQUAL(0, crashCount(ledger, 7, policy, now));
    crash(7, "a");
    CHECK_EQUAL(0, crashCount(ledger, 7, policy, now + seconds(61)));
}

TEST(CrashLedger, EndsARefusalOnlyWhenItIsReleasedOrExpires)
{
    refuse(ledger, 7, now + seconds(60));
    refuse(ledger, 7, now + seconds(10));
    recordSurvival(ledger, 7);
    CHECK(refusal(ledger, 7, now + seconds(30)).has_value());
    release(ledger, 7);
    CHECK_FALSE(refusal(ledger, 7, now).has_value());
}

TEST(CrashLedger, StaysBoundedWhileManyRequestsAreSuspectedOrRefused)
{
    for (std::uint64_t fingerprint = 1; fingerprint <= 10'000; ++fingerprint) {
        crash(fingerprint, "a");
        refuse(ledger, fingerprint, now + seconds(60));
    }
    CHECK(ledger.suspects.size() <= 4096);
    CHECK(ledger.refusedUntil.size() <= 4096);
    CHECK(refusal(ledger, 10'000, now).has_value());
}
