#pragma once

#include "flamingowick/model/Request.h"
#include "flamingowick/standins/detail/Asio.h"
#include "flamingowick/standins/detail/HttpParser.h"

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

// A small HTTP/1.1 server for the stand-ins, which must be able to misbehave: close without an
// answer, accept without reading, answer late. Everything runs on the thread of one io_context.
namespace flamingowick::standins::detail {

struct HttpAnswer {
    unsigned status { 200 };
    std::vector<Header> headers;
    std::string body;
    std::string contentType { "application/json" };
};

class HttpConnection;
using HttpHandler = std::function<void(std::shared_ptr<HttpConnection>, HttpRequest)>;

struct HttpServerLimits {
    std::size_t maxConnections { 8192 };
    std::size_t maxBodyBytes { 4U << 20U };
    // Bytes of answers and streams that a slow reader may leave waiting before it is cut off.
    std::size_t maxPendingOutputBytes { 32U << 20U };
};

class HttpServer;

// One connection. It hands one request at a time to the handler and reads the next only when the
// answer was given.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(asio::ip::tcp::socket, HttpServer&);

    // Starts to read. Called once.
    void start();

    // Answers the present request; does nothing on a closed connection.
    void answer(const HttpAnswer&);

    // Begins a chunked answer with status 200 and a JSON content type.
    void beginStream();

    // Sends one chunk of a begun stream. Closes the connection when the reader is too slow.
    void sendChunk(std::string_view data);

    // Ends a begun stream.
    void endStream();

    // Closes the connection without any further byte.
    void drop();

    // Closes the connection and calls nothing: for the end of the server, when the io_context is
    // stopped.
    void abandon() noexcept;

    // Sets what is called once when the connection closes while the present request is unanswered.
    void onCancel(std::function<void()> handler) { this->cancelHandler = std::move(handler); }

    bool open() const noexcept { return !this->closed; }

    // Holds back reading, as a frozen process does, until resumeReading().
    void pauseReading() noexcept { this->paused = true; }
    void resumeReading();

private:
    void read();
    void parse();
    void dispatch();
    void watchForClose();
    void send(std::string_view data);
    void flush();
    void finishRequest();

    asio::ip::tcp::socket socket;
    HttpServer& server;
    MessageParser parser;
    std::array<char, 16384> input {};
    std::string unparsed;
    std::string outgoing;
    std::string inFlight;
    std::function<void()> cancelHandler;
    std::string peer;
    bool keepAlive { true };
    bool busy { false };
    bool reading { false };
    bool watching { false };
    bool closeAfterFlush { false };
    bool paused { false };
    bool closed { false };
};

// Listens on one address. Must outlive its io_context's run.
class HttpServer {
public:
    // Listens on address, an IP number, and port; 0 takes a free one. Throws std::system_error when
    // it can't.
    HttpServer(asio::io_context&, const std::string& address, std::uint16_t port, HttpHandler, HttpServerLimits = {});

    // Abandons every connection. The io_context must not run any more.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const { return this->boundPort; }

    // Takes no further connections, as a process that is gone.
    void close();

    // Listens again on the same port after close(). Throws std::system_error when it can't.
    void reopen();

    // Closes every connection without an answer.
    void dropAll();

    // While frozen, connections are accepted by the kernel alone and nothing is read.
    void setFrozen(bool);

    std::size_t openConnections() const noexcept { return this->connections.size(); }

    // The most connections that were open at a time.
    std::size_t mostConnections() const noexcept { return this->peakConnections; }

    const HttpHandler& requestHandler() const noexcept { return this->handler; }
    const HttpServerLimits& connectionLimits() const noexcept { return this->limits; }
    void forget(const HttpConnection&) noexcept;

private:
    void accept();

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint endpoint;
    HttpHandler handler;
    HttpServerLimits limits;
    std::unordered_map<const HttpConnection*, std::shared_ptr<HttpConnection>> connections;
    std::size_t peakConnections { 0 };
    std::uint16_t boundPort { 0 };
    bool frozen { false };
};

}
