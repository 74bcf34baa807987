#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

namespace {

std::optional<std::string> neverRespond(const HttpMessage&) { return std::nullopt; }

}

TEST_GROUP(Entry)
{
    ProxyWorld world;

    const HttpMessage& exchange(RawCaller & caller, std::string_view bytes)
    {
        const std::size_t before = caller.answers.size();
        caller.send(bytes);
        CHECK(world.until([&] { return caller.answers.size() > before || caller.ended; }));
        CHECK(caller.answers.size() > before);
        return caller.answers.back();
    }
};

TEST(Entry, ForwardsTheRequestUnchangedAndReturnsTheResponse)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received, "seven doors"); });
    world.start(3, false);
    for (std::size_t proxy = 0; proxy < 3; ++proxy) {
        auto caller = world.caller(proxy);
        const HttpMessage& response = exchange(*caller, request("r" + std::to_string(proxy), "POST", "body"));
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

TEST(Entry, ServesPipelinedRequestsOnOneConnection)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(1, true);
    auto caller = world.caller();
    caller->send(request("a") + request("b") + request("c"));
    CHECK(world.until([&] { return caller->answers.size() == 3; }));
    CHECK_EQUAL(std::string("c"), std::string(headerValue(caller->answers.back(), "X-Id")));
    CHECK_EQUAL(1, target.connections);
}

TEST(Entry, Responds503UntilAConfigurationIsAppliedAnd404OnlyAfterwards)
{
    world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(1, true);
    ProxySettings lone = world.settings.front();
    lone.vm = "lone";
    lone.callerAddress = freeAddress();
    lone.readyAddress = freeAddress();
    lone.peerAddress = freeAddress();
    Proxy proxy(world.io, lone, 99, world.log);
    CHECK_FALSE(proxy.ready());
    RawCaller early(world.io, lone.callerAddress);
    const HttpMessage& refused = exchange(early, request("a"));
    CHECK_EQUAL(503, refused.status);
    CHECK_FALSE(headerValue(refused, "Retry-After").empty());
    auto caller = world.caller();
    CHECK_EQUAL(404, exchange(*caller, "GET /other/ HTTP/1.1\r\nHost: x\r\nX-Id: b\r\n\r\n").status);
}

TEST(Entry, DoesNotRetryANonIdempotentRequestThatMayHaveExecuted)
{
    ScriptedTarget& first = world.addTarget(neverRespond);
    first.reset = true;
    ScriptedTarget& second = world.addTarget(neverRespond);
    second.reset = true;
    world.start(1, false);
    auto caller = world.caller();
    CHECK_EQUAL(502, exchange(*caller, request("a", "POST", "x")).status);
    CHECK_EQUAL(1, first.requests.size() + second.requests.size());
}

TEST(Entry, RetriesAnIdempotentRequestAfterABrokenConnection)
{
    ScriptedTarget& bad = world.addTarget(neverRespond);
    bad.reset = true;
    world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(1, true);
    for (int count = 0; count < 4; ++count) {
        auto caller = world.caller();
        CHECK_EQUAL(200, exchange(*caller, request("r" + std::to_string(count))).status);
    }
}

TEST(Entry, HedgesAnIdempotentRequestWhileTheFirstTargetHangs)
{
    ScriptedTarget& stuck = world.addTarget(neverRespond);
    world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(1, true);
    for (int count = 0; count < 4; ++count) {
        auto caller = world.caller();
        CHECK_EQUAL(200, exchange(*caller, request("r" + std::to_string(count))).status);
    }
    // The attempt that lost is cancelled by closing its connection, so that the target can stop working on it.
    CHECK(world.until([&] { return stuck.closedByPeer == stuck.connections; }));
}

TEST(Entry, RetriesWhenTheTargetStatesThatItDidNotExecuteTheRequest)
{
    world.addTarget([](const HttpMessage&) { return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"; });
    world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(1, false);
    for (int count = 0; count < 4; ++count) {
        auto caller = world.caller();
        CHECK_EQUAL(200, exchange(*caller, request("r" + std::to_string(count), "POST", "x")).status);
    }
}

TEST(Entry, Responds502ToA503WithoutTheNotExecutedHeader)
{
    world.addTarget([](const HttpMessage& received) { return "HTTP/1.1 503 Service Unavailable\r\nX-Signature: s\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nContent-Length: 0\r\n\r\n"; });
    world.start(1, false);
    auto caller = world.caller();
    const HttpMessage& response = exchange(*caller, request("a", "POST", "x"));
    CHECK_EQUAL(502, response.status);
    CHECK(headerValue(response, "X-Signature").empty());
}

TEST(Entry, ForwardsAnErrorResponseOfTheTargetUnchanged)
{
    world.addTarget([](const HttpMessage& received) { return "HTTP/1.1 500 Oops\r\nX-Signature: s\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nContent-Length: 3\r\n\r\nbad"; });
    world.start(1, false);
    auto caller = world.caller();
    const HttpMessage& response = exchange(*caller, request("a", "POST", "x"));
    CHECK_EQUAL(500, response.status);
    CHECK_EQUAL(std::string("s"), std::string(headerValue(response, "X-Signature")));
    CHECK_EQUAL(std::string("bad"), response.body);
}

TEST(Entry, RejectsASuccessWithoutSignatureOrWithAContentEncoding)
{
    for (const std::string_view extra : { "", "X-Signature: s\r\nContent-Encoding: gzip\r\n" }) {
        ProxyWorld separate;
        separate.addTarget([extra](const HttpMessage& received) { return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\n" + std::string(extra) + "Content-Length: 1\r\n\r\nx"; });
        separate.start(1, false);
        auto caller = separate.caller();
        caller->send(request("a", "POST", "x"));
        CHECK(separate.until([&] { return !caller->answers.empty(); }));
        CHECK_EQUAL(502, caller->answers.back().status);
    }
}

TEST(Entry, DiscardsALateResponseToAnotherRequest)
{
    world.addTarget([](const HttpMessage& received) {
        return "HTTP/1.1 200 OK\r\nX-Id: someone-else\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwrong" + ScriptedTarget::sound(received, "right");
    });
    world.start(1, false);
    auto caller = world.caller();
    CHECK_EQUAL(std::string("right"), exchange(*caller, request("a", "POST", "x")).body);
}

TEST(Entry, DoesNotReuseAConnectionWithSurplusBytesAfterTheResponse)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received, "one") + ScriptedTarget::sound(received, "two"); });
    world.start(1, false);
    for (int count = 0; count < 3; ++count) {
        auto caller = world.caller();
        CHECK_EQUAL(std::string("one"), exchange(*caller, request("r" + std::to_string(count), "POST", "x")).body);
    }
    CHECK_EQUAL(3, target.connections);
}

TEST(Entry, AcceptsAResponseDelimitedByTheEndOfTheConnection)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage& received) { return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nX-Signature: s\r\n\r\nall of it"; });
    target.closeAfter = true;
    world.start(1, false);
    auto caller = world.caller();
    CHECK_EQUAL(std::string("all of it"), exchange(*caller, request("a", "POST", "x")).body);
}

TEST(Entry, Responds504AndCancelsTheAttemptAtTheDeadline)
{
    ScriptedTarget& target = world.addTarget(neverRespond);
    world.start(1, false);
    auto caller = world.caller();
    CHECK_EQUAL(504, exchange(*caller, request("a", "POST", "x", "150")).status);
    CHECK(world.until([&] { return target.closedByPeer == 1; }));
}

TEST(Entry, CancelsTheAttemptWhenTheCallerDisconnects)
{
    ScriptedTarget& target = world.addTarget(neverRespond);
    world.start(1, true);
    auto caller = world.caller();
    caller->send(request("a"));
    CHECK(world.until([&] { return target.requests.size() == 1; }));
    caller->close();
    CHECK(world.until([&] { return target.closedByPeer == 1; }));
}

TEST(Entry, ServesRequestsWhileTheDispatcherIsUnreachable)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(4, false);
    const std::string dispatcher = dispatchersOf(world.proxies.front()->knownFleet(), "stock/0/1").front();
    for (std::size_t index = 0; index < world.proxies.size(); ++index) {
        if (world.settings[index].vm == dispatcher)
            world.proxies[index].reset();
    }
    for (std::size_t index = 0; index < world.proxies.size(); ++index) {
        if (!world.proxies[index])
            continue;
        auto caller = world.caller(index);
        CHECK_EQUAL(200, exchange(*caller, request("r" + std::to_string(index), "POST", "x")).status);
    }
    CHECK_EQUAL(3, target.requests.size());
}

TEST(Entry, DecidesLocallyWhileTheDispatcherKnowsNoTargets)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(4, false);
    const std::string dispatcher = dispatchersOf(world.proxies.front()->knownFleet(), "stock/0/1").front();
    std::size_t other = 0;
    for (std::size_t index = 0; index < world.proxies.size(); ++index) {
        if (world.settings[index].vm == dispatcher)
            world.proxies[index]->changeTargets({}, std::vector<std::string> { "i-1" });
        else
            other = index;
    }
    auto caller = world.caller(other);
    CHECK_EQUAL(200, exchange(*caller, request("a", "POST", "x")).status);
    CHECK_EQUAL(1, target.requests.size());
}

TEST(Entry, NeverExceedsTheSlotsThatAllEntriesShare)
{
    ScriptedTarget& target = world.addTarget(neverRespond);
    world.start(4, false, milliseconds(700));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t index = 0; index < 8; ++index) {
        callers.push_back(world.caller(index % 4));
        callers.back()->send(request("r" + std::to_string(index), "POST", "x"));
    }
    CHECK(world.until([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return !caller->answers.empty(); }); }));
    // The target has two slots; all other requests are refused with a Retry-After header.
    CHECK_EQUAL(2, target.requests.size());
    unsigned refused = 0;
    for (const auto& caller : callers) {
        if (caller->answers.front().status == 503) {
            ++refused;
            CHECK_FALSE(headerValue(caller->answers.front(), "Retry-After").empty());
        }
    }
    CHECK_EQUAL(6, refused);
}

TEST(Entry, SendsNothingToALeavingTarget)
{
    ScriptedTarget& first = world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(3, false);
    // Only one daemon knows that the target is leaving: dispatchers may still grant it.
    world.entries.front().target.leaving = true;
    world.proxies[1]->changeTargets(std::vector<TargetEntry> { world.entries.front() }, {});
    for (int count = 0; count < 4; ++count) {
        auto caller = world.caller(1);
        CHECK_EQUAL(200, exchange(*caller, request("r" + std::to_string(count), "POST", "x")).status);
    }
    CHECK_EQUAL(0, first.requests.size());
}

TEST(Entry, CompletesAcceptedRequestsWhenItStops)
{
    bool responds = false;
    std::string held;
    ScriptedTarget& target = world.addTarget([&](const HttpMessage& received) -> std::optional<std::string> { return responds ? std::optional(ScriptedTarget::sound(received)) : std::nullopt; });
    world.start(1, true, seconds(5));
    auto caller = world.caller();
    caller->send(request("a"));
    CHECK(world.until([&] { return target.requests.size() == 1; }));
    bool stopped = false;
    world.proxies.front()->beginStop([&] { stopped = true; });
    CHECK_FALSE(world.proxies.front()->ready());
    responds = true;
    auto second = world.caller();
    const HttpMessage& response = exchange(*second, request("b"));
    CHECK_EQUAL(200, response.status);
    CHECK_EQUAL(std::string("close"), std::string(headerValue(response, "Connection")));
    CHECK(world.until([&] { return stopped; }));
    CHECK_FALSE(caller->answers.empty());
}

TEST(Entry, RejectsMalformedAndOversizedRequests)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage& received) { return ScriptedTarget::sound(received); });
    world.start(1, true);
    const std::vector<std::pair<std::string, unsigned>> cases {
        { "NONSENSE\r\n\r\n", 400 },
        { "GET /stock/1 HTTP/1.1\r\nHost: x\r\nX-Id: a\r\nX-Long: " + std::string(20'000, 'x') + "\r\n\r\n", 431 },
        { "POST /stock/1 HTTP/1.1\r\nHost: x\r\nX-Id: a\r\nContent-Length: 99999999\r\n\r\n", 413 },
        { "POST /stock/1 HTTP/1.1\r\nHost: x\r\nX-Id: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "GET /stock/1 HTTP/1.1\r\nHost: x\r\n\r\n", 400 },
    };
    for (const auto& [bytes, status] : cases) {
        auto caller = world.caller();
        caller->send(bytes);
        CHECK(world.until([&] { return !caller->answers.empty() || caller->ended; }));
        CHECK_TEXT(!caller->answers.empty(), bytes.substr(0, 80).c_str());
        CHECK_EQUAL(status, caller->answers.front().status);
    }
    CHECK_EQUAL(0, target.requests.size());
}
