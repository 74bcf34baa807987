#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// Targets that say in a response that they are leaving, before or without saying so in their entries.

TEST_GROUP(Leaving)
{
    ProxyTestBed testBed;
    unsigned lastRequest { 0 };

    ScriptedTarget& addTarget(const std::string& status, const std::string& headers)
    {
        return testBed.addTarget([status, headers](const HttpMessage& received) {
            return "HTTP/1.1 " + status + "\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nX-Signature: s\r\n" + headers + "Content-Length: 0\r\n\r\n";
        });
    }

    HttpMessage send(std::size_t daemon = 0)
    {
        auto caller = testBed.connectCaller(daemon);
        caller->send(makeRequest("r" + std::to_string(++lastRequest), "POST", "x"));
        CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK(!caller->responses.empty());
        return caller->responses.back();
    }

    // Sends requests, one after the other, until the target has got one.
    void sendUntilItArrivesAt(const ScriptedTarget& target, std::size_t count, std::size_t daemon = 0)
    {
        constexpr unsigned maxRequests = 300;
        for (unsigned sent = 0; sent < maxRequests && target.requests.size() < count; ++sent) {
            send(daemon);
            testBed.runFor(milliseconds(10));
        }
        CHECK_EQUAL(count, target.requests.size());
    }

    void checkGetsNoMore(const ScriptedTarget& target)
    {
        const std::size_t before = target.requests.size();
        // Longer than the time in which each target gets a request.
        const TimePoint end = Clock::now() + milliseconds(2200);
        while (Clock::now() < end) {
            send();
            testBed.runFor(milliseconds(20));
        }
        CHECK_EQUAL(before, target.requests.size());
    }
};

// Guards against requests being sent to a target that has said that it leaves.
TEST(Leaving, IsReadFromAnyResponseOfATarget)
{
    const ScriptedTarget& answering = addTarget("200 OK", "X-Leaving: 1\r\n");
    const ScriptedTarget& failing = addTarget("500 Internal Server Error", "X-Leaving: 1\r\n");
    const ScriptedTarget& rejecting = addTarget("503 Service Unavailable", "X-Not-Run: 1\r\nX-Leaving: 1\r\n");
    addTarget("200 OK", "");
    testBed.start(1, false);
    for (const ScriptedTarget* leaving : { &answering, &failing, &rejecting })
        sendUntilItArrivesAt(*leaving, 1);
    for (const ScriptedTarget* leaving : { &answering, &failing, &rejecting }) {
        checkGetsNoMore(*leaving);
        CHECK_EQUAL(1, leaving->requests.size());
    }
}

// Guards against taking a target for leaving because another one, which is at its address for a while, says that it leaves.
TEST(Leaving, IsNotReadFromAnotherInstanceAtTheAddress)
{
    bool isReplaced = true;
    const ScriptedTarget& target = testBed.addTarget([&isReplaced](const HttpMessage& received) {
        const std::string status = isReplaced ? "421 Misdirected Request\r\nX-Leaving: 1" : "200 OK\r\nX-Signature: s";
        return "HTTP/1.1 " + status + "\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nContent-Length: 0\r\n\r\n";
    });
    addTarget("200 OK", "");
    testBed.start(1, false);
    sendUntilItArrivesAt(target, 1);
    isReplaced = false;
    testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    sendUntilItArrivesAt(target, 2);
}

TEST(Leaving, StaysUntilTheTargetHasRestarted)
{
    const ScriptedTarget& leaving = addTarget("200 OK", "X-Leaving: 1\r\n");
    addTarget("200 OK", "");
    testBed.start(1, false);
    sendUntilItArrivesAt(leaving, 1);
    testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    checkGetsNoMore(leaving);
    testBed.entries.front().startedAt = 2;
    testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    sendUntilItArrivesAt(leaving, 2);
}

// Guards against requests to a leaving target whose entry lapses while the store is unavailable and is then written again.
TEST(Leaving, StaysThoughTheEntryGoesAndReturns)
{
    const TimePoint now = Clock::now();
    TargetDirectory directory;
    TargetEntry entry = entryOf("i-1", 2);
    const std::vector<TargetEntry> written { entry };
    const std::vector<std::string> removed { "i-1" };
    applyEntryChanges(directory, written, {}, now);
    markLeaving(directory, "i-1", 2);
    applyEntryChanges(directory, {}, removed, now + seconds(3));
    CHECK(directory.entries.empty());
    applyEntryChanges(directory, written, {}, now + seconds(4));
    CHECK_FALSE(acceptsRequests(directory, "i-1", now + seconds(4)));
    entry.startedAt = 3;
    applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now + seconds(5));
    CHECK(acceptsRequests(directory, "i-1", now + seconds(5)));
}

// Guards against requests to a leaving target that has said so after its entry had gone, and whose last heartbeat the store executes late.
TEST(Leaving, StaysThoughItIsSaidAfterTheEntryHasGone)
{
    const TimePoint now = Clock::now();
    TargetDirectory directory;
    TargetEntry entry = entryOf("i-1", 2);
    const std::vector<TargetEntry> written { entry };
    const std::vector<std::string> removed { "i-1" };
    applyEntryChanges(directory, written, {}, now, seconds(60));
    applyEntryChanges(directory, {}, removed, now, seconds(60));
    CHECK(directory.entries.empty());
    CHECK_EQUAL(1U, markLeaving(directory, "i-1", 2).leaving.size());
    CHECK(markLeaving(directory, "i-1", 2).leaving.empty());
    applyEntryChanges(directory, written, {}, now + seconds(4), seconds(60));
    CHECK_FALSE(acceptsRequests(directory, "i-1", now + seconds(4)));
    // The next start has said nothing, whether the word of the earlier one arrives before or after its entry.
    applyEntryChanges(directory, {}, removed, now + seconds(5), seconds(60));
    markLeaving(directory, "i-1", 2);
    entry.startedAt = 3;
    applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now + seconds(6), seconds(60));
    markLeaving(directory, "i-1", 2);
    CHECK(acceptsRequests(directory, "i-1", now + seconds(6)));
}

// The same for a target that wants nothing for a while, or has a limit.
TEST(Leaving, AndOtherStatementsHoldThoughTheyAreMadeAfterTheEntryHasGone)
{
    const TimePoint now = Clock::now();
    TargetDirectory directory;
    const std::vector<TargetEntry> written { entryOf("i-1", 2) };
    applyEntryChanges(directory, written, {}, now, seconds(60));
    applyEntryChanges(directory, {}, std::vector<std::string> { "i-1" }, now, seconds(60));
    holdOff(directory, "i-1", 2, now + seconds(10));
    CHECK(setRequestLimit(directory, "i-1", 2, 3, now).changedServices.empty());
    applyEntryChanges(directory, written, {}, now + seconds(4), seconds(60));
    CHECK_FALSE(acceptsRequests(directory, "i-1", now + seconds(4)));
    CHECK(acceptsRequests(directory, "i-1", now + seconds(10)));
    CHECK_EQUAL(3.0, targetsOf(directory, "stock").at(0).requestsPerSecond.value());
}

TEST(Leaving, HoldsThoughTheDispatcherDoesNotKnow)
{
    const ScriptedTarget& leaving = addTarget("200 OK", "X-Leaving: 1\r\n");
    addTarget("200 OK", "");
    testBed.start(2, false);
    const std::string dispatcher = dispatchersFor(testBed.proxies.front()->fleetState(), "stock/0/1").front();
    const std::size_t other = testBed.settings.front().vm == dispatcher ? 1 : 0;
    sendUntilItArrivesAt(leaving, 1, other);
    const TimePoint end = Clock::now() + milliseconds(2200);
    while (Clock::now() < end)
        CHECK_EQUAL(200, send(other).status);
    CHECK_EQUAL(1, leaving.requests.size());
}

TEST(Leaving, IsNotReadFromOtherValues)
{
    const ScriptedTarget& target = addTarget("200 OK", "X-Leaving: perhaps\r\n");
    testBed.start(1, false);
    sendUntilItArrivesAt(target, 5);
}
