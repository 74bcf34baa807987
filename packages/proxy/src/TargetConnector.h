#pragma once

#include "flamingowick/proxy/Sockets.h"
#include "flamingowick/proxy/TargetConnections.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace flamingowick::proxy {

// What came of a try to connect to a target.
struct Connected {
    // Open if the connection was established.
    asio::ip::tcp::socket socket;
    // Name of the member through which the target is connected; empty for a direct connection.
    std::string member;
    // Why there is no connection, for logs; empty otherwise.
    std::string_view failure;
    // The member passes on in frames what the target sends.
    bool framed { false };
};

// Opens one connection to a target: directly, through another daemon, or by whichever of the two is established first.
class TargetConnector : public std::enable_shared_from_this<TargetConnector> {
public:
    using Handler = std::function<void(Connected)>;

    TargetConnector(TargetConnections&, std::string targetInstance, std::string targetAddress);

    // The handler is called once, after this function has returned, unless cancel() is called before.
    void start(Handler);

    void cancel();

private:
    void startDirect();
    void handleDirect(const asio::error_code&);
    // Asks a daemon for a connection to the target; the next one if the last could not help.
    void startThroughMember();
    void requestTunnel();
    void handleTunnelReply(const asio::error_code&);
    void handleMemberFailure(bool isTargetUnreachable);
    // Ends the try when both ways have failed.
    void failIfNoWayIsLeft();
    void finish(Connected);

    TargetConnections& owner;
    std::string instance;
    std::string address;
    Handler handler;
    ConnectPlan plan;
    asio::ip::tcp::socket directSocket;
    asio::ip::tcp::socket memberSocket;
    Timer timeoutTimer;
    Timer memberTimer;
    std::vector<std::string> triedMembers;
    // Members that could not connect to the target; they may be cut off without knowing it.
    std::vector<std::string> membersWithoutTarget;
    std::string request;
    std::string reply;
    // Of the direct connection.
    bool directFailed { false };
    bool memberStarted { false };
    bool memberFailed { false };
};

}
