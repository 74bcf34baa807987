#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// Requests that callers begin and don't complete.

TEST_GROUP(IncompleteRequests)
{
    static constexpr std::size_t bodyBytes = 40'000;

    asio::io_context io { 1 };
    std::string address { freeAddress() };
    std::vector<std::shared_ptr<CallerExchange>> received;
    CallerServer server { io, address, 400, CallerServerHandlers { [] { return CallerLimits { 16'384, 64U << 20U }; }, [this](const std::shared_ptr<CallerExchange>& request) { this->received.push_back(request); } } };
    std::vector<std::unique_ptr<RawCaller>> callers;
    MemoryLimits limits;

    void setup() override
    {
        limits.maxBytes = 400'000;
        limits.maxReceivingBytes = 200'000;
        limits.slowAfter = milliseconds(100);
        limits.minBytesPerSecond = 1'000'000;
        server.boundMemory(limits, {});
    }

    static std::string headerOf(std::size_t bytes) { return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"; }

    bool runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = Clock::now() + seconds(10);
        while (!condition() && Clock::now() < end)
            io.run_one_for(milliseconds(20));
        return condition();
    }

    void runFor(Duration duration)
    {
        const TimePoint end = Clock::now() + duration;
        while (Clock::now() < end)
            io.run_one_for(milliseconds(5));
    }

    RawCaller& send(std::string_view bytes)
    {
        callers.push_back(std::make_unique<RawCaller>(io, address));
        callers.back()->send(bytes);
        runFor(milliseconds(5));
        return *callers.back();
    }

    RawCaller& sendIncomplete() { return send(headerOf(bodyBytes) + std::string(bodyBytes - 1, 'b')); }

    std::size_t refusedCount() const
    {
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return !caller->responses.empty() && caller->responses.front().status == 503; }));
    }
};

// Guards against daemons that end for their memory: bodies of up to 64 KiB were bounded only once they were whole.
TEST(IncompleteRequests, AreRefusedBeyondTheirRoom)
{
    for (int count = 0; count < 12; ++count)
        sendIncomplete();
    CHECK(runUntil([this] { return refusedCount() >= 7; }));
    CHECK_COMPARE(server.receivingBytes(), <=, limits.maxReceivingBytes);
    RawCaller& ordinary = send(headerOf(1) + "b");
    CHECK(runUntil([this] { return received.size() == 1; }));
    CHECK_EQUAL(0U, ordinary.responses.size());
}

TEST(IncompleteRequests, OfSlowSendersMakeRoomForOthers)
{
    for (int count = 0; count < 3; ++count)
        sendIncomplete();
    CHECK_EQUAL(0U, refusedCount());
    runFor(2 * limits.slowAfter);
    RawCaller& other = sendIncomplete();
    RawCaller& another = sendIncomplete();
    CHECK(runUntil([this] { return !callers.front()->responses.empty(); }));
    CHECK_EQUAL(503, callers.front()->responses.front().status);
    CHECK_COMPARE(server.sendersCutOff(), >, 0U);
    other.send("b");
    another.send("b");
    CHECK(runUntil([this] { return received.size() == 2; }));
}

TEST(IncompleteRequests, AreLeftAloneWhileThereIsRoom)
{
    RawCaller& slow = sendIncomplete();
    runFor(3 * limits.slowAfter);
    slow.send("b");
    CHECK(runUntil([this] { return received.size() == 1; }));
    CHECK_EQUAL(bodyBytes, received.front()->request().body.size());
}

// Guards against one stalled upload that keeps all other large ones from a daemon.
TEST(IncompleteRequests, WithALargeBodyMakeRoomForOthers)
{
    RawCaller& stalled = send(headerOf(60'000'000) + "b");
    CHECK_EQUAL(60'000'000, server.largeBodyBytes());
    RawCaller& tooEarly = send(headerOf(50'000'000));
    CHECK(runUntil([&tooEarly] { return !tooEarly.responses.empty(); }));
    runFor(2 * limits.slowAfter);
    send(headerOf(50'000'000));
    CHECK(runUntil([&stalled] { return !stalled.responses.empty(); }));
    CHECK_EQUAL(503, stalled.responses.front().status);
    CHECK_EQUAL(50'000'000, server.largeBodyBytes());
}

// Guards against slow uploads that are refused though there is room without them.
TEST(IncompleteRequests, WithLargeBodiesMakeRoomOnlyAsFarAsOthersNeedIt)
{
    RawCaller& first = send(headerOf(20'000'000) + "b");
    RawCaller& second = send(headerOf(20'000'000) + "b");
    runFor(2 * limits.slowAfter);
    send(headerOf(25'000'000));
    CHECK(runUntil([&first] { return !first.responses.empty(); }));
    runFor(milliseconds(20));
    CHECK_EQUAL(0U, second.responses.size());
    CHECK_EQUAL(45'000'000, server.largeBodyBytes());
}

// Guards against input that is held without end while the requests before it wait for their targets.
TEST(IncompleteRequests, BehindRunningOnesAreDroppedForOthers)
{
    for (int count = 0; count < 8; ++count)
        send(headerOf(1) + "b" + headerOf(bodyBytes) + std::string(bodyBytes - 1, 'b'));
    CHECK_EQUAL(8U, received.size());
    CHECK_COMPARE(server.receivingBytes(), <=, limits.maxReceivingBytes);
    for (const auto& request : std::vector(received)) {
        HttpMessage response;
        response.status = 200;
        request->respond(std::move(response));
    }
    CHECK(runUntil([this] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return !caller->responses.empty(); }); }));
    for (const auto& caller : callers)
        CHECK_EQUAL(200, caller->responses.front().status);
    CHECK_EQUAL(8U, received.size());
    CHECK(std::any_of(callers.begin(), callers.end(), [](const auto& caller) { return headerValue(caller->responses.front(), "Connection") == "close"; }));
}

TEST(IncompleteRequests, OfUnknownLengthAreAllocatedOnce)
{
    RawCaller& caller = send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string block(10'000, 'b');
    for (int count = 0; count < 100; ++count) {
        caller.send("2710\r\n" + block + "\r\n");
        io.poll();
    }
    CHECK(runUntil([this] { return server.largeBodyBytes() == 1'000'000; }));
    caller.send("0\r\n\r\n");
    CHECK(runUntil([this] { return received.size() == 1; }));
    CHECK_EQUAL(1'000'000U, received.front()->request().body.size());
    CHECK_EQUAL(64U << 20U, received.front()->request().body.capacity());
}
