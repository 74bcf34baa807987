#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Invariant.h"
#include "flamingowick/model/Request.h"
#include "flamingowick/model/StableHash.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;

TEST_GROUP(Clock) {
    void teardown() override { Clock::resume();
}
}
;

TEST(Clock, StandsStillWhilePausedAndMovesByAdvance)
{
    Clock::pause();
    TimePoint before = Clock::now();
    CHECK(before == Clock::now());
    Clock::advance(std::chrono::hours(2));
    CHECK(Clock::now() - before == std::chrono::hours(2));
}

TEST_GROUP(StableHash) {};

TEST(StableHash, IsTheSameInEveryBuild)
{
    CHECK_EQUAL(17280346270528514342ULL, stableHash(""));
}

TEST(StableHash, RemovingAMemberMovesOnlyItsOwnKeys)
{
    std::vector<std::string> members { "a", "b", "c", "d", "e" };
    std::vector<std::string> fewer { "a", "b", "c", "d" };
    for (int key = 0; key < 1000; ++key) {
        std::string name = "key" + std::to_string(key);
        const std::string& before = members[rendezvousOrder(name, members).front()];
        const std::string& after = fewer[rendezvousOrder(name, fewer).front()];
        CHECK(before == "e" || before == after);
    }
}

TEST_GROUP(Request) {};

TEST(Request, DigestIgnoresHeadersAndCoversTheBody)
{
    Request request;
    request.method = "POST";
    request.body = "amount=5";
    std::uint64_t digest = requestDigest(request);
    request.headers.push_back({ "Date", "today" });
    CHECK_EQUAL(digest, requestDigest(request));
    request.body = "amount=6";
    CHECK(digest != requestDigest(request));
}

TEST_GROUP(Invariant) {};

TEST(Invariant, NamesItsNumberWhenBroken)
{
    CHECK_THROWS(InvariantViolation, checkInvariant(false, Invariant::CapacityFloor, "below"));
    try {
        checkInvariant(false, Invariant::AtMostOnce, "twice");
    } catch (const Error& error) {
        CHECK_EQUAL(902, error.number());
        STRCMP_EQUAL("[flamingowick.invariant.902] twice", error.what());
    }
}
