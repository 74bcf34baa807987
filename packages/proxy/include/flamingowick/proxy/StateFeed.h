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

// How the store's state reaches every daemon without every daemon asking the store: a few daemons in
// each failure domain watch the store, and the others follow two of these. A daemon that has heard from
// none that is in touch with the store watches for itself.
namespace flamingowick::proxy {

struct FeedLimits {
    // How long a relay holds a question without news; its answer is the sign that it is there.
    std::chrono::milliseconds hold { 500 };
    // Beyond the hold, for the answer to arrive.
    Duration answerSlack { std::chrono::milliseconds(350) };
    // Without word of the store for so long, a follower watches for itself. Leaves most of the time in
    // which a new configuration must be in force.
    Duration contactLimit { std::chrono::milliseconds(1300) };
    // How long it then goes on, so that a relay that comes and goes doesn't make it come and go.
    Duration leastDirect { std::chrono::seconds(3) };
    // Relays that a follower asks, and daemons that share a relay pair.
    std::size_t relaysAsked { 2 };
    std::size_t daemonsForEachRelay { 24 };
    // Pause after an answer with news, so that changes in quick succession travel together.
    Duration newsPause { std::chrono::milliseconds(20) };
    // Pause after a failed question.
    Duration failurePause { std::chrono::milliseconds(200) };
};

struct FeedPorts {
    // Starts or stops to watch the store. Called only when that changes.
    std::function<void(bool)> watchStore;
    // The changes that have come, in any order; the cache holds them already. Tells for how long who told
    // of them has been in touch with the store without a break; zero when that isn't known.
    std::function<void(StateKind, const std::vector<StateChange>&, Duration inTouchFor)> apply;
    // For how long this daemon has been in touch with the store without a break.
    std::function<Duration()> inTouchFor;
    // A member did not answer.
    std::function<void(const std::string&)> silent;
};

// The relays of a daemon's failure domain, best first; those of all domains where it has none. Linear in
// the members.
std::vector<std::string> relaysOf(Fleet&, std::string_view failureDomain, const FeedLimits&);

class StateFeed {
public:
    // Serves peers at the address. Throws GatewayError 400 when it can't be opened.
    StateFeed(asio::io_context&, std::string_view address, std::string failureDomain, Fleet&, telemetry::EventLog&, FeedPorts);
    ~StateFeed();
    StateFeed(const StateFeed&) = delete;
    StateFeed& operator=(const StateFeed&) = delete;

    // Take in what the store said.
    void takeWhole(StateKind, std::uint64_t revision, std::span<const StateObject>);
    void takeChanges(StateKind, std::uint64_t revision, std::span<const StateChange>);

    // The store has answered this daemon.
    void storeAnswered();

    // The membership is known or has changed: roles may have.
    void review();

    const KindCache& cacheOf(StateKind kind) const { return this->caches.at(static_cast<std::size_t>(kind)); }

    bool watching() const noexcept { return this->direct; }

    // Whether a relay has answered this daemon of late, so that it hears of the store through others.
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
    void applied(StateKind, const std::vector<StateChange>&, Duration inTouchFor);
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
