#pragma once

#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/daemon/DispatchService.h"
#include "flamingowick/daemon/EntryService.h"
#include "flamingowick/peers/PeerTransport.h"

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
    // Starts to watch the platform and to greet the seeds through the ports.
    Core(DaemonSettings, const DaemonId&, Ports, TimePoint now);

    // Takes in one input. Throws InvariantViolation when a promise is broken; the process must then
    // stop.
    void handle(CoreInput, TimePoint now);

    // Does what time calls for. Expected every tickInterval.
    void tick(TimePoint now);

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
    void receiveMessage(const peers::Envelope&, peers::Heartbeat&, TimePoint now);

    void receiveDocument(const platform::Object&, TimePoint now);
    void receiveTargetList(const platform::Object&, TimePoint now);
    void loseMember(const Member&, TimePoint now);
    void sendHeartbeats(TimePoint now);
    void continueShutdown(TimePoint now);
    bool isReady() const;

    CoreContext context;
    EntryService entry;
    DispatchService dispatch;
    TimePoint nextHeartbeat;
    bool documentsSeen { false };
    std::optional<TimePoint> shutdownStarted;
    bool acceptingStopped { false };
    bool finished { false };
};

inline constexpr std::chrono::milliseconds tickInterval { 10 };

}
