#pragma once

#include "flamingowick/proxy/HttpMessage.h"
#include "flamingowick/proxy/Sockets.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

// HTTP client for one server, on the daemon's event loop. Connections are reused.
namespace flamingowick::proxy {

struct HttpResponse {
    // 0 if no complete response was received; the server may have executed the call all the same.
    unsigned status { 0 };
    std::string body;
    // Why no response was received; empty otherwise.
    std::string reason;
    std::vector<Header> headers {};
    // Bytes of the response that arrived before a failed call ended.
    std::size_t bytesBeforeFailure { 0 };
};

using ResponseHandler = std::function<void(HttpResponse)>;

struct HttpCall {
    std::string method { "GET" };
    std::string path;
    std::string body;
    // From the start of the call to its complete response.
    Duration timeout { std::chrono::seconds(1) };
    // Each part of the response that arrives moves the end of the timeout to at least this long after it, so that a large response
    // over a slow link isn't thrown away and requested again. Zero for none.
    Duration extension { 0 };
};

class HttpClientConnection;

class HttpClient {
public:
    // address: "ip:port". Throws SettingsError 111 for any other text.
    HttpClient(asio::io_context&, std::string_view address);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends the call over an idle connection or a new one. The handler is called once, after this function has returned;
    // destroying the client cancels it.
    void call(const HttpCall&, ResponseHandler);

    // Cancels all calls in progress and closes all connections. Each handler is called with status 0 and the reason.
    void cancelAll(std::string_view reason);

private:
    friend class HttpClientConnection;

    asio::io_context& context;
    asio::ip::tcp::endpoint endpoint;
    std::string host;
    std::vector<std::shared_ptr<HttpClientConnection>> idleConnections;
    std::unordered_set<std::shared_ptr<HttpClientConnection>> activeConnections;
};

}
