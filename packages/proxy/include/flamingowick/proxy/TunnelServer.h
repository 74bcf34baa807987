#pragma once

#include "flamingowick/proxy/CallerServer.h"
#include "flamingowick/proxy/TargetDirectory.h"
#include "flamingowick/proxy/TargetPaths.h"
#include "flamingowick/telemetry/Metrics.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

// Connects other daemons, which are cut off from the targets, to targets. Such a daemon sends a request to upgrade a
// connection that names the target's instance; once this daemon has connected to the target, bytes pass in both directions
// until either side ends its connection. What the target sends is framed where both daemons know frames, so that its end can
// be told from that of this daemon.
namespace flamingowick::proxy {

enum class TunnelReply : std::uint8_t {
    // What the target sends arrives in frames.
    Established,
    // It arrives as it is, from a daemon of an earlier release.
    EstablishedPlain,
    // The daemon could not connect to the target, or doesn't know it.
    TargetUnreachable,
    // The daemon is cut off itself, is short of connections, or is of a release without tunnels.
    Unusable,
};

// Returns the request for a connection to a target.
std::string tunnelRequest(std::string_view instance);

// Reads the header of the response to it; Unusable for anything that isn't one.
TunnelReply parseTunnelReply(std::string_view header);

class Tunnel;

class TunnelServer {
public:
    TunnelServer(asio::io_context&, const TargetDirectory&, const TargetPaths&, telemetry::Metrics&);
    ~TunnelServer();
    TunnelServer(const TunnelServer&) = delete;
    TunnelServer& operator=(const TunnelServer&) = delete;

    // Whether a request to a daemon's server for other daemons is one for a tunnel.
    static bool isTunnelRequest(const HttpMessage&) noexcept;

    // Serves it: takes the connection over.
    void handleRequest(const std::shared_ptr<CallerExchange>&);

    // Returns the number of connections to targets for other daemons.
    std::size_t openTunnels() const noexcept { return this->tunnels.size(); }

private:
    friend class Tunnel;

    asio::io_context& context;
    const TargetDirectory& directory;
    const TargetPaths& paths;
    telemetry::Metrics& metrics;
    std::unordered_set<std::shared_ptr<Tunnel>> tunnels;
};

}
