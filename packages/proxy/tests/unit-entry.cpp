#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

namespace {

std::optional<std::string> neverRespond(const HttpMessage&) { return std::nullopt; }

}

TEST_GROUP(Entry)
{
    ProxyTestBed testBed;

    const HttpMessage& exchange(RawCaller & caller, std::string_view bytes)
    {
        const std::size_t before = caller.responses.size();
        caller.send(bytes);
        CHECK(testBed.runUntil([&] { return caller.responses.size() > before || caller.ended; }));
        CHECK(caller.responses.size() > before);
        return caller.responses.back();
    }
};

TEST(Entry, ForwardsTheRequestUnchangedAndReturnsTheResponse)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received, "seven doors"); });
    testBed.start(3, false);
    for (std::size_t proxy = 0; proxy < 3; ++proxy) {
        auto caller = testBed.connectCaller(proxy);
        const HttpMessage& response = exchange(*caller, makeRequest("r" + std::to_string(proxy), "POST", "body"));
        CHECK_EQUAL(200, response.status);
        CHECK_EQUAL(std::string("seven doors"), response.body);
        CHECK_EQUAL(std::string("s"), std::string(headerValue(response, "X-Signature")));
    }
    CHECK_EQUAL(3, target.requests.size());
    const HttpMessage& received = target.requests.front();
    CHECK_EQUAL(std::string("POST"), received.method);
    CHECK_EQUAL(std::string("/stock/7"), received.target);
    CHECK_EQUAL(std::string("body"), received.body);
    CHECK_EQUAL(std::string("i-1"), std::string(headerValue(received, "X-Expected")));
    CHECK(std::stoi(std::string(headerValue(received, "X-Left-Ms"))) <= 2000);
}

TEST(Entry, ServesPipelinedRequestsThatMayNotBeRepeatedOneAfterAnother)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, false);
    auto caller = testBed.connectCaller();
    caller->send(makeRequest("a") + makeRequest("b") + makeRequest("c"));
    CHECK(testBed.runUntil([&] { return caller->responses.size() == 3; }));
    CHECK_EQUAL(std::string("c"), std::string(headerValue(caller->responses.back(), "X-Id")));
    CHECK_EQUAL(1, target.connections);
}

TEST(Entry, Responds503UntilAConfigurationIsAppliedAnd404OnlyAfterwards)
{
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, true);
    ProxySettings unconfigured = testBed.settings.front();
    unconfigured.vm = "lone";
    unconfigured.callerAddress = freeAddress();
    unconfigured.readyAddress = freeAddress();
    unconfigured.peerAddress = freeAddress();
    Proxy proxy(testBed.io, unconfigured, 99, testBed.log);
    CHECK_FALSE(proxy.isReady());
    RawCaller early(testBed.io, unconfigured.callerAddress);
    const HttpMessage& refused = exchange(early, makeRequest("a"));
    CHECK_EQUAL(503, refused.status);
    CHECK_FALSE(headerValue(refused, "Retry-After").empty());
    auto caller = testBed.connectCaller();
    CHECK_EQUAL(404, exchange(*caller, "GET /other/ HTTP/1.1\r\nHost: x\r\nX-Id: b\r\n\r\n").status);
}

// Guards against a configuration that stays without effect because a store that lost its newest writes gave the version out
// again, and against an older one that replaces a newer one.
TEST(Entry, AppliesALaterContentOfTheSameVersionAndNoOlderVersion)
{
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, true);
    auto caller = testBed.connectCaller();
    CHECK_EQUAL(200, exchange(*caller, makeRequest("a")).status);
    Configuration withoutRoutes;
    withoutRoutes.version = testBed.configuration.version;
    withoutRoutes.digest = testBed.configuration.digest + 1;
    testBed.proxies.front()->setConfiguration(withoutRoutes);
    CHECK_EQUAL(404, exchange(*caller, makeRequest("b")).status);
    testBed.configuration.version = withoutRoutes.version - 1;
    testBed.proxies.front()->setConfiguration(testBed.configuration);
    CHECK_EQUAL(404, exchange(*caller, makeRequest("c")).status);
}

TEST(Entry, DoesNotRetryANonIdempotentRequestThatMayHaveExecuted)
{
    ScriptedTarget& first = testBed.addTarget(neverRespond);
    first.resetInsteadOfResponse = true;
    ScriptedTarget& second = testBed.addTarget(neverRespond);
    second.resetInsteadOfResponse = true;
    testBed.start(1, false);
    auto caller = testBed.connectCaller();
    CHECK_EQUAL(502, exchange(*caller, makeRequest("a", "POST", "x")).status);
    CHECK_EQUAL(1, first.requests.size() + second.requests.size());
}

TEST(Entry, RetriesAnIdempotentRequestAfterABrokenConnection)
{
    ScriptedTarget& resetting = testBed.addTarget(neverRespond);
    resetting.resetInsteadOfResponse = true;
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, true);
    for (int count = 0; count < 4; ++count) {
        auto caller = testBed.connectCaller();
        CHECK_EQUAL(200, exchange(*caller, makeRequest("r" + std::to_string(count))).status);
    }
}

TEST(Entry, HedgesAnIdempotentRequestWhileTheFirstTargetHangs)
{
    ScriptedTarget& hanging = testBed.addTarget(neverRespond);
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, true);
    for (int count = 0; count < 4; ++count) {
        auto caller = testBed.connectCaller();
        CHECK_EQUAL(200, exchange(*caller, makeRequest("r" + std::to_string(count))).status);
    }
    // The attempt that lost is cancelled by closing its connection, so that the target can stop working on it.
    CHECK(testBed.runUntil([&] { return hanging.closedByPeer == hanging.connections; }));
}

TEST(Entry, RetriesWhenTheTargetStatesThatItDidNotExecuteTheRequest)
{
    testBed.addTarget([](const HttpMessage& received) { return "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"; });
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, false);
    for (int count = 0; count < 4; ++count) {
        auto caller = testBed.connectCaller();
        CHECK_EQUAL(200, exchange(*caller, makeRequest("r" + std::to_string(count), "POST", "x")).status);
    }
}

TEST(Entry, Responds502ToA503WithoutTheNotExecutedHeader)
{
    testBed.addTarget([](const HttpMessage& received) { return "HTTP/1.1 503 Service Unavailable\r\nX-Signature: s\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nContent-Length: 0\r\n\r\n"; });
    testBed.start(1, false);
    auto caller = testBed.connectCaller();
    const HttpMessage& response = exchange(*caller, makeRequest("a", "POST", "x"));
    CHECK_EQUAL(502, response.status);
    CHECK(headerValue(response, "X-Signature").empty());
}

TEST(Entry, ForwardsAnErrorResponseOfTheTargetUnchanged)
{
    testBed.addTarget([](const HttpMessage& received) { return "HTTP/1.1 500 Oops\r\nX-Signature: s\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nContent-Length: 3\r\n\r\nbad"; });
    testBed.start(1, false);
    auto caller = testBed.connectCaller();
    const HttpMessage& response = exchange(*caller, makeRequest("a", "POST", "x"));
    CHECK_EQUAL(500, response.status);
    CHECK_EQUAL(std::string("s"), std::string(headerValue(response, "X-Signature")));
    CHECK_EQUAL(std::string("bad"), response.body);
}

TEST(Entry, RejectsASuccessWithoutSignatureOrWithAContentEncoding)
{
    for (const std::string_view extra : { "", "X-Signature: s\r\nContent-Encoding: gzip\r\n" }) {
        ProxyTestBed separate;
        separate.addTarget([extra](const HttpMessage& received) { return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\n" + std::string(extra) + "Content-Length: 1\r\n\r\nx"; });
        separate.start(1, false);
        auto caller = separate.connectCaller();
        caller->send(makeRequest("a", "POST", "x"));
        CHECK(separate.runUntil([&] { return !caller->responses.empty(); }));
        CHECK_EQUAL(502, caller->responses.back().status);
    }
}

TEST(Entry, DiscardsALateResponseToAnotherRequest)
{
    testBed.addTarget([](const HttpMessage& received) {
        return "HTTP/1.1 200 OK\r\nX-Id: someone-else\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwrong" + ScriptedTarget::healthyResponse(received, "right");
    });
    testBed.start(1, false);
    auto caller = testBed.connectCaller();
    CHECK_EQUAL(std::string("right"), exchange(*caller, makeRequest("a", "POST", "x")).body);
}

TEST(Entry, DoesNotReuseAConnectionWithSurplusBytesAfterTheResponse)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received, "one") + ScriptedTarget::healthyResponse(received, "two"); });
    testBed.start(1, false);
    for (int count = 0; count < 3; ++count) {
        auto caller = testBed.connectCaller();
        CHECK_EQUAL(std::string("one"), exchange(*caller, makeRequest("r" + std::to_string(count), "POST", "x")).body);
    }
    CHECK_EQUAL(3, target.connections);
}

TEST(Entry, AcceptsAResponseDelimitedByTheEndOfTheConnection)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) { return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nX-Signature: s\r\n\r\nall of it"; });
    target.closeAfterResponse = true;
    testBed.start(1, false);
    auto caller = testBed.connectCaller();
    CHECK_EQUAL(std::string("all of it"), exchange(*caller, makeRequest("a", "POST", "x")).body);
}

TEST(Entry, Responds504AndCancelsTheAttemptAtTheDeadline)
{
    ScriptedTarget& target = testBed.addTarget(neverRespond);
    testBed.start(1, false);
    auto caller = testBed.connectCaller();
    CHECK_EQUAL(504, exchange(*caller, makeRequest("a", "POST", "x", "150")).status);
    CHECK(testBed.runUntil([&] { return target.closedByPeer == 1; }));
}

TEST(Entry, CancelsTheAttemptWhenTheCallerDisconnects)
{
    ScriptedTarget& target = testBed.addTarget(neverRespond);
    testBed.start(1, true);
    auto caller = testBed.connectCaller();
    caller->send(makeRequest("a"));
    CHECK(testBed.runUntil([&] { return target.requests.size() == 1; }));
    caller->close();
    CHECK(testBed.runUntil([&] { return target.closedByPeer == 1; }));
}

TEST(Entry, ServesRequestsWhileTheDispatcherIsUnreachable)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(4, false);
    const std::string dispatcher = dispatchersFor(testBed.proxies.front()->fleetState(), "stock/0/1").front();
    for (std::size_t index = 0; index < testBed.proxies.size(); ++index) {
        if (testBed.settings[index].vm == dispatcher)
            testBed.proxies[index].reset();
    }
    for (std::size_t index = 0; index < testBed.proxies.size(); ++index) {
        if (!testBed.proxies[index])
            continue;
        auto caller = testBed.connectCaller(index);
        CHECK_EQUAL(200, exchange(*caller, makeRequest("r" + std::to_string(index), "POST", "x")).status);
    }
    CHECK_EQUAL(3, target.requests.size());
}

TEST(Entry, DecidesLocallyWhileTheDispatcherKnowsNoTargets)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(4, false);
    const std::string dispatcher = dispatchersFor(testBed.proxies.front()->fleetState(), "stock/0/1").front();
    std::size_t other = 0;
    for (std::size_t index = 0; index < testBed.proxies.size(); ++index) {
        if (testBed.settings[index].vm == dispatcher)
            testBed.proxies[index]->applyTargetChanges({}, std::vector<std::string> { "i-1" });
        else
            other = index;
    }
    auto caller = testBed.connectCaller(other);
    CHECK_EQUAL(200, exchange(*caller, makeRequest("a", "POST", "x")).status);
    CHECK_EQUAL(1, target.requests.size());
}

TEST(Entry, NeverExceedsTheSlotsThatAllEntriesShare)
{
    ScriptedTarget& target = testBed.addTarget(neverRespond);
    testBed.start(4, false, milliseconds(700));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t index = 0; index < 8; ++index) {
        callers.push_back(testBed.connectCaller(index % 4));
        callers.back()->send(makeRequest("r" + std::to_string(index), "POST", "x"));
    }
    CHECK(testBed.runUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return !caller->responses.empty(); }); }));
    // The target has two slots; all other requests are refused with a Retry-After header.
    CHECK_EQUAL(2, target.requests.size());
    unsigned refused = 0;
    for (const auto& caller : callers) {
        if (caller->responses.front().status == 503) {
            ++refused;
            CHECK_FALSE(headerValue(caller->responses.front(), "Retry-After").empty());
        }
    }
    CHECK_EQUAL(6, refused);
}

TEST(Entry, SendsNothingToALeavingTarget)
{
    ScriptedTarget& first = testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(3, false);
    // Only one daemon knows that the target is leaving: dispatchers may still grant it.
    testBed.entries.front().target.leaving = true;
    testBed.proxies[1]->applyTargetChanges(std::vector<TargetEntry> { testBed.entries.front() }, {});
    for (int count = 0; count < 4; ++count) {
        auto caller = testBed.connectCaller(1);
        CHECK_EQUAL(200, exchange(*caller, makeRequest("r" + std::to_string(count), "POST", "x")).status);
    }
    CHECK_EQUAL(0, first.requests.size());
}

TEST(Entry, CompletesAcceptedRequestsWhenItStops)
{
    bool responds = false;
    std::string held;
    ScriptedTarget& target = testBed.addTarget([&](const HttpMessage& received) -> std::optional<std::string> { return responds ? std::optional(ScriptedTarget::healthyResponse(received)) : std::nullopt; });
    testBed.start(1, true, seconds(5));
    auto caller = testBed.connectCaller();
    caller->send(makeRequest("a"));
    CHECK(testBed.runUntil([&] { return target.requests.size() == 1; }));
    bool stopped = false;
    testBed.proxies.front()->beginStop([&] { stopped = true; });
    CHECK_FALSE(testBed.proxies.front()->isReady());
    responds = true;
    auto second = testBed.connectCaller();
    const HttpMessage& response = exchange(*second, makeRequest("b"));
    CHECK_EQUAL(200, response.status);
    CHECK_EQUAL(std::string("close"), std::string(headerValue(response, "Connection")));
    CHECK(testBed.runUntil([&] { return stopped; }));
    CHECK_FALSE(caller->responses.empty());
}

TEST(Entry, RejectsMalformedAndOversizedRequests)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, true);
    const std::vector<std::pair<std::string, unsigned>> cases {
        { "NONSENSE\r\n\r\n", 400 },
        { "GET /stock/1 HTTP/1.1\r\nHost: x\r\nX-Id: a\r\nX-Long: " + std::string(20'000, 'x') + "\r\n\r\n", 431 },
        { "POST /stock/1 HTTP/1.1\r\nHost: x\r\nX-Id: a\r\nContent-Length: 99999999\r\n\r\n", 413 },
        { "POST /stock/1 HTTP/1.1\r\nHost: x\r\nX-Id: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "GET /stock/1 HTTP/1.1\r\nHost: x\r\n\r\n", 400 },
    };
    for (const auto& [bytes, status] : cases) {
        auto caller = testBed.connectCaller();
        caller->send(bytes);
        CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK_TEXT(!caller->responses.empty(), bytes.substr(0, 80).c_str());
        CHECK_EQUAL(status, caller->responses.front().status);
    }
    CHECK_EQUAL(0, target.requests.size());
}

// Guards against a slot that stays occupied for seconds because the entry's list of targets grew into another number of
// groups between the grant request and the end of the attempt.
TEST(Entry, FreesTheSlotOfAnAttemptWhoseGroupHasChanged)
{
    bool responds = false;
    ScriptedTarget& target = testBed.addTarget([&responds](const HttpMessage& received) { return responds ? std::optional(ScriptedTarget::healthyResponse(received)) : std::nullopt; });
    testBed.entries.front().target.slots = 1;
    for (int index = 2; index <= 32; ++index) {
        TargetEntry leaving = testBed.entries.front();
        leaving.target.instance = "i-" + std::to_string(index);
        leaving.target.leaving = true;
        testBed.entries.push_back(leaving);
    }
    testBed.start(3, false);
    const std::string dispatcher = dispatchersFor(testBed.proxies.front()->fleetState(), "stock/0/1").front();
    const std::size_t other = testBed.settings.front().vm == dispatcher ? 1 : 0;
    auto first = testBed.connectCaller(other);
    first->send(makeRequest("a", "POST", "x", "300"));
    CHECK(testBed.runUntil([&] { return target.requests.size() == 1; }));
    auto queued = testBed.connectCaller(other);
    queued->send(makeRequest("b", "POST", "x"));
    testBed.runFor(milliseconds(50));
    TargetEntry added = testBed.entries.back();
    added.target.instance = "i-33";
    testBed.proxies.at(other)->applyTargetChanges(std::vector<TargetEntry> { added }, {});
    responds = true;
    CHECK(testBed.runUntil([&] { return !queued->responses.empty(); }));
    CHECK_EQUAL(200, queued->responses.front().status);
    testBed.proxies.at(other)->applyTargetChanges({}, std::vector<std::string> { "i-33" });
    auto last = testBed.connectCaller(other);
    CHECK_EQUAL(200, exchange(*last, makeRequest("c", "POST", "x", "1000")).status);
}
