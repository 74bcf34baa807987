#pragma once

#include "flamingowick/grants/TargetPool.h"
#include "flamingowick/proxy/PeerLink.h"
#include "flamingowick/proxy/ProxySettings.h"
#include "flamingowick/proxy/Runtime.h"
#include "flamingowick/proxy/TargetGroups.h"
#include "flamingowick/telemetry/EventLog.h"

#include <functional>
#include <map>
#include <string>

// The pools of the groups for which this daemon is asked, with their timer.
namespace flamingowick::proxy {

struct DispatcherPorts {
    // Takes the decisions on requests; key.entry tells whose they are.
    std::function<void(const grants::Decision&)> decide;
    // The present targets of a service.
    std::function<std::vector<grants::ListedTarget>(std::string_view service)> targets;
};

class DispatcherHost {
public:
    // part names the host in the log. retryShare: share of a service's budget of further attempts
    // that one pool may use.
    DispatcherHost(asio::io_context&, std::string part, const ProxySettings&, double retryShare, telemetry::EventLog&, DispatcherPorts);

    // Asks for a target; the decision comes through the port, maybe before this returns. Returns
    // false while the request waits, or when the group's name can't be read.
    bool ask(const AskMessage&);

    // Takes in the end of an attempt. An empty group stands for the one that knows the attempt.
    void end(std::string_view group, const grants::AttemptKey&, grants::Outcome, Duration lasted);

    // Takes in an attempt that was started without this host.
    void running(const grants::AttemptKey&, const RunningMessage&);

    // The targets of a service have changed.
    void targetsChanged(std::string_view service);

    void setRetryShare(double share) noexcept { this->retryShare = share; }

    const std::map<std::string, grants::TargetPool, std::less<>>& pools() const noexcept { return this->groups; }

private:
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
