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

struct DispatcherCallbacks {
    // Delivers a decision to the entry that requested the grant, identified by attemptId.entry.
    std::function<void(const grants::Decision&)> deliverDecision;
    // Returns the current targets of a service.
    std::function<std::vector<grants::ListedTarget>(std::string_view service)> listTargets;
    // Asks the entry of an attempt whether it still runs.
    std::function<void(const grants::AttemptId&)> queryAttempt;
    // Handles that another instance has answered at the target's address.
    std::function<void(const grants::ListedTarget&)> onTargetAbsent;
};

class DispatcherHost {
public:
    // logComponent: this host's name in the log. retryShare: the share of a service's retry burst that this host may use,
    // divided evenly among the service's groups.
    DispatcherHost(asio::io_context&, std::string logComponent, const ProxySettings&, double retryShare, telemetry::EventLog&, DispatcherCallbacks);

    // Requests a target. The decision is delivered through DispatcherCallbacks::deliverDecision, possibly before this
    // function returns. Returns false if the request was queued or the group's name is malformed. Linear in the
    // group's targets.
    bool requestGrant(const GrantRequestMessage&);

    // Handles the end of an attempt and frees its slot, or removes the group's queued request with that ID. Unknown
    // attempts are ignored. The group is where the attempt is searched first: the entry may have come to know another
    // number of groups since the grant. Logarithmic in the attempts for each pool.
    void attemptEnded(std::string_view group, const grants::AttemptId&, grants::AttemptOutcome, Duration duration);

    // Records an attempt that was started without a grant of this host, and whose slot is occupied.
    void attemptRunning(const grants::AttemptId&, const RunningAttemptMessage&);

    // Frees the slots of an incarnation of an entry that has ended.
    void handleEntryRestart(std::uint64_t endedIncarnation);

    // Reloads the targets of a service into its pools.
    void handleTargetChange(std::string_view service);

    // Gives up the retry tokens of the groups for which the function returns false.
    void keepRetryTokensOnlyOf(const std::function<bool(std::string_view group)>&);

    // Applies to a pool from its next list of targets on.
    void setRetryShare(double share) noexcept { this->retryShare = share; }

    // Sets the share of the targets' limits on requests that this host may use, 1 at first. Applies like setRetryShare().
    void setRequestLimitShare(double share) noexcept { this->requestLimitShare = share; }

    // Pools by the name of their group.
    const std::map<std::string, grants::TargetPool, std::less<>>& pools() const noexcept { return this->poolsByGroup; }

private:
    // Returns the pool of the group, which is created at its first use, or nullptr if the name is malformed.
    grants::TargetPool* poolOf(std::string_view group);
    void refreshTargets(grants::TargetPool&, const TargetGroup&);
    void reportAbsence(const grants::TargetPool&, const grants::AttemptId&);
    void deliver(std::span<const grants::Decision>);
    void scheduleExpiry();
    void expirePools();

    std::string logComponent;
    const ProxySettings& settings;
    double retryShare;
    double requestLimitShare { 1 };
    telemetry::EventLog& log;
    DispatcherCallbacks callbacks;
    std::map<std::string, grants::TargetPool, std::less<>> poolsByGroup;
    Timer timer;
    bool timerArmed { false };
};

}
