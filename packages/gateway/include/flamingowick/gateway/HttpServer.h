#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

// The port through which callers and operators reach a daemon over HTTP/1.1, and its adapter on
// RESTinio.
namespace flamingowick::gateway {

// Names one request that waits for its response. Never reused within a server.
using ExchangeToken = std::uint64_t;

struct HttpRequest {
    ExchangeToken token { 0 };
    std::string method;
    // Path and query, as sent.
    std::string target;
    std::vector<Header> headers;
    std::string body;
    // The sender's IP address, without the port.
    std::string remoteAddress;
};

struct HttpResponse {
    unsigned status { 200 };
    // Content-Length and Connection are added by the server.
    std::vector<Header> headers;
    std::string body;
    bool closeConnection { false };
    // Past this time otherwise is written instead, when it is set.
    std::optional<TimePoint> validUntil;
    std::shared_ptr<const HttpResponse> otherwise;
};

struct HttpServerSettings {
    // "ip:port"; port 0 takes any free port.
    std::string address;
    // Connections above this number are not accepted until others close.
    unsigned maxConnections { 10000 };
    std::size_t maxUrlBytes { 8U << 10U };
    std::size_t maxHeaderFieldBytes { 16U << 10U };
    std::size_t maxHeaderFields { 100 };
    // A body over maxBodyBytes is answered 413; one over twice that size ends the connection.
    std::uint64_t maxBodyBytes { 1U << 20U };
    // Memory of requests that aren't complete, over all connections. One that receives more of them is closed.
    std::uint64_t maxIncompleteBytes { 32U << 20U };
    // Bodies of requests without a response, over all connections. A request with a body beyond that is answered 503 and doesn't run.
    std::uint64_t maxOutstandingBodyBytes { 24U << 20U };
    // How long a connection may take to send one request, idle time included.
    Duration readTimeout { std::chrono::seconds(30) };
    Duration writeTimeout { std::chrono::seconds(30) };
    // How long a response may be outstanding before the connection is closed.
    Duration handleTimeout { std::chrono::seconds(180) };
};

// What a server reports. Both are called on the server's own thread and must not block.
struct HttpServerHandlers {
    std::function<void(HttpRequest)> onRequest;
    // The caller closed its connection before its response was written.
    std::function<void(ExchangeToken)> onHangUp;
};

// Returns the first header with this name, compared without regard to case, or nullptr. Linear in
// the number of headers; never throws.
const std::string* findHeader(std::span<const Header> headers, std::string_view name) noexcept;

// An HTTP/1.1 server with one thread. Requests with conflicting lengths or malformed framing are
// refused by closing the connection or by 400, before onRequest is called.
class HttpServer {
public:
    // Opens the address and starts the thread. Throws GatewayError 401 when the address can't be
    // opened or read.
    HttpServer(const HttpServerSettings&, HttpServerHandlers);

    // Stops at once: open connections are closed.
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Sends the response of one request. Unknown tokens, as after a hang-up, are ignored. Safe from
    // any thread. The work waiting for the server's thread is bounded by the requests outstanding.
    void respond(ExchangeToken, HttpResponse);

    // Closes the listening address. Open connections and requests outstanding go on; each later
    // response closes its connection. Safe from any thread.
    void stopAccepting();

    // Returns the port that is listened on.
    std::uint16_t port() const noexcept;

    // Returns how many requests have no response that is wholly written yet. Safe from any thread.
    std::size_t outstanding() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
