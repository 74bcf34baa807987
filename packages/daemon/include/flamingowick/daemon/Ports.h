#pragma once

#include "flamingowick/gateway/HttpServer.h"
#include "flamingowick/gateway/TargetClient.h"
#include "flamingowick/peers/Message.h"
#include "flamingowick/platform/Port.h"

#include <functional>
#include <string_view>

// What the core of a daemon asks of the outside. Each member returns at once.
namespace flamingowick::daemon {

struct Ports {
    // Returns false when the message was refused and will not be sent.
    std::function<bool(std::string_view address, Incarnation, peers::Message)> sendPeer;
    std::function<void(std::string_view address)> connectPeer;
    std::function<void(std::string_view address)> disconnectPeer;
    // Returns false when the attempt was refused and will not be sent.
    std::function<bool(gateway::AttemptRequest)> startAttempt;
    std::function<void(std::uint64_t attempt)> cancelAttempt;
    std::function<void(gateway::ExchangeToken, gateway::HttpResponse)> respondCaller;
    std::function<void(gateway::ExchangeToken, gateway::HttpResponse)> respondAdmin;
    std::function<bool(platform::Call)> callPlatform;
    // Closes the listening address towards callers.
    std::function<void()> stopAccepting;
    // The shutdown is complete.
    std::function<void()> finished;
};

}
