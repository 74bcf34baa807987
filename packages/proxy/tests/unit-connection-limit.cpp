#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// A server of callers that has as many connections as it may.

TEST_GROUP(ConnectionLimit)
{
    static constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    asio::io_context io { 1 };
    std::string address { freeAddress() };
    std::vector<std::shared_ptr<CallerExchange>> received;
    CallerServer server { io, address, 2, CallerServerHandlers { [] { return CallerLimits {}; }, [this](const std::shared_ptr<CallerExchange>& exchange) { this->received.push_back(exchange); } } };
    RawCaller first { io, address };
    RawCaller second { io, address };

    void setup() override { settle(); }

    void settle()
    {
        const TimePoint end = Clock::now() + milliseconds(30);
        while (Clock::now() < end)
            io.run_one_for(milliseconds(5));
    }

    void serve(RawCaller & caller)
    {
        caller.send(request);
        settle();
        HttpMessage response;
        response.status = 200;
        received.back()->respond(std::move(response));
        settle();
        CHECK_EQUAL(200, caller.responses.back().status);
    }
};

// Guards against ordinary callers that find a daemon closed to them while others hold connections without using them.
TEST(ConnectionLimit, NewConnectionsReplaceTheOneThatIsUnusedForLongest)
{
    RawCaller third { io, address };
    settle();
    serve(third);
    CHECK(first.ended);
    CHECK_FALSE(second.ended);
    CHECK_EQUAL(1U, server.connectionsReplaced());
}

TEST(ConnectionLimit, ConnectionsKeptForFurtherRequestsAreReplacedAfterUnusedOnes)
{
    serve(first);
    RawCaller third { io, address };
    settle();
    CHECK_FALSE(first.ended);
    CHECK(second.ended);
    serve(third);
    serve(first);
}

TEST(ConnectionLimit, ConnectionsThatServeRequestsAreNotReplaced)
{
    first.send(request);
    second.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nb");
    settle();
    RawCaller third { io, address };
    settle();
    CHECK_FALSE(first.ended);
    CHECK_FALSE(second.ended);
    CHECK(third.ended);
    second.send("b");
    settle();
    CHECK_EQUAL(2U, received.size());
}
