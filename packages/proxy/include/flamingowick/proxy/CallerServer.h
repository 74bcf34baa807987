#pragma once

#include "flamingowick/proxy/Configuration.h"
#include "flamingowick/proxy/HttpMessage.h"
#include "flamingowick/proxy/Runtime.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

// The HTTP/1.1 server towards callers.
namespace flamingowick::proxy {

class CallerServer;

// One connection of a caller; it serves one request at a time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(CallerServer&, asio::ip::tcp::socket);
    CallerConnection(const CallerConnection&) = delete;
    CallerConnection& operator=(const CallerConnection&) = delete;

    // Starts to read.
    void start();

    // The request that waits for its answer.
    const HttpMessage& request() noexcept { return this->reader.message(); }
    // When the first byte of the request came.
    TimePoint requestBegan() const noexcept { return this->began; }

    // Answers the request. To be called once for each request; ignored when the caller has left.
    // Adds the headers that frame the body.
    void respond(const HttpMessage& answer);

    // Called once when the caller leaves before its answer. Replaced by the next request.
    std::function<void()> onGone;

    // Closes at once; no handler is called after it.
    void close();

    bool serving() const noexcept { return this->inService; }

private:
    void read();
    void afterRead(const asio::error_code&, std::size_t size);
    void consume();
    void serveRequest();
    void refuseUnreadable(unsigned status);
    void afterWrite(const asio::error_code&);
    void linger();
    void callerLeft();
    void expectWithin(Duration);
    void armTimer();

    CallerServer& server;
    asio::ip::tcp::socket socket;
    Timer timer;
    MessageReader reader;
    std::string pending;
    std::string inputBuffer;
    std::string output;
    TimePoint began;
    TimePoint due;
    bool timerArmed { false };
    bool inService { false };
    bool writing { false };
    bool closeAfterWrite { false };
    bool lingering { false };
    bool closed { false };
    bool reading { false };
    bool continueSent { false };
};

struct CallerServerHandlers {
    // Limits in force for the next request.
    std::function<CallerLimits()> limits;
    // A whole request is there; the connection is kept until it is answered.
    std::function<void(const std::shared_ptr<CallerConnection>&)> onRequest;
};

class CallerServer {
public:
    // Listens at once. Throws GatewayError 400 when the address can't be opened.
    CallerServer(asio::io_context&, std::string_view address, unsigned maxConnections, CallerServerHandlers);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    // Answers from now on say that their connection closes.
    void beginStop() noexcept { this->stopping = true; }
    bool isStopping() const noexcept { return this->stopping; }

    // Stops listening and closes all connections that wait for no answer.
    void closeIdle();

    // Connections with a request that has no answer yet.
    std::size_t servingCount() const;

private:
    friend class CallerConnection;

    void accept();

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    Timer acceptPause;
    unsigned maxConnections;
    CallerServerHandlers handlers;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections;
    bool stopping { false };
};

}
