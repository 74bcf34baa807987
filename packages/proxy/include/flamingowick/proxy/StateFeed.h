#pragma once

#include "flamingowick/proxy/CallerServer.h"
#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/HttpClient.h"
#include "flamingowick/proxy/Relays.h"
#include "flamingowick/proxy/StateCache.h"
#include "flamingowick/telemetry/EventLog.h"
#include "flamingowick/telemetry/Metrics.h"

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <tuple>

// Distributes the store's state without every daemon watching the store: in each failure domain a few daemons,
// the relays, watch the store, and the others follow two relays each by long polling. A follower that reaches no
// relay with a current connection to the store watches the store itself. A relay follows another relay, too, since a response of the
// store to its own watch may be lost.
namespace flamingowick::proxy {

namespace wire {
    class CompressedKind;
    class KindState;
    class StateAnswer;
}

struct FeedLimits {
    // How long a relay holds a request while there are no changes. It then answers without any, which shows the
    // follower that the relay is reachable.
    std::chrono::milliseconds longPollTimeout { 500 };
    // Time beyond longPollTimeout in which the relay's response has to begin to arrive, and between its parts.
    Duration responseMargin { std::chrono::milliseconds(350) };
    // A follower watches the store itself when its last known contact with the store, direct or through a relay, is
    // older than this. Leaves most of the time in which a new configuration has to be applied.
    Duration maxContactAge { std::chrono::milliseconds(1300) };
    // Minimum time for which it then watches the store, so that an unstable relay doesn't make it switch back and
    // forth.
    Duration minDirectWatchTime { std::chrono::seconds(3) };
    RelayLimits relays;
    // Delay between a response with changes and the next request, so that changes in quick succession are sent together.
    Duration changeBatchDelay { std::chrono::milliseconds(20) };
    // Delay before the first request to a second relay while this daemon has no targets yet, so that not both relays send
    // all of them.
    Duration firstStateDelay { std::chrono::milliseconds(500) };
    // Delay before the next request after a failed one.
    Duration retryDelay { std::chrono::milliseconds(200) };
};

struct FeedCallbacks {
    // Starts or stops watching the store. Called only when that changes.
    std::function<void(bool)> setStoreWatch;
    // Applies received changes, which are in no particular order; the cache contains them already. The duration is how
    // long the sender of the changes has been connected to the store without interruption; zero when that isn't known.
    std::function<void(StateKind, const std::vector<StateChange>&, Duration storeConnectedFor)> onChanges;
    // Returns for how long this daemon has been connected to the store without interruption.
    std::function<Duration()> storeConnectedFor;
    // Called with the name of a relay that did not answer, or answered with an error.
    std::function<void(const std::string&)> onMemberSilent;
    // Handles a request of another daemon that doesn't concern the state. Returns false if it is of no known kind.
    std::function<bool(const std::shared_ptr<CallerExchange>&)> onOtherRequest {};
};

class StateFeed {
public:
    // Serves followers at the TCP address. Throws SettingsError 111 for an invalid address, GatewayError 400 when it
    // can't be listened on.
    StateFeed(asio::io_context&, std::string_view address, std::string failureDomain, Fleet&, telemetry::EventLog&, telemetry::Metrics&, FeedCallbacks);
    ~StateFeed();
    StateFeed(const StateFeed&) = delete;
    StateFeed& operator=(const StateFeed&) = delete;

    // Apply a snapshot or changes that this daemon received from the store itself.
    void applySnapshot(StateKind, std::uint64_t revision, std::span<const StateObject>);
    void applyChanges(StateKind, std::uint64_t revision, std::span<const StateChange>);

    // Records that the store has answered this daemon.
    void recordStoreContact();

    // Returns when the store last answered this daemon or a relay of it, as far as is known.
    TimePoint lastContactAt() const noexcept { return this->lastStoreContactAt; }

    // Decides whether this daemon is a relay, which relays it follows and whether it watches the store. To be called
    // when the membership becomes known or changes.
    void reviewRoles();

    const KindCache& cacheFor(StateKind kind) const { return this->caches.at(static_cast<std::size_t>(kind)); }

    // Ends a direct watch of the store, whatever time is left of it, if the relays' connection to the store is current.
    void reviewDirectWatch();

    bool isWatchingStore() const noexcept { return this->watchesStore; }

    // Returns whether other daemons may follow this one.
    bool isRelayDaemon() const noexcept { return this->isRelay; }

    // Returns whether this daemon is no relay and receives the store's state through one, that is, whether a relay has
    // answered within the time in which a request has to be answered.
    bool isServedByRelays() const;

    void stop();

private:
    struct HeldRequest {
        std::shared_ptr<CallerExchange> connection;
        // Empty for kinds that the follower did not ask for, because its release doesn't know them.
        std::array<std::optional<std::uint64_t>, allStateKinds.size()> seenRevisions {};
        // Revision of the follower's configuration object, 0 if it has none. Empty if its release reads no compressed kinds.
        std::optional<std::uint64_t> baseRevision;
        TimePoint dueAt;
    };
    // Identifies what a follower is sent of one kind, until the kind changes: its kind, and the revisions that it has seen
    // of the kind and has of the configuration.
    using DeltaKey = std::tuple<StateKind, std::uint64_t, std::uint64_t>;
    struct FollowedRelay;
    struct ChangeSource {
        // The kind of the store's response, or the name of the relay.
        std::string_view name;
        // How long the source has been connected to the store without interruption; zero when that isn't known.
        Duration storeConnectedFor;
    };

    void handleRequest(const std::shared_ptr<CallerExchange>&);
    bool hasChangesFor(const HeldRequest&) const;
    void sendResponse(HeldRequest&);
    // Adds what the follower lacks of a kind, compressed where it is large and the follower can read that.
    void writeKind(StateKind, std::uint64_t seenRevision, const HeldRequest&, wire::StateAnswer&);
    void rememberConfigurations(const std::vector<StateChange>&);
    // Returns a configuration object that followers may still have; none when it is no longer or not known.
    const StateObject* configurationAt(std::uint64_t revision) const;
    std::uint64_t configurationRevision() const;
    void applyKind(const wire::KindState&, const wire::StateAnswer&, const std::string& relay);
    // Restores a compressed kind and applies it. Returns false if it can't be read.
    bool applyCompressedKind(const wire::CompressedKind&, const wire::StateAnswer&, const std::string& relay);
    void respondToHeldRequests(bool dueOnly);
    void scheduleHeldRequests();
    void pollRelay(const std::shared_ptr<FollowedRelay>&);
    // Polls the relay after the delay unless it has been dropped by then.
    void pollRelayAfter(const std::shared_ptr<FollowedRelay>&, Duration delay);
    void handleRelayResponse(const std::shared_ptr<FollowedRelay>&, const HttpResponse&);
    void publishChanges(StateKind, const std::vector<StateChange>&, const ChangeSource&);
    Duration storeContactAge() const;
    // Returns the relays that this daemon polls: those of its domain in its own order or, at a relay, one other.
    std::vector<std::string> relaysToFollow(const std::vector<std::string>& relaysOfDomain) const;
    void scheduleRoleReview();

    asio::io_context& io;
    std::string failureDomain;
    Fleet& fleet;
    telemetry::EventLog& log;
    telemetry::Metrics& metrics;
    FeedCallbacks callbacks;
    FeedLimits limits;
    std::array<KindCache, allStateKinds.size()> caches;
    std::unique_ptr<CallerServer> server;
    std::list<HeldRequest> heldRequests;
    // The last configuration objects, the newest last, for followers that are a few changes behind.
    std::deque<StateObject> recentConfigurations;
    // Compressed kinds; most followers lack the same.
    std::map<DeltaKey, std::string> compressedDeltas;
    std::vector<std::shared_ptr<FollowedRelay>> followedRelays;
    Timer heldRequestTimer;
    Timer reviewTimer;
    TimePoint lastStoreContactAt;
    std::optional<TimePoint> lastRelayResponseAt;
    TimePoint watchStoreUntil;
    bool watchesStore { false };
    bool isRelay { false };
    bool stopped { false };
};

}
