#include "flamingowick/keys/IssuedKeys.h"
#include "flamingowick/keys/KeyParser.h"
#include "flamingowick/keys/Placement.h"

#include <rapidcheck.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::keys;

TEST_GROUP(KeyParser) {};

TEST(KeyParser, ReadsTheTimestampOfAUuidV7)
{
    auto time = uuidV7Milliseconds("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    CHECK(time.has_value());
    CHECK_EQUAL(0x017F22E279B0LL, time.value_or(0));
}

TEST(KeyParser, RejectsTextThatIsNotAUuidV7)
{
    CHECK(!uuidV7Milliseconds("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
    CHECK(!uuidV7Milliseconds("017f22e2-79b0-7cc3-18c4-dc0c0c07398f"));
    CHECK(!uuidV7Milliseconds("017f22e2-79b0-7cc3-98c4-dc0c0c07398"));
    CHECK(!uuidV7Milliseconds("017f22e2x79b0-7cc3-98c4-dc0c0c07398f"));
    CHECK(!uuidV7Milliseconds("017f22e2-79b0-7cc3-98c4-dc0c0c07398g"));
    CHECK(!uuidV7Milliseconds(""));
}

TEST(KeyParser, ParsesEveryFormattedKeyEvenIfTheVmNameHasDashes)
{
    bool passed = rc::check([] {
        IssuedKey key;
        key.issuer.vm = *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab-1"))));
        key.issuer.incarnation = *rc::gen::arbitrary<std::uint64_t>();
        key.counter = *rc::gen::arbitrary<std::uint64_t>();
        key.check = *rc::gen::arbitrary<std::uint64_t>();
        auto parsed = parseIssuedKey(formatIssuedKey(key));
        RC_ASSERT(parsed == key);
    });
    CHECK(passed);
}

TEST(KeyParser, RejectsMalformedIssuedKeys)
{
    CHECK(!parseIssuedKey("fw1-vm-1-2"));
    CHECK(!parseIssuedKey("fw1--1-2-3"));
    CHECK(!parseIssuedKey("fw1-vm-1-2-+3"));
    CHECK(!parseIssuedKey("fw1-vm-1-02-3"));
    CHECK(!parseIssuedKey("fw1-vm-1-2-99999999999999999999"));
    CHECK(!parseIssuedKey("fw2-vm-1-2-3"));
}

TEST_GROUP(IssuedKeys)
{
    IssuedKeys issuedKeys;
    DaemonId self { "vm1", 5 };
    TimePoint now { std::chrono::hours(1) };
    Duration ageLimit = std::chrono::minutes(10);

    IssuedKeyAge ageOf(const std::string& text, TimePoint at)
    {
        return judgeIssuedKey(issuedKeys, parseIssuedKey(text).value_or(IssuedKey()), self, ageLimit, at);
    }
};

TEST(IssuedKeys, AKeyIsUsableOnlyUntilItsAgeLimit)
{
    issuedKeys.secret = 42;
    std::string key = issueKey(issuedKeys, self, now);
    CHECK(ageOf(key, now) == IssuedKeyAge::Usable);
    CHECK(ageOf(key, now + ageLimit) == IssuedKeyAge::Usable);
    CHECK(ageOf(key, now + ageLimit + std::chrono::seconds(1)) == IssuedKeyAge::TooOld);
    for (int hour = 1; hour < 60; ++hour)
        issueKey(issuedKeys, self, now + std::chrono::hours(hour));
    CHECK(ageOf(key, now + std::chrono::hours(60)) == IssuedKeyAge::TooOld);
    CHECK(issuedKeys.marks.size() <= 25);
}

TEST(IssuedKeys, AKeyOfAnotherIncarnationOrAGuessedKeyIsNotOurs)
{
    issuedKeys.secret = 42;
    std::string key = issueKey(issuedKeys, self, now);
    IssuedKey guessed = parseIssuedKey(key).value_or(IssuedKey());
    guessed.counter = 2;
    CHECK(ageOf(formatIssuedKey(guessed), now) == IssuedKeyAge::NotOurs);
    guessed.counter = 1;
    guessed.check += 1;
    CHECK(ageOf(formatIssuedKey(guessed), now) == IssuedKeyAge::NotOurs);
    self.incarnation = 6;
    CHECK(ageOf(key, now) == IssuedKeyAge::NotOurs);
}

TEST_GROUP(Placement) {};

TEST(Placement, EveryRangeIsClaimedByExactlyOneVm)
{
    std::vector<std::string> services { "dereg-ledger", "member-settle", "cobranzas" };
    std::vector<std::string> vms { "a", "b", "c", "d", "e" };
    std::set<RangeId> claimed;
    std::size_t count = 0;
    for (const std::string& vm : vms) {
        for (const RangeId& id : rangesToClaim(services, vms, vm, defaultRangesPerService)) {
            CHECK(preferredOwner(id, vms) == vm);
            claimed.insert(id);
            ++count;
        }
    }
    CHECK_EQUAL(services.size() * defaultRangesPerService, count);
    CHECK_EQUAL(count, claimed.size());
}
