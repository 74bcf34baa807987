#pragma once

#include "flamingowick/proxy/Entry.h"

#include <functional>
#include <memory>
#include <span>

// One daemon of the granted data path: entry, dispatcher and peer on one thread. What the platform
// stores comes in through its members.
namespace flamingowick::proxy {

class Proxy {
public:
    // Opens all sockets. incarnation differs between starts of the daemon. Throws GatewayError 400,
    // PeerError 300 or SettingsError 111 when an address can't be used.
    Proxy(asio::io_context&, ProxySettings, std::uint64_t incarnation, telemetry::EventLog&);
    ~Proxy();
    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    // Puts a configuration in force, unless one as new is.
    void setConfiguration(Configuration);

    // Takes in targets that were written and instances whose entries were removed. To be called once at
    // the start even when there are none. inTouchFor as for changeEntries().
    void changeTargets(std::span<const TargetEntry> written, std::span<const std::string> removed, Duration inTouchFor = Duration::zero());

    // For how long this daemon has been in touch with the store without a break; since its start at most.
    Duration storeInTouchFor() const;

    // The store gives no answers, or does again.
    void storeAway(std::string_view reason);
    void storeBack();

    // Takes in the daemons that the store lists.
    void setMembers(std::span<const FleetMember>);

    // A member did not answer a question.
    void memberSilent(const std::string& name);

    Fleet& knownFleet() noexcept { return this->fleet; }

    // Called when the fleet or whom this daemon reaches of it has changed.
    std::function<void()> onFleetChange;

    // Members whose objects this daemon is to remove from the store.
    std::vector<std::string> membersToRemove();

    // Turns unready, lets others take over, and calls stopped once nothing is under way or the stop
    // limit is reached.
    void beginStop(std::function<void()> stopped);

    // Takes over those settings that may change while the process runs.
    void reload(const ProxySettings&);

    // Whether the balancer may send callers here.
    bool ready() const noexcept;

    // Counters, gauges and histograms in the Prometheus text format.
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
    void postWord(const std::string& granter, const WordMessage&);
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
    // Addresses of the entries whose requests this daemon dispatches, by sender.
    std::unordered_map<std::uint64_t, std::string> entries;
    // The life of each peer that was last heard, by address.
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
    // Posted work looks whether the proxy still is there.
    std::shared_ptr<char> alive { std::make_shared<char>() };
};

}
