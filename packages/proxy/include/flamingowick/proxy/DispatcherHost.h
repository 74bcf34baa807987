#pragma once

#include "flamingowick/grants/TargetPool.h"
#include "flamingowick/proxy/PeerLink.h"
#include "flamingowick/proxy/ProxySettings.h"
#include "flamingowick/proxy/Sockets.h"
#include "flamingowick/proxy/TargetGroups.h"
#include "flamingowick/telemetry/EventLog.h"

#include <functional>
#include <map>
#include <string>

// Holds the target pools that this daemon hosts, one for each group, and decides grant requests by them.
namespace flamingowick::proxy {

struct DispatcherPorts {
    // Delivers a decision to the entry that requested the grant, identified by key.entry.
    std::function<void(const grants::Decision&)> decide;
    // Returns the current targets of a service.
    std::function<std::vector<grants::ListedTarget>(std::string_view service)> targets;
};

class DispatcherHost {
public:
    // part: this host's name in the log. retryShare: the share of a service's retry burst that this host may use,
    // divided evenly among the service's groups.
    DispatcherHost(asio::io_context&, std::string part, const ProxySettings&, double retryShare, telemetry::EventLog&, DispatcherPorts);

    // Requests a target. The decision is delivered through DispatcherPorts::decide, possibly before this function
    // returns. Returns false if the request was queued or the group's name is malformed. Linear in the group's
    // targets.
    bool ask(const AskMessage&);

    // Handles the end of an attempt, whose slot becomes free. If the group is empty, the pool that knows the attempt
    // is searched for. Ends of unknown attempts are ignored, but cancel a queued request with that key.
    void end(std::string_view group, const grants::AttemptKey&, grants::Outcome, Duration duration);

    // Records an attempt that was started without a grant of this host, and whose slot is occupied.
    void running(const grants::AttemptKey&, const RunningMessage&);

    // Reloads the targets of a service into its pools.
    void targetsChanged(std::string_view service);

    // Applies to a pool from its next list of targets on.
    void setRetryShare(double share) noexcept { this->retryShare = share; }

    // Pools by the name of their group.
    const std::map<std::string, grants::TargetPool, std::less<>>& pools() const noexcept { return this->groups; }

private:
    // Returns the pool of the group, which is created at its first use, or nullptr if the name is malformed.
    grants::TargetPool* poolOf(std::string_view group);
    void refreshTargets(grants::TargetPool&, const TargetGroup&);
    void pass(std::span<const grants::Decision>);
    void planExpiry();
    void expireAll();

    std::string part;
    const ProxySettings& settings;
    double retryShare;
    telemetry::EventLog& log;
    DispatcherPorts ports;
    std::map<std::string, grants::TargetPool, std::less<>> groups;
    Timer timer;
    bool timerArmed { false };
};

}
