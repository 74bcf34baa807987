#include "flamingowick/proxy/SlowCallers.h"

#include <rapidcheck.h>

#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

TEST_GROUP(SlowReaders)
{
    static constexpr std::size_t responseBytes = 500'000;
    asio::io_context io { 1 };
    std::string address { freeAddress() };
    std::uint64_t heldElsewhere { 0 };
    std::uint64_t mostHeld { 0 };
    CallerServer server { io, address, 400, CallerServerHandlers { [] { return CallerLimits {}; }, [this](const std::shared_ptr<CallerExchange>& request) {
                                                                      HttpMessage response;
                                                                      response.status = 200;
                                                                      response.body.assign(responseBytes, 'x');
                                                                      request->respond(std::move(response));
                                                                      this->mostHeld = std::max(this->mostHeld, this->server.heldBytes()); } } };
    std::vector<asio::ip::tcp::socket> sockets;

    // Callers that request a response and don't read it.
    void addSlowReaders(std::size_t count)
    {
        constexpr int receiveBufferBytes = 4096;
        for (std::size_t index = 0; index < count; ++index) {
            asio::ip::tcp::socket& socket = this->sockets.emplace_back(this->io);
            socket.open(asio::ip::tcp::v4());
            socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
            socket.connect(parseTcpEndpoint(this->address));
            asio::write(socket, asio::buffer(request));
            this->runFor(milliseconds(1));
        }
    }

    void runFor(Duration time)
    {
        const TimePoint end = Clock::now() + time;
        do
            this->io.run_one_for(milliseconds(1));
        while (Clock::now() < end);
    }

    unsigned statusForFastCaller()
    {
        RawCaller caller(this->io, this->address);
        caller.send(request);
        const TimePoint end = Clock::now() + seconds(2);
        while (caller.responses.empty() && Clock::now() < end)
            this->runFor(milliseconds(5));
        return caller.responses.empty() ? 0 : caller.responses.front().status;
    }

    static constexpr std::string_view request { "GET / HTTP/1.1\r\nHost: x\r\n\r\n" };
};

TEST(SlowReaders, AreCutOffLongestFirstAndOnlyAsManyAsNeeded)
{
    const bool passed = rc::check([] {
        const TimePoint now { seconds(1000) };
        const MemoryLimits limits;
        std::vector<HoldingCaller> readers;
        const auto count = *rc::gen::inRange<std::size_t>(0, 40);
        for (std::size_t index = 0; index < count; ++index)
            readers.push_back({ *rc::gen::inRange<std::uint64_t>(1, 1000), now - milliseconds(*rc::gen::inRange(0, 6000)) });
        const auto excess = *rc::gen::inRange<std::uint64_t>(0, 20'000);
        const std::vector<std::size_t> chosen = chooseCallersToCut(readers, excess, limits, now);
        std::vector<bool> isCut(readers.size());
        std::uint64_t freed = 0;
        for (const std::size_t index : chosen) {
            RC_ASSERT(freed < excess && !isCut[index]);
            RC_ASSERT(now - readers[index].since >= limits.slowAfter);
            isCut[index] = true;
            freed += readers[index].heldBytes;
        }
        for (std::size_t kept = 0; kept < readers.size(); ++kept) {
            if (isCut[kept])
                continue;
            // Another would have been cut off if that were not enough.
            RC_ASSERT(freed >= excess || now - readers[kept].since < limits.slowAfter);
            RC_ASSERT(std::all_of(chosen.begin(), chosen.end(), [&](std::size_t index) { return readers[index].since <= readers[kept].since; }));
        }
    });
    CHECK(passed);
}

TEST(SlowReaders, OfWhichThereAreThreeHundredWithHalfAMegabyteEachDontExceedTheBudget)
{
    const MemoryLimits limits;
    server.boundMemory(limits, [this] { return heldElsewhere; });
    addSlowReaders(300);
    CHECK(mostHeld > limits.maxBytes / 2);
    CHECK(mostHeld <= limits.maxBytes + 2 * responseBytes);
    CHECK(server.requestsRefusedForMemory() > 0);
    runFor(limits.slowAfter);
    // The first is refused, and makes room for itself when it comes again.
    statusForFastCaller();
    for (int count = 0; count < 20; ++count)
        CHECK_EQUAL(200, statusForFastCaller());
    CHECK(server.readersCutOff() > 0);
    CHECK(mostHeld <= limits.maxBytes + 2 * responseBytes);
}

TEST(SlowReaders, AreNotCutOffWithinTheBudget)
{
    server.boundMemory({}, [this] { return heldElsewhere; });
    addSlowReaders(20);
    runFor(MemoryLimits {}.slowAfter);
    CHECK_EQUAL(200, statusForFastCaller());
    CHECK_EQUAL(0, server.readersCutOff());
    // What is held for targets counts too.
    heldElsewhere = MemoryLimits {}.maxBytes;
    CHECK_EQUAL(503, statusForFastCaller());
    CHECK(server.readersCutOff() > 0);
}

TEST(SlowReaders, LeaveNothingHeldWhenTheyHaveGone)
{
    server.boundMemory({}, {});
    addSlowReaders(20);
    CHECK(server.heldBytes() >= 10 * responseBytes);
    sockets.clear();
    runFor(milliseconds(200));
    CHECK_EQUAL(200, statusForFastCaller());
    runFor(milliseconds(50));
    CHECK_EQUAL(0, server.heldBytes());
}

TEST_GROUP(SendingRates)
{
    MemoryLimits limits;
    TimePoint start { seconds(100) };
    SendingRate rate { start };
};

TEST(SendingRates, AreJudgedOverAnInterval)
{
    CHECK_FALSE(isSlow(rate, limits, start + milliseconds(1999)));
    CHECK(isSlow(rate, limits, start + seconds(2)));
    recordReceived(rate, 33'000, limits, start + seconds(1));
    CHECK_FALSE(isSlow(rate, limits, start + seconds(2)));
    CHECK(isSlow(rate, limits, start + seconds(3)));
}

TEST(SendingRates, OfCallersThatSendSingleBytesAreSlow)
{
    for (int second = 1; second <= 10; ++second) {
        recordReceived(rate, 1, limits, start + seconds(second));
        CHECK_EQUAL(second >= 2, isSlow(rate, limits, start + seconds(second)));
    }
    for (int second = 11; second <= 15; ++second)
        recordReceived(rate, 100'000, limits, start + seconds(second));
    CHECK_FALSE(isSlow(rate, limits, start + seconds(15)));
}

// The smallest VM takes a body of the largest size that the users' platform allows.
TEST(SendingRates, LimitsFollowTheMemoryOfTheVm)
{
    const MemoryLimits small = memoryLimitsFor(160'000'000);
    CHECK_COMPARE(small.maxSingleBodyBytes, >=, 67'108'864U);
    CHECK_COMPARE(small.maxBytes + small.maxSingleBodyBytes, <, 160'000'000U * 3 / 4);
    CHECK_EQUAL(MemoryLimits {}.maxBytes, memoryLimitsFor(512'000'000).maxBytes);
}
