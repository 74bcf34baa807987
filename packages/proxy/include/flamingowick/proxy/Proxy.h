#pragma once

#include "flamingowick/proxy/Allotments.h"
#include "flamingowick/proxy/Entry.h"
#include "flamingowick/proxy/OrganisationLabels.h"
#include "flamingowick/proxy/TunnelServer.h"

#include <functional>
#include <memory>
#include <random>
#include <span>

// One daemon of the data path: entry, dispatcher and peer on one thread. The state that the object store holds is passed
// to it by calls of its member functions.
namespace flamingowick::proxy {

class Proxy {
public:
    // Opens all sockets. The incarnation has to differ between starts of the daemon. Throws GatewayError 400, PeerError
    // 300 or SettingsError 111 when an address can't be used.
    Proxy(asio::io_context&, ProxySettings, std::uint64_t incarnation, telemetry::EventLog&);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    // Applies a configuration, unless the present one has a higher version or is the same. To be called in the order of the
    // store's revisions: of two contents with the same version, the later one applies.
    void setConfiguration(Configuration);

    // Applies written target entries and removes instances whose entries were removed. The daemon isn't ready before the
    // first call, so call it at the start even when there are no targets. storeConnectedFor says for how long the sender
    // of the changes has been connected to the store without interruption; zero when unknown.
    void applyTargetChanges(std::span<const TargetEntry> written, std::span<const std::string> removed, Duration storeConnectedFor = Duration::zero());

    // Returns for how long this daemon has been connected to the store without interruption, counted at most from its
    // start; zero while the store is unavailable.
    Duration storeConnectedFor() const;

    // Handle the start and the end of a store outage. The last contact with the store before it, if known, tells whether entries of
    // targets may lapse in it.
    void handleStoreUnavailable(std::string_view reason, std::optional<TimePoint> lastContactAt = std::nullopt);
    void handleStoreAvailable();

    // Handles that the store has returned from an older copy. Targets that it lacks have the grace of an outage, and those
    // that had gone stay so until it has had the time to remove them.
    void handleStoreReturn();

    // Replaces the members of the fleet by the daemons that the store lists.
    void setMembers(std::span<const FleetMember>);

    // Handles a request of another daemon that doesn't concern the store's state. Returns false if it is of no known kind.
    bool handlePeerRequest(const std::shared_ptr<CallerExchange>&);

    // Handles that a member did not answer a request for the store's state: it becomes suspected.
    void handleMemberSilent(const std::string& name);

    Fleet& fleetState() noexcept { return this->fleet; }

    // Requests that are refused because they crash their targets.
    RequestQuarantine& requestQuarantine() noexcept { return *this->quarantine; }

    // The pools for which this daemon dispatches.
    const DispatcherHost& dispatcherHost() const noexcept { return *this->hostedPools; }

    // With which the digests of keys in configurations have to be made.
    const organisations::DigestKey& digestKey() const noexcept { return this->ownDigestKey; }

    // Counters of the process, for parts outside the proxy.
    telemetry::Metrics& counters() noexcept { return this->metrics; }

    // Called when a refusal of such a request begins or is released.
    std::function<void()> onRefusalsChange;

    // Called when the members of the fleet have changed, or which of them this daemon can reach.
    std::function<void()> onFleetChange;

    // Returns the members whose objects this daemon has to remove from the store.
    std::vector<std::string> membersToRemove();

    // Stops the daemon: reports not ready, announces to the other daemons that this one leaves, and calls stopped once no
    // request is active and the load balancer has had time to react, or shortly before the stop grace ends.
    void beginStop(std::function<void()> stopped);

    // Applies the settings that can change while the process runs; the others are ignored.
    void reload(const ProxySettings&);

    // Returns whether the load balancer may send callers to this daemon: configuration and targets are known, and it
    // isn't stopping.
    bool isReady() const noexcept;

    // Returns counters, gauges and histograms in the Prometheus text format.
    std::string renderMetrics();

private:
    bool isStopping() const noexcept { return this->stopSchedule.beganAt.has_value(); }
    void applyDirectoryChange(const DirectoryChange&);
    void scheduleDirectoryExpiry();
    void scheduleProbes();
    void handleFleetChange();
    // Whether the datagram's process was followed by another one at its address, which has been heard since.
    bool isFromEndedProcess(const PeerSource&) const;
    void recordPeerContact(const PeerSource&);
    void handleGrantRequest(const PeerSource&, const GrantRequestMessage&);
    // Records a target's limit, and tells the daemons that dispatch for the target or would take over.
    void spreadTargetLimit(const TargetLimitMessage&);
    void recordTargetLimit(const TargetLimitMessage&);
    // Tells the daemon at the address of the limits of those targets for which this one dispatches or would take over.
    void sendLimitsTo(const std::string& address);
    // Returns the daemons that have to know a target's limit, the dispatcher first.
    std::vector<std::string> limitKeepersFor(const TargetEntry&);
    void handlePresence(const PeerSource&, const PresenceMessage&);
    QuarantineCallbacks makeQuarantineCallbacks();
    AllotmentCallbacks makeAllotmentCallbacks();
    void deliverHostedDecision(const grants::Decision&);
    void sendGrantReply(const std::string& dispatcher, const GrantReplyMessage&);
    void queryAttempt(const grants::AttemptId&);
    void deliverLocalDecision(const grants::Decision&);
    PresenceMessage presenceMessage(bool leaving, bool wantsReply) const;
    void announcePresence(bool leaving, bool wantsReply);
    void handlePathChange();
    DispatcherCallbacks makeDispatcherCallbacks(std::function<void(const grants::Decision&)> deliverDecision, std::function<void(const grants::AttemptId&)> queryAttempt);
    PathCallbacks makePathCallbacks();
    void checkStopProgress();
    void scheduleLogFlush();
    PeerHandlers makePeerHandlers();
    void handleReadinessRequest(CallerExchange&);
    void handleMetricsRequest(CallerExchange&);

    asio::io_context& io;
    ProxySettings settings;
    std::uint64_t ownIncarnation;
    organisations::DigestKey ownDigestKey { organisations::makeDigestKey() };
    telemetry::EventLog& log;
    telemetry::Metrics metrics;
    std::shared_ptr<const AppliedConfiguration> appliedConfiguration;
    TargetDirectory directory;
    bool targetsKnown { false };
    TimePoint targetsChangedAt;
    TimePoint startedAt { Clock::now() };
    Fleet fleet;
    TargetPaths paths;
    std::minstd_rand random;
    // Addresses of the entries that send this dispatcher messages, by incarnation.
    std::unordered_map<std::uint64_t, std::string> entryAddresses;
    // The incarnation of a peer that was heard last, and the one before it; 0 for none.
    struct PeerIncarnations {
        std::uint64_t current { 0 };
        std::uint64_t ended { 0 };
        // When the current one was heard last.
        TimePoint heardAt {};
    };
    // By address.
    std::unordered_map<std::string, PeerIncarnations> peerIncarnations;
    std::unique_ptr<PeerLink> peers;
    std::unique_ptr<RequestQuarantine> quarantine;
    OrganisationLabels organisationLabels;
    std::unique_ptr<Allotments> allotments;
    std::unique_ptr<DispatcherHost> hostedPools;
    std::unique_ptr<DispatcherHost> localPools;
    std::unique_ptr<TargetConnections> links;
    std::unique_ptr<TunnelServer> tunnelServer;
    std::unique_ptr<EntryContext> context;
    std::unique_ptr<Entry> entry;
    std::unique_ptr<CallerServer> callerServer;
    std::unique_ptr<CallerServer> readinessServer;
    std::unique_ptr<CallerServer> metricsServer;
    Timer directoryTimer;
    Timer probeTimer;
    Timer stopTimer;
    Timer flushTimer;
    bool logFlushScheduled { false };
    StopSchedule stopSchedule;
    std::function<void()> onStopped;
    // Expires with the proxy; posted handlers check it before they use the proxy.
    std::shared_ptr<char> lifetimeToken { std::make_shared<char>() };
};

}
