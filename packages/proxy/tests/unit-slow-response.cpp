#include "ProxyTestBed.h"

#include "flamingowick/proxy/HttpClient.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

namespace {

// A server that sends a response of some bytes one by one, at an interval, and then stops.
struct SlowServer {
    SlowServer(asio::io_context& io, unsigned bytesSent, Duration sendInterval)
        : acceptor(listenOn(io, address))
        , socket(io)
        , timer(io)
        , unsent(bytesSent)
        , interval(sendInterval)
    {
        acceptor.async_accept(socket, [this](const asio::error_code& error) {
            if (!error)
                sendHeader();
        });
    }

    void sendHeader()
    {
        asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n")));
        sendByte();
    }

    void sendByte()
    {
        timer.expires_after(interval);
        timer.async_wait([this](const asio::error_code& error) {
            asio::error_code ignored;
            if (error || unsent == 0)
                return;
            --unsent;
            asio::write(socket, asio::buffer(std::string_view("x")), ignored);
            sendByte();
        });
    }

    std::string address { freeAddress() };
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    Timer timer;
    unsigned unsent;
    Duration interval;
};

}

TEST_GROUP(SlowResponse)
{
    ProxyTestBed testBed;

    HttpResponse callTo(const SlowServer& server)
    {
        HttpClient client(testBed.io, server.address);
        HttpCall call;
        call.timeout = milliseconds(100);
        call.extension = milliseconds(150);
        std::optional<HttpResponse> received;
        client.call(call, [&](HttpResponse response) { received = std::move(response); });
        CHECK(testBed.runUntil([&] { return received.has_value(); }));
        return *received;
    }
};

// Guards against a follower that throws a large state away while it arrives over a narrow link, and asks for it again.
TEST(SlowResponse, IsAwaitedWhileItArrives)
{
    SlowServer server(testBed.io, 12, milliseconds(30));
    LONGS_EQUAL(200, callTo(server).status);
}

TEST(SlowResponse, FailsOnceNoMoreOfItArrives)
{
    SlowServer server(testBed.io, 8, milliseconds(30));
    const HttpResponse response = callTo(server);
    LONGS_EQUAL(0, response.status);
    STRCMP_EQUAL("timeout", response.reason.c_str());
    CHECK_COMPARE(response.bytesBeforeFailure, >, 8U);
}
