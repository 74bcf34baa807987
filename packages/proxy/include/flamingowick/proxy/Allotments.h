#pragma once

#include "flamingowick/organisations/Allotment.h"
#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/PeerLink.h"
#include "flamingowick/proxy/ProxySettings.h"
#include "flamingowick/telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// Connects the allotments of organisations to the fleet: which daemon holds one, the datagrams to it, timers, and this
// daemon's own part as a holder.
namespace flamingowick::proxy {

// Whether a request is within the allotment of its organisation.
struct AllotmentDecision {
    bool admitted { false };
    // Delay after which another request is likely to be. Set when not admitted.
    Duration retryAfter { 0 };
    // No holder was reached.
    bool alone { false };
};

// What this daemon knows of the use of an allotment, for log lines.
struct AllotmentUse {
    // Requests per second that arrive at this daemon, and tokens per second that it was lent; decaying averages.
    double askedPerSecond { 0 };
    double lentPerSecond { 0 };
    // Daemon that replied last, and how long ago; no name if none has.
    std::string holder;
    Duration age { 0 };
};

struct AllotmentCallbacks {
    std::function<void(const std::string& address, const AllotmentRequestMessage&)> sendRequest;
    std::function<void(const std::string& address, const AllotmentReplyMessage&)> sendReply;
    // Returns the allotment by the applied configuration; none if it doesn't name the organisation.
    std::function<std::optional<organisations::Allotment>(std::string_view organisation)> findAllotment;
    // Called when a request that had to wait is decided, with the number that spend() was given.
    std::function<void(std::uint64_t request, const AllotmentDecision&)> onDecision;
    // Returns the organisation's label in metrics.
    std::function<std::string(std::string_view organisation)> labelOf;
};

class Allotments {
public:
    // The fleet and the metrics have to outlive this object.
    Allotments(asio::io_context&, const ProxySettings&, std::uint64_t incarnation, Fleet&, telemetry::Metrics&, AllotmentCallbacks);
    ~Allotments();
    Allotments(const Allotments&) = delete;
    Allotments& operator=(const Allotments&) = delete;

    // Spends a token for a request. None: the request waits, and onDecision follows unless it is cancelled before.
    // Logarithmic in the active organisations if a token is at hand.
    std::optional<AllotmentDecision> spend(const std::string& organisation, const organisations::Allotment&, std::uint64_t request);

    // Forgets a request that waits.
    void cancel(std::string_view organisation, std::uint64_t request);

    // Gives back the token of a request that has not run and won't.
    void giveBack(std::string_view organisation);

    AllotmentUse useOf(std::string_view organisation) const;

    // Handle the datagrams of other daemons.
    void handleRequest(const PeerSource&, const AllotmentRequestMessage&);
    void handleReply(const PeerSource&, const AllotmentReplyMessage&);

    // Handles that the members of the fleet have changed, or which of them this daemon can reach.
    void handleFleetChange();

    // Handles a change of the configuration; hasLimits: some organisation has a limit.
    void handleConfigurationChange(bool hasLimits);

    void setBound(const organisations::AllotmentBound&);

    // Organisations whose allotment this daemon holds, and of which it has state as an entry.
    std::size_t heldCount() const noexcept { return this->holder.held.size(); }
    std::size_t usedCount() const noexcept { return this->user.borrowed.size(); }

private:
    struct Place {
        // The members that go first in the rendezvous order, whether they can be reached or not.
        std::vector<std::string> candidates;
        std::uint64_t membershipVersion { 0 };
        // This daemon was the first that it can reach when it lent last, or at the last change of the fleet.
        bool holding { false };
        std::string lastHolder;
        TimePoint lastReplyAt;
    };

    Place& placeOf(std::string_view organisation);
    // Returns the members that hold the allotment, by preference, as far as this daemon can reach them.
    std::vector<std::string> holdersOf(std::string_view organisation);
    organisations::TokenReply lendHere(const organisations::Allotment&, const organisations::TokenRequest&);
    void transmit(const organisations::OutgoingTokenRequest&, std::vector<organisations::SpendDecision>&);
    void absorb(const organisations::SettledSpends&, std::vector<organisations::SpendDecision>&);
    void deliver(const std::vector<organisations::SpendDecision>&);
    // Forgets what it holds if the process has stood still, so that others may have lent meanwhile.
    void checkStandstill(TimePoint now);
    void updateMembers(TimePoint now);
    void scheduleTimer();
    void scheduleTick();

    Fleet& fleet;
    telemetry::Metrics& metrics;
    AllotmentCallbacks callbacks;
    organisations::AllotmentHolder holder;
    organisations::AllotmentUser user;
    std::map<std::string, Place, std::less<>> places;
    // Addresses of the daemons whose requests are relayed, by incarnation.
    std::map<std::uint64_t, std::string> addresses;
    // The whole fleet started with this daemon, which has missed no member since.
    bool fleetStarting { false };
    std::uint64_t membersDigest { 0 };
    std::vector<std::string> memberNames;
    // Part of the members that this daemon is in touch with.
    double share { 1 };
    // Until when members that are gone are counted as daemons that may spend without a holder.
    TimePoint goneCountUntil;
    Timer timer;
    std::optional<TimePoint> timerSetFor;
    Timer tickTimer;
    bool ticking { false };
    TimePoint tickDueAt;
    // Expires with this object; handlers check it before they use the object.
    std::shared_ptr<char> lifetimeToken { std::make_shared<char>() };
};

}
