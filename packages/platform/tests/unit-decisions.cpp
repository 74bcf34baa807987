#include "Schedules.h"

#include "flamingowick/platform/Verdict.h"
#include "flamingowick/platform/detail/Backoff.h"
#include "flamingowick/platform/detail/CallPacer.h"
#include "flamingowick/platform/detail/LineSplitter.h"
#include "flamingowick/platform/detail/Wire.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingowick;
using namespace flamingowick::platform;
using namespace flamingowick::platform::detail;
using flamingowick::platform::testing::forSchedules;

TEST_GROUP(Decisions) {};

TEST(Decisions, AWriteIsUnavailableOnlyWhenItWasNotSentOrGotStatus429)
{
    for (const bool sent : { false, true }) {
        for (const bool answered : { false, true }) {
            for (unsigned status = 100; status < 600; ++status) {
                const Verdict verdict = judge({ .write = true, .sent = sent, .answered = answered, .status = status, .error = {} });
                const bool hadNoEffect = !sent || (answered && status == 429);
                if (verdict == Verdict::Unavailable)
                    CHECK(hadNoEffect);
                if (!answered)
                    CHECK(verdict == (sent ? Verdict::Unknown : Verdict::Unavailable));
            }
        }
    }
}

TEST(Decisions, AReadIsNeverUnknown)
{
    for (unsigned status = 0; status < 600; ++status) {
        CHECK(judge({ .write = false, .sent = true, .answered = true, .status = status, .error = {} }) != Verdict::Unknown);
        CHECK(judge({ .write = false, .sent = true, .answered = false, .status = status, .error = {} }) == Verdict::Unavailable);
    }
}

TEST(Decisions, NoSecondHasMoreStartsThanTheRateLimit)
{
    forSchedules(2000, [](std::uint64_t, std::mt19937_64& random) {
        const unsigned limit = 1 + static_cast<unsigned>(random() % 40);
        CallPacer pacer(limit);
        std::vector<TimePoint> starts;
        TimePoint now {};
        for (int i = 0; i < 100; ++i) {
            now += std::chrono::milliseconds(random() % 60);
            if (earliestStart(pacer, now) > now)
                continue;
            recordStart(pacer, now);
            starts.push_back(now);
            const auto inWindow = std::count_if(starts.begin(), starts.end(),
                [now](TimePoint start) { return start > now - std::chrono::seconds(1); });
            CHECK(inWindow <= static_cast<std::ptrdiff_t>(limit));
        }
    });
}

TEST(Decisions, BackoffDelayIsBetweenHalfItsUpperBoundAndItsUpperBound)
{
    constexpr std::chrono::milliseconds minDelay(100);
    constexpr std::chrono::seconds maxDelay(5);
    forSchedules(2000, [&](std::uint64_t, std::mt19937_64& random) {
        const auto failures = 1 + static_cast<unsigned>(random() % 100);
        const Duration upperBound = failures < 7 ? Duration(minDelay) * (1 << (failures - 1)) : Duration(maxDelay);
        const Duration delay = backoffDelay(failures, minDelay, maxDelay, random);
        CHECK(delay >= upperBound / 2);
        CHECK(delay <= upperBound);
    });
}

TEST(Decisions, LinesDoNotDependOnHowTheBytesAreSplit)
{
    forSchedules(2000, [](std::uint64_t, std::mt19937_64& random) {
        std::vector<std::string> expected;
        std::string bytes;
        for (std::uint64_t i = random() % 20; i > 0; --i) {
            expected.emplace_back(1 + random() % 30, static_cast<char>('a' + random() % 26));
            bytes += expected.back() + "\n";
        }
        LineSplitter splitter(30);
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::string piece = bytes.substr(at, 1 + random() % 25);
            CHECK(splitter.append(piece, lines));
            at += piece.size();
        }
        CHECK(lines == expected);
    });
}

TEST(Decisions, ALineThatIsTooLongIsRejected)
{
    LineSplitter splitter(4);
    std::vector<std::string> lines;
    CHECK(splitter.append("abcd\nab", lines));
    CHECK_FALSE(splitter.append("cde", lines));
}

TEST(Decisions, ObjectsAreUnchangedByEncodingAndDecoding)
{
    const Object object { Plural::KeyRanges, "range/1", "7", "change \"1\"", "daemon", R"({"owner":"vm-1"})" };
    const std::optional<std::string> text = encodeObject(object);
    CHECK(text.has_value());
    CHECK(decodeObject(Plural::KeyRanges, *text) == object);
    CHECK_EQUAL(std::string("/apis/flamingowick.example/v1/keyranges/range%2F1"), pathOf(Plural::KeyRanges, object.name));
    CHECK_FALSE(encodeObject({ Plural::KeyRanges, "a", "", "", "", "{" }).has_value());
}

TEST(Decisions, DamagedTextNeverDecodesToAnObjectWithoutName)
{
    const Object object { Plural::KeyRanges, "a", "7", "c", "d", R"({"owner":[1,2,{"x":null}]})" };
    const std::string intact = encodeObject(object).value();
    forSchedules(2000, [&](std::uint64_t, std::mt19937_64& random) {
        std::string damaged = intact;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        const std::optional<Object> read = decodeObject(Plural::KeyRanges, damaged);
        CHECK(!read || !read->name.empty());
        CHECK_FALSE(decodeObject(Plural::KeyRanges, intact.substr(0, random() % intact.size())).has_value());
        const WatchLine line = decodeWatchLine(Plural::KeyRanges, R"({"type":"ADDED","object":)" + damaged + "}");
        CHECK(line.kind == WatchLineKind::Failure || !line.event.object.name.empty());
    });
}
