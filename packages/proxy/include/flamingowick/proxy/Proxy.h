#pragma once

#include "flamingowick/proxy/Entry.h"

#include <functional>
#include <memory>
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

    // Puts a configuration in force, unless the present one has the same or a higher version.
    void setConfiguration(Configuration);

    // Applies written target entries and removes instances whose entries were removed. The daemon isn't ready before the
    // first call, so call it at the start even when there are no targets. storeConnectedFor says for how long the sender
    // of the changes has been connected to the store without interruption; zero when unknown.
    void changeTargets(std::span<const TargetEntry> written, std::span<const std::string> removed, Duration storeConnectedFor = Duration::zero());

    // Returns for how long this daemon has been connected to the store without interruption, counted at most from its
    // start; zero while the store is unavailable.
    Duration storeInTouchFor() const;

    // Handle the start and the end of a store outage.
    void storeAway(std::string_view reason);
    void storeBack();

    // Replaces the members of the fleet by the daemons that the store lists.
    void setMembers(std::span<const FleetMember>);

    // Handles that a member did not answer a request for the store's state: it becomes suspected.
    void memberSilent(const std::string& name);

    Fleet& knownFleet() noexcept { return this->fleet; }

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
    bool ready() const noexcept;

    // Returns counters, gauges and histograms in the Prometheus text format.
    std::string renderMetrics();

private:
    void applyChange(const DirectoryChange&);
    void planDirectoryExpiry();
    void planProbes();
    void fleetChanged();
    void hear(const PeerSource&);
    void takeAsk(const PeerSource&, const AskMessage&);
    void takePresence(const PeerSource&, const PresenceMessage&);
    void decideHosted(const grants::Decision&);
    void postWord(const std::string& dispatcher, const WordMessage&);
    void decideOwn(const grants::Decision&);
    void announce(bool leaving, bool wantsReply);
    void checkStopped();
    void planFlush();
    PeerHandlers peerHandlers();
    void answerReady(CallerConnection&);
    void answerMetrics(CallerConnection&);

    asio::io_context& io;
    ProxySettings settings;
    std::uint64_t sender;
    telemetry::EventLog& log;
    telemetry::Metrics metrics;
    std::shared_ptr<const ConfigurationInForce> inForce;
    TargetDirectory directory;
    bool targetsKnown { false };
    TimePoint targetsChangedAt;
    TimePoint startedAt { Clock::now() };
    Fleet fleet;
    // Addresses of the entries that send this dispatcher messages, by incarnation.
    std::unordered_map<std::uint64_t, std::string> entries;
    // The incarnation in the last message of each peer, by address.
    std::unordered_map<std::string, std::uint64_t> lives;
    std::unique_ptr<PeerLink> peers;
    std::unique_ptr<DispatcherHost> hosted;
    std::unique_ptr<DispatcherHost> own;
    std::unique_ptr<TargetLinks> links;
    std::unique_ptr<EntryContext> context;
    std::unique_ptr<Entry> entry;
    std::unique_ptr<CallerServer> callers;
    std::unique_ptr<CallerServer> readiness;
    std::unique_ptr<CallerServer> metricsServer;
    Timer directoryTimer;
    Timer probeTimer;
    Timer stopTimer;
    Timer flushTimer;
    bool flushPlanned { false };
    bool stopping { false };
    TimePoint stopBegan;
    std::function<void()> onStopped;
    // Expires with the proxy; posted handlers check it before they use the proxy.
    std::shared_ptr<char> alive { std::make_shared<char>() };
};

}
