#include "flamingowick/gateway/HttpServer.h"
#include "flamingowick/gateway/TargetClient.h"
#include "flamingowick/model/BoundedRing.h"

#include <asio.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <span>
#include <thread>

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::gateway;

namespace {

// A server on a free loopback port that answers each request with its own body.
struct EchoServer {
    std::unique_ptr<HttpServer> server;
    std::atomic<unsigned> requests { 0 };
    std::promise<ExchangeToken> hangUp;
    bool silent { false };

    EchoServer()
    {
        HttpServerSettings settings;
        settings.address = "127.0.0.1:0";
        settings.maxBodyBytes = 1000;
        settings.readTimeout = std::chrono::milliseconds(500);
        HttpServerHandlers handlers;
        handlers.onRequest = [this](HttpRequest request) { this->answer(std::move(request)); };
        handlers.onHangUp = [this](ExchangeToken token) { this->hangUp.set_value(token); };
        this->server = std::make_unique<HttpServer>(settings, handlers);
    }

    void answer(HttpRequest request)
    {
        ++this->requests;
        const std::string* folded = findHeader(request.headers, "X-Folded");
        if (folded != nullptr)
            request.body = *folded;
        if (!this->silent)
            this->server->respond(request.token, { 200, { { "X-Echo", "yes" } }, request.method + " " + request.target + " " + request.body, false, {}, {} });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->server->port()); }
};

// Sends bytes as they are and returns all that comes back until the other side closes.
std::string exchangeRaw(std::uint16_t port, std::string_view bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
    std::string received;
    asio::error_code error;
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received;
}

// Listens on a free port and plays one scripted reply a connection, then closes it.
struct ScriptedTarget {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor { context, { asio::ip::make_address("127.0.0.1"), 0 } };
    std::atomic<unsigned> requests { 0 };
    std::thread thread;

    explicit ScriptedTarget(std::vector<std::string> replies)
    {
        this->thread = std::thread([this, replies = std::move(replies)] { this->run(replies); });
    }

    ~ScriptedTarget() { this->thread.join(); }

    void run(std::span<const std::string> replies)
    {
        asio::ip::tcp::socket socket = this->acceptor.accept();
        for (const std::string& reply : replies) {
            std::string request;
            asio::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            if (error)
                return;
            ++this->requests;
            if (reply.empty())
                return;
            asio::write(socket, asio::buffer(reply));
        }
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }
};

// Runs attempts one at a time.
struct SingleAttempts {
    std::promise<AttemptResult>* waiting { nullptr };
    TargetClient client { 16, [this](AttemptResult result) { this->waiting->set_value(std::move(result)); } };
    std::uint64_t next { 1 };

    AttemptResult run(const std::string& target, const std::string& method, const std::string& body)
    {
        std::promise<AttemptResult> promise;
        this->waiting = &promise;
        AttemptRequest request;
        request.attempt = this->next++;
        request.target = target;
        request.method = method;
        request.path = "/a?b=c";
        request.body = body;
        request.timeout = std::chrono::seconds(10);
        request.connectTimeout = std::chrono::seconds(2);
        request.maxAnswerBytes = 4096;
        CHECK(this->client.start(request));
        return promise.get_future().get();
    }
};

}

TEST_GROUP(HttpServer) {};

TEST(HttpServer, AnswersEachRequestWithItsOwnResponse)
{
    EchoServer echo;
    SingleAttempts attempts;
    for (int round = 0; round < 20; ++round) {
        std::string body = "body" + std::to_string(round);
        AttemptResult result = attempts.run(echo.address(), "POST", body);
        CHECK(result.end == AttemptEnd::Answered);
        STRCMP_EQUAL(("POST /a?b=c " + body).c_str(), result.body.c_str());
    }
}

TEST(HttpServer, RefusesABodyOverItsLimitWith413)
{
    EchoServer echo;
    SingleAttempts attempts;
    AttemptResult result = attempts.run(echo.address(), "POST", std::string(1500, 'x'));
    CHECK_EQUAL(413U, result.status);
    CHECK_EQUAL(0U, echo.requests.load());
}

TEST(HttpServer, LetsNoMalformedRequestThrough)
{
    EchoServer echo;
    std::vector<std::string> requests {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(20000, 'x') + "\r\n\r\n",
        "GET /" + std::string(20000, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n",
        "nonsense\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nBad Header Name: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\rX-Bare: 1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nab",
    };
    for (const std::string& request : requests)
        exchangeRaw(echo.server->port(), request);
    CHECK_EQUAL(0U, echo.requests.load());
}

TEST(HttpServer, ReplacesTheLineBreakOfAFoldedHeaderBySpaces)
{
    EchoServer echo;
    std::string answer = exchangeRaw(echo.server->port(), "GET / HTTP/1.1\r\nHost: a\r\nX-Folded: 1\r\n  2\r\nConnection: close\r\n\r\n");
    CHECK(answer.ends_with("GET / 1  2"));
}

TEST(HttpServer, ReportsACallerThatHangsUp)
{
    EchoServer echo;
    echo.silent = true;
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), echo.server->port() });
        std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        asio::write(socket, asio::buffer(request));
        while (echo.requests == 0)
            std::this_thread::yield();
    }
    CHECK_EQUAL(1U, echo.hangUp.get_future().get());
}

// Guards against a daemon that ends for its memory while callers leave their requests incomplete.
TEST(HttpServer, ClosesConnectionsWithIncompleteRequestsBeyondTheirRoom)
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.maxIncompleteBytes = 20'000;
    std::unique_ptr<HttpServer> server;
    server = std::make_unique<HttpServer>(settings, HttpServerHandlers { [&server](const HttpRequest& request) { server->respond(request.token, { 200, {}, "fine", false, {}, {} }); }, [](ExchangeToken) {} });
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> held;
    for (int count = 0; count < 2; ++count) {
        held.emplace_back(context);
        held.back().connect({ asio::ip::make_address("127.0.0.1"), server->port() });
        const std::string part = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + std::string(4000, 'b');
        asio::write(held.back(), asio::buffer(part));
    }
    CHECK_EQUAL(std::string(), exchangeRaw(server->port(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18000\r\n\r\n" + std::string(16000, 'b')));
    CHECK(exchangeRaw(server->port(), "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb").starts_with("HTTP/1.1 200"));
    asio::write(held.front(), asio::buffer(std::string(5000, 'b')));
    std::array<char, 12> status {};
    asio::read(held.front(), asio::buffer(status));
    CHECK_EQUAL(std::string("HTTP/1.1 200"), std::string(status.data(), status.size()));
}

TEST(HttpServer, RefusesBodiesBeyondTheirRoomWhileOthersRun)
{
    HttpServerSettings settings;
    settings.address = "127.0.0.1:0";
    settings.maxOutstandingBodyBytes = 1000;
    std::promise<ExchangeToken> first;
    HttpServer server(settings, { [&first](const HttpRequest& request) { first.set_value(request.token); }, [](ExchangeToken) {} });
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
    const std::string request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 600\r\n\r\n" + std::string(600, 'b');
    asio::write(caller, asio::buffer(request));
    const ExchangeToken token = first.get_future().get();
    const std::string refused = exchangeRaw(server.port(), request);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: 1") != std::string::npos);
    server.respond(token, { 200, {}, "fine", true, {}, {} });
    std::string answer;
    asio::error_code ignored;
    asio::read(caller, asio::dynamic_buffer(answer), ignored);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

TEST_GROUP(TargetClient) {};

TEST(TargetClient, SaysNotSentOnlyWhenNoConnectionWasMade)
{
    SingleAttempts attempts;
    AttemptResult result = attempts.run("127.0.0.1:1", "POST", "pay");
    CHECK(result.end == AttemptEnd::NotSent);
}

TEST(TargetClient, NeverResendsOnAKeptConnectionThatCloses)
{
    ScriptedTarget target({ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "" });
    SingleAttempts attempts;
    CHECK(attempts.run(target.address(), "GET", "").end == AttemptEnd::Answered);
    AttemptResult second = attempts.run(target.address(), "POST", "pay");
    CHECK(second.end == AttemptEnd::ConnectionLost);
}

TEST(TargetClient, TellsATruncatedAnswerFromAWholeOne)
{
    SingleAttempts attempts;
    {
        ScriptedTarget target({ "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort" });
        CHECK(attempts.run(target.address(), "GET", "").end == AttemptEnd::BadAnswer);
    }
    {
        ScriptedTarget target({ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n" });
        CHECK(attempts.run(target.address(), "GET", "").end == AttemptEnd::BadAnswer);
    }
    {
        ScriptedTarget target({ "HTTP/1.1 200 OK\r\n\r\nno length" });
        CHECK(attempts.run(target.address(), "GET", "").end == AttemptEnd::BadAnswer);
    }
}

// Guards against an answer that looks whole though its target stopped in the middle of the header and closed the connection.
TEST(TargetClient, TakesNoAnswerWhoseHeaderIsCutForAWholeOne)
{
    SingleAttempts attempts;
    for (const std::string& whole : { std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Proof: s\r\n\r\n"), std::string("HTTP/1.1 204 No Content\r\nX-Proof: s\r\n\r\n") }) {
        for (std::size_t size = 1; size < whole.size(); ++size) {
            ScriptedTarget target({ whole.substr(0, size) });
            CHECK(attempts.run(target.address(), "GET", "").end != AttemptEnd::Answered);
        }
        ScriptedTarget target({ whole });
        CHECK(attempts.run(target.address(), "GET", "").end == AttemptEnd::Answered);
    }
}

// Guards against an answer with a status that the protocol doesn't have.
TEST(TargetClient, TakesNoAnswerWithAStatusThatIsNone)
{
    SingleAttempts attempts;
    for (const std::string status : { "000", "099", "600", "999", "0200", "20" }) {
        ScriptedTarget target({ "HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nfine" });
        const AttemptResult result = attempts.run(target.address(), "GET", "");
        CHECK_TEXT(result.end == AttemptEnd::BadAnswer || result.end == AttemptEnd::ConnectionLost, status.c_str());
    }
}

// Guards against an answer that is passed on with a line that its readers understand differently, or with a body that such a line frames.
TEST(TargetClient, TakesNoAnswerWithABlankOrAControlByteInTheNameOfAField)
{
    SingleAttempts attempts;
    for (const std::string line : { "X Note: a", "X-Note : a", " X-Note: a", "\tX-Note: a", "X\x01Note: a", "X-Note\x7f: a", "Content-Length : 2", " Content-Length: 2", ": a", "note", "X-Note: a\x01" }) {
        ScriptedTarget target({ "HTTP/1.1 200 OK\r\nX-Other: b\r\n" + line + "\r\nContent-Length: 4\r\n\r\nfine" });
        CHECK(attempts.run(target.address(), "GET", "").end == AttemptEnd::BadAnswer);
    }
}

TEST(TargetClient, EndsAnAnswerOverTheLimit)
{
    SingleAttempts attempts;
    ScriptedTarget target({ "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x') });
    CHECK(attempts.run(target.address(), "GET", "").end == AttemptEnd::BadAnswer);
}

// Guards against a target that fills the memory with header fields, before or behind the body: each answer ends properly.
TEST(TargetClient, EndsAnAnswerWithTooManyHeaderFields)
{
    SingleAttempts attempts;
    std::string fields;
    while (fields.size() < 200'000)
        fields += "X-More: a\r\n";
    std::string interim;
    while (interim.size() < 200'000)
        interim += "HTTP/1.1 102 Processing\r\nX-More: a\r\n\r\n";
    for (const std::string& answer : { "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "\r\n", interim + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" }) {
        ScriptedTarget target({ answer });
        AttemptResult result = attempts.run(target.address(), "GET", "");
        CHECK(result.end == AttemptEnd::BadAnswer);
        CHECK_COMPARE(result.headers.size(), <, 10'000U);
    }
}
