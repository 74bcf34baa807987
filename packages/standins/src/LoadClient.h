#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/standins/detail/Asio.h"
#include "flamingowick/standins/detail/HttpParser.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

// One connection of the load tool.
namespace flamingowick::standins {

// One request of the load.
struct LoadRequest {
    std::uint64_t number { 0 };
    std::size_t entry { 0 };
    // When it was due.
    TimePoint due;
    std::string nonce;
    std::string key;
    std::string text;
};

enum class LoadEnd : std::uint8_t {
    Answered,
    CutOff,
    TimedOut,
    ConnectFailed,
    GivenUpUnsent,
};

class LoadConnection : public std::enable_shared_from_this<LoadConnection> {
public:
    // Called once for each request. The response is set for Answered. May give the connection its
    // next request when it is still open.
    using EndHandler = std::function<void(const std::shared_ptr<LoadConnection>&, const LoadRequest&, LoadEnd, const detail::HttpResponse&)>;

    LoadConnection(asio::io_context&, asio::ip::tcp::endpoint, Duration timeout, EndHandler);

    // Sends request, connecting first when the connection is new.
    void send(LoadRequest);

    bool open() const noexcept { return !this->closed; }

    // Returns whether the connection has carried more than one request.
    bool reused() const noexcept { return this->requests > 1; }

    // Closes an idle connection.
    void close();

private:
    void connect();
    void write();
    void read();
    void take(std::string_view bytes);
    void end(LoadEnd, const detail::HttpResponse&);
    void fail(LoadEnd);

    asio::ip::tcp::socket socket;
    asio::ip::tcp::endpoint endpoint;
    asio::steady_timer timer;
    Duration timeout;
    EndHandler handler;
    detail::MessageParser parser;
    std::optional<LoadRequest> request;
    std::array<char, 16384> input {};
    std::uint64_t requests { 0 };
    bool connected { false };
    bool reading { false };
    bool closed { false };
};

}
