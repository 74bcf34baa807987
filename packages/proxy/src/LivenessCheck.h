#pragma once

#include "TargetConnector.h"

#include "flamingowick/proxy/TunnelFrames.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace flamingowick::proxy {

// Finds out whether a target is alive after it has ended a connection. Accepting a connection is no proof: the kernel
// ends the connections of a dying process before it closes the listening socket, and a relay accepts in place of a
// target that is gone. A connection therefore has to last.
class LivenessCheck : public std::enable_shared_from_this<LivenessCheck> {
public:
    LivenessCheck(TargetConnections&, std::string targetInstance, std::string targetAddress, std::function<void(bool)> checkHandler);

    // Opens a connection; the handler is called once with the result.
    void start();

    // Ends the check without a result.
    void cancel();

private:
    void awaitEnd();
    void read();
    void handleEnd();
    void finishAfter(Duration delay, bool alive);
    void finish(bool alive);

    TargetConnections& owner;
    std::string instance;
    std::string address;
    asio::ip::tcp::socket socket;
    // Set while a connection is being established.
    std::shared_ptr<TargetConnector> connector;
    Timer timer;
    std::function<void(bool)> handler;
    // Set if the target is connected through a member that passes on in frames what it sends.
    std::optional<TunnelFrameReader> frames;
    std::array<char, tunnelFrameHeaderBytes + 1> inputBuffer {};
    unsigned endedConnections { 0 };
};

}
