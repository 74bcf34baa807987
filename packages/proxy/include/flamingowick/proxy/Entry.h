#pragma once

#include "flamingowick/proxy/CallerServer.h"
#include "flamingowick/proxy/Configuration.h"
#include "flamingowick/proxy/DispatcherHost.h"
#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/GroupRoom.h"
#include "flamingowick/proxy/PeerLink.h"
#include "flamingowick/proxy/RequestQuarantine.h"
#include "flamingowick/proxy/StopSchedule.h"
#include "flamingowick/proxy/TargetConnections.h"
#include "flamingowick/proxy/TargetDirectory.h"
#include "flamingowick/telemetry/EventLog.h"
#include "flamingowick/telemetry/Metrics.h"

#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>

// Accepts callers' requests, routes them, and responds with a target's response or an error.
namespace flamingowick::proxy {

class Allotments;
class ActiveRequest;
struct AllotmentDecision;
struct OrganisationLabels;
enum class KeyVerdict : std::uint8_t;

// The configuration that is currently applied, with its route index.
struct AppliedConfiguration {
    Configuration configuration;
    RouteIndex routes;
    // When it was applied.
    TimePoint appliedAt;
};

// References to the parts that the entry uses. All of them outlive the entry.
struct EntryContext {
    asio::io_context& io;
    const ProxySettings& settings;
    // Null until the first configuration is applied.
    std::shared_ptr<const AppliedConfiguration>& appliedConfiguration;
    TargetDirectory& directory;
    Fleet& fleet;
    PeerLink& peers;
    // Pools of the groups for which this daemon dispatches.
    DispatcherHost& hostedPools;
    // Local pools, by which this daemon decides when it reaches no dispatcher.
    DispatcherHost& localPools;
    TargetConnections& links;
    const TargetPaths& paths;
    RequestQuarantine& quarantine;
    telemetry::EventLog& log;
    telemetry::Metrics& metrics;
    const StopSchedule& stopSchedule;
    // Identifies this incarnation of the daemon.
    std::uint64_t incarnation { 0 };
    // With which the digests of the configuration's keys were made.
    const organisations::DigestKey& digestKey;
    Allotments& allotments;
    const OrganisationLabels& organisationLabels;
    // Called when a member becomes suspected.
    std::function<void()> onMemberSuspected;
    // Called when a target's response says that the target, which started at that time, is leaving.
    std::function<void(std::string_view instance, std::int64_t startedAt)> onTargetLeaving;
    // Handles that another instance has answered at a target's address.
    std::function<void(std::string_view instance, std::int64_t startedAt, std::string_view address)> onTargetAbsent;
    // Called when a response says whether its target, whose dispatcher has to know, has a limit on requests.
    std::function<void(const TargetLimitMessage&)> onTargetLimit;
};

// Replaces the dispatcher's name in decisions of the local pool, also in logs.
inline constexpr std::string_view localDecision { "alone" };

class Entry {
public:
    explicit Entry(EntryContext&);
    ~Entry();
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    // Whether the request's route allows it to be executed more than once. One route look-up.
    bool mayBeRepeated(const HttpMessage& request) const;

    // Handles a caller's request. The caller gets exactly one response, unless it disconnects before.
    void handleRequest(const std::shared_ptr<CallerExchange>&);

    // Looks up again, in the configuration that has just been applied, the keys of those requests that are at no target. One
    // whose key is gone is answered 401; one whose key is now another organisation's goes on in that one's name. Linear in
    // the active requests.
    void handleConfigurationChange();

    // Responds to the requests that wait for a slot or a token and can't begin an attempt any more, because the daemon ends before they
    // would be served. Linear in the active requests.
    void endWaits();

    // Responds to all requests that have no response: an attempt in flight may or may not have run. Linear in the active requests.
    void breakOff();

    // Handles the end of the wait for a token of an organisation's allotment.
    void handleAllotmentDecision(std::uint64_t request, const AllotmentDecision&);

    // Handles the named dispatcher's reply to a grant request of this daemon. A grant that arrives too late to be
    // used is returned to the dispatcher.
    void handleGrantReply(const std::string& dispatcher, const GrantReplyMessage&);

    // Handles a dispatcher's question whether an attempt is still running: reports its end if it isn't, because an
    // earlier report was lost or the grant came too late to be used.
    void handleAttemptQuery(const std::string& dispatcherAddress, std::uint64_t number);

    // Reports this daemon's attempts in flight in the group to a dispatcher that did not grant them and therefore
    // does not count their slots as occupied. An empty group means all groups of which the member is the preferred
    // dispatcher. Linear in the active requests.
    void reportRunningAttempts(const std::string& member, std::string_view group);

    // Number of requests without a response.
    std::size_t activeRequestCount() const noexcept { return this->activeRequests.size(); }

    // Number of requests that wait for a token of their organisation's allotment.
    std::size_t tokenWaitCount() const noexcept { return this->waitingForTokens.size(); }

private:
    friend class ActiveRequest;

    // Returns a number that no other grant request of any process at this address has.
    std::uint64_t nextNumber();
    // Reports the end of an attempt to its dispatcher: a member, or this daemon's hosted pools. Other names are
    // ignored.
    void sendAttemptEnd(const std::string& member, const AttemptEndMessage&);
    // Responds to a request whose key doesn't admit it: 401, or 503 while the configuration may be out of date.
    void refuseCaller(CallerExchange&, std::string_view id, const Route&, KeyVerdict);
    // Returns the index of the part of a split route that gets the next request.
    std::size_t chooseSplitPart(const Route&);
    // Returns the active requests, which remove themselves from the map when they respond.
    std::vector<std::shared_ptr<ActiveRequest>> copyActiveRequests() const;

    EntryContext& context;
    std::unordered_map<const ActiveRequest*, std::shared_ptr<ActiveRequest>> activeRequests;
    // Requests that wait for a grant reply, by the number of their grant request.
    std::unordered_map<std::uint64_t, ActiveRequest*> pendingGrantRequests;
    // Requests that wait for a token of their organisation's allotment, by the number that it was asked with.
    std::unordered_map<std::uint64_t, ActiveRequest*> waitingForTokens;
    // Numbers of the attempts in flight.
    std::unordered_set<std::uint64_t> runningAttempts;
    // Split rotations by host and path prefix. A rotation restarts when the weights change.
    struct SplitState {
        std::vector<double> weights;
        grants::SplitRotation rotation;
    };
    std::unordered_map<std::string, SplitState> splitStates;
    // Groups that refused requests lately.
    GroupRoom groupRoom;
    std::mt19937_64 random;
    std::uint64_t lastNumber;
};

}
