#pragma once

#include "flamingowick/proxy/CallerServer.h"
#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/HttpClient.h"
#include "flamingowick/proxy/StateCache.h"
#include "flamingowick/telemetry/EventLog.h"

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>

// Distributes the store's state without every daemon watching the store: in each failure domain a few daemons,
// the relays, watch the store, and the others follow two relays each by long polling. A follower that reaches no
// relay with a current connection to the store watches the store itself.
namespace flamingowick::proxy {

struct FeedLimits {
    // How long a relay holds a request while there are no changes. It then answers without any, which shows the
    // follower that the relay is reachable.
    std::chrono::milliseconds hold { 500 };
    // Time beyond the hold in which the relay's answer has to arrive.
    Duration answerSlack { std::chrono::milliseconds(350) };
    // A follower watches the store itself when its last known contact with the store, direct or through a relay, is
    // older than this. Leaves most of the time in which a new configuration has to be in force.
    Duration contactLimit { std::chrono::milliseconds(1300) };
    // Minimum time for which it then watches the store, so that an unstable relay doesn't make it switch back and
    // forth.
    Duration leastDirect { std::chrono::seconds(3) };
    // Relays that each follower polls, and the number of daemons of a failure domain for which there is one relay; a
    // domain has at least as many relays as a follower polls.
    std::size_t relaysAsked { 2 };
    std::size_t daemonsForEachRelay { 24 };
    // Delay between an answer with changes and the next request, so that changes in quick succession are sent together.
    Duration newsPause { std::chrono::milliseconds(20) };
    // Delay before the next request after a failed one.
    Duration failurePause { std::chrono::milliseconds(200) };
};

struct FeedPorts {
    // Starts or stops watching the store. Called only when that changes.
    std::function<void(bool)> watchStore;
    // Applies received changes, which are in no particular order; the cache contains them already. The duration is how
    // long the sender of the changes has been connected to the store without interruption; zero when that isn't known.
    std::function<void(StateKind, const std::vector<StateChange>&, Duration storeConnectedFor)> apply;
    // Returns for how long this daemon has been connected to the store without interruption.
    std::function<Duration()> inTouchFor;
    // Called with the name of a relay that did not answer, or answered with an error.
    std::function<void(const std::string&)> silent;
};

// Returns the relays for daemons of a failure domain, the preferred ones first. Where the domain has no member that can
// be a relay, they are chosen from all domains. Linear in the members.
std::vector<std::string> relaysOf(Fleet&, std::string_view failureDomain, const FeedLimits&);

class StateFeed {
public:
    // Serves followers at the TCP address. Throws GatewayError 400 when the address can't be opened.
    StateFeed(asio::io_context&, std::string_view address, std::string failureDomain, Fleet&, telemetry::EventLog&, FeedPorts);
    ~StateFeed();
    StateFeed(const StateFeed&) = delete;
    StateFeed& operator=(const StateFeed&) = delete;

    // Apply a snapshot or changes that this daemon received from the store itself.
    void takeWhole(StateKind, std::uint64_t revision, std::span<const StateObject>);
    void takeChanges(StateKind, std::uint64_t revision, std::span<const StateChange>);

    // Records that the store has answered this daemon.
    void storeAnswered();

    // Decides whether this daemon is a relay, which relays it follows and whether it watches the store. To be called
    // when the membership becomes known or changes.
    void review();

    const KindCache& cacheOf(StateKind kind) const { return this->caches.at(static_cast<std::size_t>(kind)); }

    bool watching() const noexcept { return this->direct; }

    // Returns whether this daemon is no relay and receives the store's state through one, that is, whether a relay has
    // answered within the time in which a request has to be answered.
    bool servedByRelays() const;

    void stop();

private:
    struct Held {
        std::shared_ptr<CallerConnection> connection;
        std::array<std::uint64_t, allStateKinds.size()> seen {};
        TimePoint due;
    };
    struct Followed;

    void takeQuestion(const std::shared_ptr<CallerConnection>&);
    void answer(Held&);
    void answerHeld(bool dueOnly);
    void planHeld();
    void follow(const std::shared_ptr<Followed>&);
    void takeAnswer(const std::shared_ptr<Followed>&, const HttpReply&);
    void applied(StateKind, const std::vector<StateChange>&, Duration storeConnectedFor);
    Duration contactAge() const;
    void planReview();

    asio::io_context& io;
    std::string failureDomain;
    Fleet& fleet;
    telemetry::EventLog& log;
    FeedPorts ports;
    FeedLimits limits;
    std::array<KindCache, allStateKinds.size()> caches;
    std::unique_ptr<CallerServer> server;
    std::list<Held> held;
    std::vector<std::shared_ptr<Followed>> followed;
    Timer heldTimer;
    Timer reviewTimer;
    TimePoint lastContact;
    std::optional<TimePoint> lastRelayAnswer;
    TimePoint directUntil;
    bool direct { false };
    bool isRelay { false };
    bool stopped { false };
};

}
