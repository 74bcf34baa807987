#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// Targets that reject a request with 503 and Retry-After, and want no other from that daemon for so long.

namespace {

std::string rejection(const HttpMessage& received, std::string_view retryAfter)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nX-Not-Run: 1\r\nRetry-After: " + std::string(retryAfter) + "\r\nContent-Length: 0\r\n\r\n";
}

}

TEST_GROUP(HoldOff)
{
    ProxyTestBed testBed;
    unsigned lastRequest { 0 };

    ScriptedTarget& addRejectingTarget(const std::string& retryAfter)
    {
        return testBed.addTarget([retryAfter](const HttpMessage& received) { return rejection(received, retryAfter); });
    }

    ScriptedTarget& addHealthyTarget()
    {
        return testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    }

    HttpMessage send(std::size_t daemon = 0)
    {
        auto caller = testBed.connectCaller(daemon);
        caller->send(makeRequest("r" + std::to_string(++lastRequest), "POST", "x"));
        CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK(!caller->responses.empty());
        return caller->responses.back();
    }

    // Sends requests, one after the other, until the condition is true. Only a failing test reaches the limit.
    void sendUntil(const std::function<bool()>& condition)
    {
        constexpr unsigned maxRequests = 300;
        for (unsigned count = 0; count < maxRequests && !condition(); ++count) {
            send();
            testBed.runFor(milliseconds(10));
        }
        CHECK(condition());
    }
};

// Guards against requests being sent to a target within the time that it has named in Retry-After.
TEST(HoldOff, KeepsRequestsFromATargetForTheTimeThatItNames)
{
    ScriptedTarget& rejecting = addRejectingTarget("3");
    addHealthyTarget();
    testBed.start(1, false);
    sendUntil([&] { return rejecting.requests.size() == 1; });
    // Without the header a target would be tested again within two seconds.
    const TimePoint end = Clock::now() + milliseconds(2800);
    while (Clock::now() < end) {
        CHECK_EQUAL(200, send().status);
        testBed.runFor(milliseconds(10));
    }
    CHECK_EQUAL(1, rejecting.requests.size());
    sendUntil([&] { return rejecting.requests.size() == 2; });
}

TEST(HoldOff, BindsOnlyTheDaemonThatWasRejected)
{
    ScriptedTarget& rejecting = addRejectingTarget("60");
    addHealthyTarget();
    testBed.start(2, false);
    sendUntil([&] { return rejecting.requests.size() == 1; });
    for (unsigned count = 0; count < 300 && rejecting.requests.size() == 1; ++count) {
        send(1);
        testBed.runFor(milliseconds(10));
    }
    CHECK_EQUAL(2, rejecting.requests.size());
}

// Guards against requests that wait, or go round the targets, although all of these have said when to come back.
TEST(HoldOff, OfAllTargetsIsAnsweredAtOnceWithTheSoonestEnd)
{
    ScriptedTarget& first = addRejectingTarget("30");
    ScriptedTarget& second = addRejectingTarget("20");
    testBed.start(1, false);
    sendUntil([&] { return first.requests.size() + second.requests.size() == 2; });
    const TimePoint before = Clock::now();
    const HttpMessage response = send();
    CHECK(Clock::now() - before < milliseconds(500));
    CHECK_EQUAL(503, response.status);
    CHECK_EQUAL(std::string("held-off\n"), response.body);
    const double retryAfter = std::stod(std::string(headerValue(response, "Retry-After")));
    CHECK(retryAfter > 15 && retryAfter <= 20);
    CHECK_EQUAL(2, first.requests.size() + second.requests.size());
}

TEST(HoldOff, EndsWhenTheTargetHasRestarted)
{
    ScriptedTarget& rejecting = addRejectingTarget("60");
    testBed.start(1, false);
    sendUntil([&] { return rejecting.requests.size() == 1; });
    testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    CHECK_EQUAL(503, send().status);
    CHECK_EQUAL(1, rejecting.requests.size());
    testBed.entries.front().startedAt = 2;
    testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    send();
    CHECK_EQUAL(2, rejecting.requests.size());
}

// Guards against a target being left out for a time that it did not name, or its header stopping the service.
TEST(HoldOff, IsIgnoredWhenItsTimeCannotBeRead)
{
    for (const std::string& value : { std::string("soon"), std::string("-5"), std::string("Fri, 31 Dec 1999 23:59:59 GMT"), std::string("5, 5"), std::string(10'000, '9') + "x" })
        addRejectingTarget(value);
    testBed.start(1, false);
    for (const auto& target : testBed.targets)
        sendUntil([&] { return target->requests.size() >= 2; });
}

TEST(HoldOff, ReadsSecondsWithFractionsUpToAnHour)
{
    CHECK(parseRetryAfter("2") == std::optional<Duration>(seconds(2)));
    CHECK(parseRetryAfter("0.25") == std::optional<Duration>(milliseconds(250)));
    CHECK(parseRetryAfter("0") == std::optional<Duration>(seconds(0)));
    CHECK(parseRetryAfter("99999999") == std::optional<Duration>(seconds(3600)));
    for (const std::string_view unreadable : { "", "-1", "-0", "nan", "inf", "1s", "1e3", "+1", " 1" })
        CHECK_FALSE(parseRetryAfter(unreadable).has_value());
}

TEST(HoldOff, StaysThoughTheEntryGoesAndReturns)
{
    const TimePoint now = Clock::now();
    TargetDirectory directory;
    const TargetEntry entry = entryOf("i-1", 2);
    const std::vector<TargetEntry> written { entry };
    applyEntryChanges(directory, written, {}, now);
    holdOff(directory, "i-1", 2, now + seconds(9));
    applyEntryChanges(directory, {}, std::vector<std::string> { "i-1" }, now + seconds(3), seconds(60));
    CHECK(directory.entries.empty());
    applyEntryChanges(directory, written, {}, now + seconds(4));
    CHECK_FALSE(acceptsRequests(directory, "i-1", now + seconds(8)));
    CHECK(acceptsRequests(directory, "i-1", now + seconds(9)));
}

TEST(HoldOff, OfAnEarlierIncarnationIsIgnored)
{
    const TimePoint now = Clock::now();
    TargetDirectory directory;
    const TargetEntry entry = entryOf("i-1", 2);
    applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now);
    holdOff(directory, "i-1", 1, now + seconds(5));
    holdOff(directory, "unknown", 2, now + seconds(5));
    CHECK(acceptsRequests(directory, "i-1", now));
    holdOff(directory, "i-1", 2, now + seconds(5));
    holdOff(directory, "i-1", 2, now + seconds(1));
    CHECK_FALSE(acceptsRequests(directory, "i-1", now + seconds(4)));
    CHECK(acceptsRequests(directory, "i-1", now + seconds(5)));
}
