#include <set>

#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// The credit that requests earn for retries of their service: once each, and at one dispatcher.

TEST_GROUP(RetryCredit)
{
    static constexpr std::string_view group = "stock/0/1";
    // Tokens of a new retry budget, and credit of a request.
    static constexpr double initialTokens = 1;
    static constexpr double ratio = 0.2;
    static constexpr double tolerance = 1e-6;

    ProxyTestBed testBed;

    void addHealthyTarget()
    {
        testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    }

    void sendRequests(std::size_t daemon, int count)
    {
        for (int index = 0; index < count; ++index) {
            auto caller = testBed.connectCaller(daemon);
            caller->send(makeRequest("r" + std::to_string(index), "POST", "x"));
            CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
        }
    }

    double tokensAt(std::size_t daemon) const
    {
        const auto& pools = testBed.proxies.at(daemon)->dispatcherHost().pools();
        const auto pool = pools.find(group);
        return pool == pools.end() ? 0 : pool->second.retryBudget.tokens;
    }
};

// Guards against a service's retry budget growing while its requests go round targets that can't be reached.
TEST(RetryCredit, OfARequestIsEarnedOnceThoughSeveralTargetsAreUnreachable)
{
    constexpr int requests = 10;
    addHealthyTarget();
    for (int index = 0; index < 6; ++index) {
        addHealthyTarget();
        testBed.entries.back().target.address = freeAddress();
    }
    testBed.start(1, false);
    sendRequests(0, requests);
    CHECK_COMPARE(tokensAt(0), <=, initialTokens + ratio * requests + tolerance);
    CHECK(tokensAt(0) > initialTokens);
}

// Guards against the tokens of each daemon that has dispatched for a group adding up.
TEST(RetryCredit, IsGivenUpByADispatcherWhosePredecessorIsBack)
{
    addHealthyTarget();
    testBed.start(2, false);
    const std::string first = dispatchersFor(testBed.proxies.front()->fleetState(), group).front();
    const std::size_t other = testBed.settings.front().vm == first ? 1 : 0;
    testBed.proxies.at(other)->handleMemberSilent(first);
    sendRequests(other, 10);
    CHECK(testBed.proxies.at(other)->dispatcherHost().pools().contains(group));
    CHECK(testBed.runUntil([&] { return tokensAt(other) == 0; }));
}

// Guards against callers getting a target's error, with seconds left, because the budget has no token at that moment.
TEST(RetryCredit, IsWaitedForByARequestThatMayRunAgain)
{
    // Each request fails at the first target that it reaches.
    std::set<std::string> failedOnce;
    const auto failFirstAttempt = [&failedOnce](const HttpMessage& received) -> std::optional<std::string> {
        if (failedOnce.insert(std::string(headerValue(received, "X-Id"))).second)
            return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
        return ScriptedTarget::healthyResponse(received);
    };
    for (int index = 0; index < 6; ++index)
        testBed.addTarget(failFirstAttempt);
    testBed.start(1, true);
    auto first = testBed.connectCaller(0);
    first->send(makeRequest("takes-the-token"));
    CHECK(testBed.runUntil([&] { return !first->responses.empty(); }));
    auto waiting = testBed.connectCaller(0);
    waiting->send(makeRequest("waits"));
    CHECK(testBed.runUntil([&] { return failedOnce.contains("waits"); }));
    CHECK(waiting->responses.empty());
    for (int request = 0; request < 12 && waiting->responses.empty(); ++request) {
        const std::string id = "earns-credit-" + std::to_string(request);
        failedOnce.insert(id);
        auto caller = testBed.connectCaller(0);
        caller->send(makeRequest(id));
        CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
    }
    CHECK(testBed.runUntil([&] { return !waiting->responses.empty(); }));
    CHECK_EQUAL(200, waiting->responses.front().status);
}

// Guards against a daemon that stops cutting off a caller although the failure of its first attempt is known.
TEST(RetryCredit, IsNotWaitedForBeyondTheGraceOfAStop)
{
    for (int index = 0; index < 6; ++index)
        testBed.addTarget([](const HttpMessage& received) { return "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nContent-Length: 0\r\n\r\n"; });
    testBed.start(1, true, seconds(10));
    ProxySettings settings = testBed.settings.front();
    settings.stopGrace = seconds(3);
    testBed.proxies.front()->reload(settings);
    auto first = testBed.connectCaller(0);
    first->send(makeRequest("takes-the-token"));
    CHECK(testBed.runUntil([&] { return !first->responses.empty(); }));
    auto caller = testBed.connectCaller(0);
    caller->send(makeRequest("waits", "GET", {}, "10000"));
    testBed.runFor(milliseconds(300));
    CHECK(caller->responses.empty());
    bool stopped = false;
    testBed.proxies.front()->beginStop([&] { stopped = true; });
    CHECK(testBed.runUntil([&] { return stopped; }));
    CHECK_EQUAL(1, caller->responses.size());
    CHECK_EQUAL(500, caller->responses.front().status);
}
