#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Request.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// The port through which a dispatcher sends attempts to targets, and its adapter on libcurl.
namespace flamingowick::gateway {

// How one attempt ended.
enum class AttemptEnd : std::uint8_t {
    // A whole answer was received.
    Answered,
    // No byte of the request was handed to a connection.
    NotSent,
    // The connection was lost after bytes may have left; the target closed it without an answer.
    ConnectionLost,
    // The answer was cut short, malformed, or over the size limit.
    BadAnswer,
    TimedOut,
    // Stopped by cancel() after bytes may have left.
    Cancelled,
};

struct AttemptRequest {
    // Chosen by the owner of the client; never reused.
    std::uint64_t attempt { 0 };
    TargetAddress target;
    std::string method;
    std::string path;
    std::vector<Header> headers;
    std::string body;
    Duration timeout { 0 };
    Duration connectTimeout { 0 };
    std::uint64_t maxAnswerBytes { 0 };
    unsigned maxConnections { 0 };
};

struct AttemptResult {
    std::uint64_t attempt { 0 };
    AttemptEnd end { AttemptEnd::NotSent };
    unsigned status { 0 };
    std::vector<Header> headers;
    std::string body;
    Duration latency { 0 };
};

// Sends attempts over kept connections, on one thread of its own. An attempt is sent at most once:
// a kept connection that closes before the answer ends the attempt as ConnectionLost.
class TargetClient {
public:
    // Starts the thread. onResult is called on it and must not block. Throws GatewayError 402 when
    // libcurl can't be set up. capacity bounds the commands that wait for the thread.
    TargetClient(std::size_t capacity, std::function<void(AttemptResult)> onResult);

    // Ends all attempts without results and joins the thread.
    ~TargetClient();

    TargetClient(const TargetClient&) = delete;
    TargetClient& operator=(const TargetClient&) = delete;

    // Queues an attempt. Returns false, and will not send it, when capacity commands wait already.
    // Safe from any thread.
    bool start(AttemptRequest);

    // Asks that an attempt be stopped. Its result, Cancelled or NotSent or whatever came first, is
    // still reported. Returns false when capacity commands wait already. Safe from any thread.
    bool cancel(std::uint64_t attempt);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
