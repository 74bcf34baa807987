#include "ProxyTestBed.h"

#include "flamingowick/proxy/HttpClient.h"

#include <algorithm>

using namespace flamingowick;
using namespace flamingowick::proxy;

// Targets that send bytes without end, which are no response or never complete one.

namespace {

// A response's limits, and what the sockets of both ends hold.
constexpr std::uint64_t mostBytesRead = (16U << 20U) + (8U << 20U);

std::string blockOf(std::string_view text)
{
    std::string block;
    while (block.size() < 16U << 10U)
        block += text;
    return block;
}

std::string responseStart(const HttpMessage& request, std::string_view headers)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(headerValue(request, "X-Id")) + "\r\nX-Signature: s\r\n" + std::string(headers);
}

}

TEST_GROUP(EndlessResponses)
{
    ProxyTestBed testBed;

    // Sends an idempotent request that meets the endless response first, and checks that its connection is closed early
    // and that the caller gets the response of the other target.
    void checkIsBounded(const ScriptedTarget::Script& start, const std::string& endlessBytes)
    {
        ScriptedTarget& endless = testBed.addTarget(start);
        endless.endlessBytes = endlessBytes;
        testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
        testBed.start(1, true, seconds(20));
        unsigned sent = 0;
        const TimePoint begin = Clock::now();
        while (endless.requests.empty()) {
            auto caller = testBed.connectCaller();
            caller->send(makeRequest("r" + std::to_string(++sent), "GET", "", "20000"));
            CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
            CHECK_EQUAL(200, caller->responses.front().status);
            CHECK_EQUAL(std::string("fine"), caller->responses.front().body);
        }
        CHECK(testBed.runUntil([&] { return endless.endlessResponsesClosed > 0; }));
        CHECK_COMPARE(endless.endlessBytesSent, <, mostBytesRead);
        CHECK(Clock::now() - begin < seconds(10));
    }
};

// Each guards against a target that fills a daemon's memory, or holds a request and its connection until the deadline.
TEST(EndlessResponses, ThatAreNotHttpAreCutOff)
{
    checkIsBounded([](const HttpMessage&) { return "no answer"; }, blockOf("no answer"));
}

TEST(EndlessResponses, OfAHeadAreCutOff)
{
    checkIsBounded([](const HttpMessage& received) { return responseStart(received, "X-More: "); }, blockOf("a"));
}

TEST(EndlessResponses, OfABodyWithoutLengthAreCutOff)
{
    checkIsBounded([](const HttpMessage& received) { return responseStart(received, "\r\n"); }, blockOf("a"));
}

TEST(EndlessResponses, OfChunksAreCutOff)
{
    checkIsBounded([](const HttpMessage& received) { return responseStart(received, "Transfer-Encoding: chunked\r\n\r\n"); }, blockOf("4\r\naaaa\r\n"));
}

TEST(EndlessResponses, OfAChunkExtensionAreCutOff)
{
    checkIsBounded([](const HttpMessage& received) { return responseStart(received, "Transfer-Encoding: chunked\r\n\r\n4;"); }, blockOf("a"));
}

TEST(EndlessResponses, OfTrailersAreCutOff)
{
    checkIsBounded([](const HttpMessage& received) { return responseStart(received, "Transfer-Encoding: chunked\r\n\r\n0\r\n"); }, blockOf("X-More: a\r\n"));
}

TEST(EndlessResponses, OfInterimResponsesAreCutOff)
{
    checkIsBounded([](const HttpMessage&) { return ""; }, blockOf("HTTP/1.1 102 Processing\r\n\r\n"));
}

TEST(EndlessResponses, ToOtherRequestsAreCutOff)
{
    checkIsBounded([](const HttpMessage&) { return ""; }, blockOf("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"));
}

// Guards against endless responses that are each within their limit, but together beyond the memory of a VM.
TEST(EndlessResponses, OfFiftyAttemptsAtOnceHoldBoundedMemory)
{
    constexpr unsigned attempts = 50;
    ScriptedTarget& endless = testBed.addTarget([](const HttpMessage& received) { return responseStart(received, "\r\n"); });
    endless.endlessBytes = blockOf("a");
    TargetPaths paths;
    TargetConnections connections(testBed.io, testHeaders(), paths, { [](std::span<const std::string>) { return std::nullopt; }, [] { /* Nothing depends on the paths. */ } });
    unsigned broken = 0;
    for (unsigned number = 0; number < attempts; ++number) {
        AttemptSpec spec;
        spec.instance = "i";
        spec.address = endless.address();
        spec.requestId = "r" + std::to_string(number);
        spec.requestBytes = makeRequest(spec.requestId);
        connections.start(std::move(spec), [&broken](const AttemptResult& result) { broken += result.outcome == grants::AttemptOutcome::ConnectionBroken ? 1 : 0; });
    }
    std::uint64_t mostHeld = 0;
    CHECK(testBed.runUntil([&] {
        mostHeld = std::max(mostHeld, connections.heldResponseBytes());
        return broken == attempts;
    }));
    // One block more has been read when the bound is noticed.
    CHECK_COMPARE(mostHeld, <=, TargetConnections::maxHeldResponseBytes + (16U << 10U));
    CHECK_COMPARE(mostHeld, >, TargetConnections::maxHeldResponseBytes / 2);
    CHECK_EQUAL(0, connections.heldResponseBytes());
}

// Guards against header fields that are few bytes each, but take more memory than they count.
TEST(EndlessResponses, OfManyHeaderFieldsHoldBoundedMemory)
{
    constexpr unsigned attempts = 100;
    std::string fields;
    while (fields.size() < 60'000)
        fields += "a:\r\n";
    ScriptedTarget& stalled = testBed.addTarget([&fields](const HttpMessage& received) { return responseStart(received, fields); });
    TargetPaths paths;
    TargetConnections connections(testBed.io, testHeaders(), paths, { [](std::span<const std::string>) { return std::nullopt; }, [] { /* Nothing depends on the paths. */ } });
    unsigned broken = 0;
    for (unsigned number = 0; number < attempts; ++number) {
        AttemptSpec spec;
        spec.instance = "i";
        spec.address = stalled.address();
        spec.requestId = "r" + std::to_string(number);
        spec.requestBytes = makeRequest(spec.requestId);
        connections.start(std::move(spec), [&broken](const AttemptResult& result) { broken += result.reason == "responses-too-large" ? 1 : 0; });
    }
    CHECK(testBed.runUntil([&] { return stalled.requests.size() == attempts; }));
    testBed.runFor(milliseconds(300));
    const std::uint64_t bytesEach = fields.size() / 4 * sizeof(Header);
    CHECK_COMPARE((attempts - broken) * bytesEach, <=, TargetConnections::maxHeldResponseBytes);
}

// Guards against a bound on memory that counts only a part of it.
TEST(EndlessResponses, CountTheMemoryThatIsAllocatedForThem)
{
    MessageReader reader(MessageReader::Kind::Responses, {});
    CHECK_EQUAL(0U, reader.heldBytes());
    std::string fields;
    while (fields.size() < 60'000)
        fields += "a:\r\n";
    reader.parse("HTTP/1.1 200 OK\r\n" + fields + "\r\n");
    CHECK_COMPARE(reader.heldBytes(), >=, reader.message().headers.capacity() * sizeof(Header));
    const std::string block(16U << 10U, 'a');
    for (unsigned count = 0; count < 300; ++count) {
        reader.parse(block);
        CHECK_COMPARE(reader.heldBytes(), >=, reader.message().headers.capacity() * sizeof(Header) + reader.message().body.capacity());
    }
    CHECK(reader.state() == ReadState::Incomplete);
}

// Guards against the same where a target is reached through another daemon, whose memory counts as well.
TEST(EndlessResponses, ThroughAnotherDaemonAreCutOff)
{
    ScriptedTarget& endless = testBed.addTarget([](const HttpMessage& received) { return responseStart(received, "\r\n"); });
    endless.endlessBytes = blockOf("a");
    testBed.start(2, false, seconds(20));
    std::vector<TargetEntry> unreachable = testBed.entries;
    unreachable.front().target.address = freeAddress();
    testBed.proxies.front()->applyTargetChanges(unreachable, {});
    auto caller = testBed.connectCaller();
    caller->send(makeRequest("r1", "POST", "x", "20000"));
    CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
    CHECK_EQUAL(502, caller->responses.front().status);
    CHECK(testBed.runUntil([&] { return endless.endlessResponsesClosed > 0; }));
    CHECK_COMPARE(endless.endlessBytesSent, <, mostBytesRead);
    CHECK_COMPARE(testBed.proxies.back()->renderMetrics().find("flamingowick_tunnels_open 0"), !=, std::string::npos);
}

// Whether a target lives is found out on a connection of its own, without a request.
TEST(EndlessResponses, ToALivenessCheckAreCutOff)
{
    const std::string address = freeAddress();
    asio::ip::tcp::acceptor acceptor(testBed.io, parseTcpEndpoint(address));
    asio::ip::tcp::socket socket(testBed.io);
    const std::string block = blockOf("no answer");
    std::uint64_t sent = 0;
    bool closed = false;
    const std::function<void()> writeWithoutEnd = [&] {
        asio::async_write(socket, asio::buffer(block), [&](const asio::error_code& error, std::size_t size) {
            sent += size;
            closed = static_cast<bool>(error);
            if (!closed)
                writeWithoutEnd();
        });
    };
    acceptor.async_accept(socket, [&](const asio::error_code&) { writeWithoutEnd(); });
    TargetPaths paths;
    TargetConnections connections(testBed.io, testHeaders(), paths, { [](std::span<const std::string>) { return std::nullopt; }, [] { /* Nothing depends on the paths. */ } });
    std::optional<bool> alive;
    connections.checkAlive("i", address, [&alive](bool result) { alive = result; });
    CHECK(testBed.runUntil([&] { return alive.has_value() && closed; }));
    CHECK(*alive);
    CHECK_COMPARE(sent, <, mostBytesRead);
}

// The store and relays are read by another client.
TEST(EndlessResponses, OfTheStoreAreCutOff)
{
    ScriptedTarget& endless = testBed.addTarget([](const HttpMessage& received) { return responseStart(received, "\r\n"); });
    endless.endlessBytes = blockOf("a");
    HttpClient client(testBed.io, endless.address());
    std::string reason;
    client.call({ "GET", "/", "", seconds(20) }, [&reason](const HttpResponse& response) { reason = response.reason; });
    CHECK(testBed.runUntil([&] { return endless.endlessResponsesClosed > 0; }));
    CHECK_EQUAL(std::string("response malformed or too large"), reason);
    CHECK_COMPARE(endless.endlessBytesSent, <, mostBytesRead);
}

TEST(EndlessResponses, OfTheStoreEndWithTheTimeOfTheCall)
{
    ScriptedTarget& silent = testBed.addTarget([](const HttpMessage& received) { return responseStart(received, "X-More: "); });
    HttpClient client(testBed.io, silent.address());
    std::string reason;
    client.call({ "GET", "/", "", milliseconds(200) }, [&reason](const HttpResponse& response) { reason = response.reason; });
    CHECK(testBed.runUntil([&] { return !reason.empty(); }));
    CHECK_EQUAL(std::string("timeout"), reason);
}
