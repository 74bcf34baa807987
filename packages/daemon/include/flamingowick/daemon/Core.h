#pragma once

#include "flamingowick/daemon/AdminService.h"
#include "flamingowick/daemon/ConfigurationService.h"
#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/daemon/DispatchService.h"
#include "flamingowick/daemon/EntryService.h"
#include "flamingowick/daemon/ForwardService.h"
#include "flamingowick/daemon/KeyService.h"
#include "flamingowick/daemon/ListService.h"
#include "flamingowick/daemon/MembershipService.h"

#include <variant>

// The core of a daemon: all roles and all state, on one thread. Other threads hand it inputs
// through a bounded ring; it acts through ports.
namespace flamingowick::daemon {

struct CallerRequest {
    gateway::HttpRequest request;
};

struct CallerGone {
    gateway::ExchangeToken token { 0 };
};

struct AdminRequest {
    gateway::HttpRequest request;
};

struct PeerNotSent {
    std::string address;
    peers::Message message;
};

struct PeerLinkLost {
    std::string address;
};

// SIGTERM was received.
struct ShutdownRequested { };

using CoreInput = std::variant<CallerRequest, CallerGone, AdminRequest, peers::Envelope, PeerNotSent, PeerLinkLost,
    gateway::AttemptResult, platform::Result, ShutdownRequested>;

class Core {
public:
    // secret makes the keys that this daemon issues hard to guess.
    Core(DaemonSettings, const DaemonId&, Ports, std::uint64_t secret, TimePoint now);

    // Takes in one input. Throws InvariantViolation when a promise is broken; the process must then
    // stop.
    void handle(CoreInput, TimePoint now);

    // Does what time calls for. Expected every tickInterval.
    void tick(TimePoint now);

    // Returns whether the balancer may send callers here.
    bool ready() const;

private:
    void receive(CallerRequest&, TimePoint now);
    void receive(CallerGone&, TimePoint now);
    void receive(AdminRequest&, TimePoint now);
    void receive(peers::Envelope&, TimePoint now);
    void receive(PeerNotSent&, TimePoint now);
    void receive(PeerLinkLost&, TimePoint now);
    void receive(gateway::AttemptResult&, TimePoint now);
    void receive(platform::Result&, TimePoint now);
    void receive(ShutdownRequested&, TimePoint now);

    void receiveMessage(const peers::Envelope&, peers::ForwardRequest&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::ForwardAnswer&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::ForwardCancel&, TimePoint now);
    void receiveMessage(const peers::Envelope&, membership::Message&, TimePoint now);
    void receiveMessage(const peers::Envelope&, keys::KeyedRequest&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::KeyedAnswer&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::KeyedRefusal&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::KeyedCancel&, TimePoint now);
    void receiveMessage(const peers::Envelope&, keys::HandedRange&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::HandedRangeAcknowledged&, TimePoint now);
    void receiveMessage(const peers::Envelope&, keys::HandedEntryFinished&, TimePoint now);
    void receiveMessage(const peers::Envelope&, keys::OwnerAnnounced&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::KeyHeartbeat&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::HealthSummary&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::ServiceCrashReport&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::ServiceQuarantine&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::LeavingNotice&, TimePoint now);
    void receiveMessage(const peers::Envelope&, peers::TargetListShare&, TimePoint now);
    void receiveMessage(const peers::Envelope&, configuration::PeerMessage&, TimePoint now);

    EntryNeighbours entryNeighbours();
    ForwardNeighbours forwardNeighbours();
    KeyNeighbours keyNeighbours();
    MembershipHandlers membershipHandlers();
    void issueKey(gateway::ExchangeToken, TimePoint now);
    void documentChanged(const std::string& service);
    void continueShutdown(TimePoint now);
    void giveUpDeparted(TimePoint now);

    CoreContext context;
    PlatformCalls calls;
    EntryService entry;
    ForwardService forwards;
    DispatchService dispatch;
    KeyService keyService;
    ConfigurationService configurationService;
    ListService lists;
    MembershipService membershipService;
    AdminService admin;
    std::optional<TimePoint> shutdownStarted;
    bool acceptingStopped { false };
    // Since when the others have been told that this daemon leaves.
    std::optional<TimePoint> leavingSince;
    bool finished { false };
    // Daemons that have left, and since when.
    std::vector<std::pair<DaemonId, TimePoint>> departed;
};

inline constexpr std::chrono::milliseconds tickInterval { 10 };

// Callers POST here to get a key that names its owner.
inline constexpr std::string_view issueKeyPath = "/.well-known/flamingowick/keys";

}
