#pragma once

#include "flamingowick/proxy/Runtime.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

// HTTP calls to one server, on the daemon's own thread, over kept connections.
namespace flamingowick::proxy {

struct HttpReply {
    // 0 when no whole answer came; the call may then have been executed.
    unsigned status { 0 };
    std::string body;
    // Why no answer came.
    std::string reason;
};

using ReplyHandler = std::function<void(HttpReply)>;

struct HttpCall {
    std::string method { "GET" };
    std::string path;
    std::string body;
    // From the start of the call to its whole answer.
    Duration timeout { std::chrono::seconds(1) };
};

class HttpClientConnection;

class HttpClient {
public:
    // address: "ip:port". Throws SettingsError 111 when it is none.
    HttpClient(asio::io_context&, std::string_view address);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Makes the call on a kept connection or a new one; the handler is called once, later.
    void call(const HttpCall&, ReplyHandler);

    // Gives up all calls that are under way; each handler gets an answer without a status.
    void abandonAll(std::string_view reason);

private:
    friend class HttpClientConnection;

    asio::io_context& io;
    asio::ip::tcp::endpoint endpoint;
    std::string host;
    std::vector<std::shared_ptr<HttpClientConnection>> idle;
    std::unordered_set<std::shared_ptr<HttpClientConnection>> busy;
};

}
