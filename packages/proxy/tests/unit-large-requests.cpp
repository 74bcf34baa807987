#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// Requests with large bodies, many of which don't fit into a VM's memory at the same time.

TEST_GROUP(LargeRequests)
{
    static constexpr std::size_t largeBytes = 60'000'000;

    asio::io_context io { 1 };
    std::string address { freeAddress() };
    // Requests that were received whole, until they are answered.
    std::vector<std::shared_ptr<CallerExchange>> received;
    CallerServer server { io, address, 400, CallerServerHandlers { [] { return CallerLimits { 16'384, 64U << 20U }; }, [this](const std::shared_ptr<CallerExchange>& request) { this->received.push_back(request); } } };
    std::vector<std::unique_ptr<RawCaller>> callers;

    void setup() override { server.boundMemory({}, {}); }

    static std::string headerOf(std::size_t bodyBytes) { return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"; }

    bool runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = Clock::now() + seconds(10);
        while (!condition() && Clock::now() < end)
            io.run_one_for(milliseconds(20));
        return condition();
    }

    RawCaller& send(std::string_view bytes)
    {
        callers.push_back(std::make_unique<RawCaller>(io, address));
        callers.back()->send(bytes);
        return *callers.back();
    }

    // Sends a body while the server reads it.
    void sendBody(RawCaller & caller, std::size_t bytes)
    {
        const std::string block(50'000, 'b');
        for (std::size_t sent = 0; sent < bytes; sent += block.size()) {
            caller.send(std::string_view(block).substr(0, std::min(block.size(), bytes - sent)));
            io.poll();
        }
    }

    void answerAll()
    {
        for (const auto& request : received) {
            HttpMessage response;
            response.status = 200;
            request->respond(std::move(response));
        }
        received.clear();
    }
};

// Guards against a daemon that ends for its memory: it reads as many large bodies at once as callers send.
TEST(LargeRequests, AreReadOneAfterTheOther)
{
    RawCaller& first = send(headerOf(largeBytes));
    CHECK(runUntil([this] { return server.largeBodyBytes() == largeBytes; }));
    for (int count = 0; count < 5; ++count) {
        RawCaller& other = send(headerOf(largeBytes));
        CHECK(runUntil([&other] { return !other.responses.empty(); }));
        CHECK_EQUAL(503, other.responses.front().status);
        CHECK_FALSE(headerValue(other.responses.front(), "Retry-After").empty());
        CHECK_EQUAL(std::string("close"), std::string(headerValue(other.responses.front(), "Connection")));
    }
    sendBody(first, largeBytes);
    CHECK(runUntil([this] { return received.size() == 1; }));
    CHECK_EQUAL(largeBytes, received.front()->request().body.size());
    CHECK_EQUAL(largeBytes, received.front()->request().body.capacity());
    answerAll();
    CHECK(runUntil([&first] { return !first.responses.empty(); }));
    CHECK_EQUAL(200, first.responses.front().status);
    CHECK_EQUAL(0, server.largeBodyBytes());
    send(headerOf(largeBytes));
    CHECK(runUntil([this] { return server.largeBodyBytes() == largeBytes; }));
}

// Guards against small requests that are refused, or a large one that is refused once it is read, because of a large body.
TEST(LargeRequests, LeaveRoomForSmallOnes)
{
    RawCaller& large = send(headerOf(largeBytes));
    sendBody(large, largeBytes);
    CHECK(runUntil([this] { return received.size() == 1; }));
    RawCaller& small = send(headerOf(1) + "b");
    CHECK(runUntil([this] { return received.size() == 2; }));
    CHECK_COMPARE(server.heldBytes(), <, 100'000U);
    answerAll();
    CHECK(runUntil([&] { return !small.responses.empty() && !large.responses.empty(); }));
    CHECK_EQUAL(200, small.responses.front().status);
    CHECK_EQUAL(200, large.responses.front().status);
}

// Guards against connections that keep the large buffers of the kernel, which no budget counts.
TEST(LargeRequests, AreTheLastOnesOfTheirConnections)
{
    for (const std::size_t bytes : { std::size_t { 64 } << 10U, std::size_t { 100'000 } }) {
        RawCaller& caller = send(headerOf(bytes));
        sendBody(caller, bytes);
        CHECK(runUntil([this] { return received.size() == 1; }));
        answerAll();
        CHECK(runUntil([&caller] { return !caller.responses.empty(); }));
        CHECK_EQUAL(bytes > 64U << 10U ? std::string("close") : std::string(), std::string(headerValue(caller.responses.front(), "Connection")));
    }
}

TEST(LargeRequests, AreReadTogetherAsFarAsTheyFit)
{
    for (int count = 0; count < 3; ++count)
        send(headerOf(15'000'000));
    CHECK(runUntil([this] { return server.largeBodyBytes() == 45'000'000; }));
    RawCaller& fourth = send(headerOf(15'000'000));
    CHECK(runUntil([&fourth] { return !fourth.responses.empty(); }));
    CHECK_EQUAL(503, fourth.responses.front().status);
    callers.clear();
    CHECK(runUntil([this] { return server.largeBodyBytes() == 0; }));
}

TEST(LargeRequests, AreBoundedWithoutALength)
{
    send(headerOf(largeBytes));
    CHECK(runUntil([this] { return server.largeBodyBytes() == largeBytes; }));
    RawCaller& chunked = send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string block(10'000, 'b');
    for (int count = 0; count < 300 && chunked.responses.empty() && !chunked.ended; ++count) {
        chunked.send("2710\r\n" + block + "\r\n");
        io.poll();
    }
    CHECK(runUntil([&chunked] { return !chunked.responses.empty(); }));
    CHECK_EQUAL(503, chunked.responses.front().status);
    CHECK_EQUAL(largeBytes, server.largeBodyBytes());
}
