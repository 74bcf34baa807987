#pragma once

#include "flamingowick/grants/TargetPool.h"
#include "flamingowick/proxy/Sockets.h"
#include "flamingowick/quarantine/CrashLedger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace flamingowick::proxy::wire {
class Datagram;
}

// UDP datagrams between daemons. Messages to the same daemon that are sent in one turn of the event loop share a
// datagram. Any datagram may be lost, duplicated, reordered or delayed.
namespace flamingowick::proxy {

struct GrantRequestMessage {
    std::uint64_t number { 0 };
    // Group of targets that is requested: a service and the part of its targets.
    std::string group;
    grants::GrantRequest request;
    // Digest of the request's content; 0 when unknown.
    std::uint64_t fingerprint { 0 };
    // Time until the attempt's deadline when the message was sent.
    Duration timeLeft { 0 };
};

enum class GrantReplyKind : std::uint8_t {
    Granted,
    Refused,
    Queued,
};

struct GrantReplyMessage {
    GrantReplyKind kind { GrantReplyKind::Queued };
    grants::Decision decision;
};

struct AttemptEndMessage {
    std::uint64_t number { 0 };
    std::string group;
    grants::AttemptOutcome outcome { grants::AttemptOutcome::Abandoned };
    Duration duration { 0 };
};

struct RunningAttemptMessage {
    std::uint64_t number { 0 };
    std::string group;
    std::string instance;
    Duration age { 0 };
    std::uint64_t workload { 0 };
    // As TargetEntry::startedAt.
    std::int64_t targetStartedAt { 0 };
};

// Asks an entry whether it still runs an attempt, which occupies a slot at the sender.
struct AttemptQueryMessage {
    std::uint64_t number { 0 };
};

struct PresenceMessage {
    std::string name;
    std::string address;
    bool leaving { false };
    bool wantsReply { false };
    std::string failureDomain;
    // As FleetMember::linkMbps.
    double linkMbps { 0 };
};

// A target crashed while it ran a request.
struct CrashMessage {
    quarantine::CrashReport report;
    // Time from the start of the attempt.
    Duration age { 0 };
};

// A target has run a request without an error that was suspected to crash targets.
struct SurvivalMessage {
    std::uint64_t fingerprint { 0 };
};

// What a response said of its target's limit on requests. Sent to the group's dispatcher and to those that would take over.
struct TargetLimitMessage {
    std::string instance;
    // Start of the target's incarnation, as TargetEntry::startedAt.
    std::int64_t startedAt { 0 };
    // None if the response named no limit.
    std::optional<double> requestsPerSecond;
};

// Asks the holder of an organisation's allotment for tokens, and returns those that the sender won't use.
struct AllotmentRequestMessage {
    // 0 when the sender only returns tokens.
    std::uint64_t number { 0 };
    std::string organisation;
    // Tokens that are needed now, by requests that wait for them.
    unsigned needed { 0 };
    // Further tokens that the sender expects to use within their lease.
    unsigned ahead { 0 };
    // Tokens of earlier leases that the sender returns unused.
    unsigned returned { 0 };
};

struct AllotmentReplyMessage {
    std::uint64_t number { 0 };
    std::string organisation;
    // Fewer than needed when the organisation is at its allotment.
    unsigned lent { 0 };
    // How long the tokens may be used.
    Duration lease { 0 };
    // Time until further tokens are expected. Set when fewer were lent than needed.
    Duration retryAfter { 0 };
};

// Origin of a datagram.
struct PeerSource {
    // Incarnation of the daemon: differs after each restart.
    std::uint64_t incarnation { 0 };
    std::string address;
};

struct PeerHandlers {
    std::function<void(const PeerSource&, const GrantRequestMessage&)> onGrantRequest;
    std::function<void(const PeerSource&, const GrantReplyMessage&)> onGrantReply;
    std::function<void(const PeerSource&, const AttemptEndMessage&)> onAttemptEnd;
    std::function<void(const PeerSource&, const RunningAttemptMessage&)> onRunningAttempt;
    std::function<void(const PeerSource&, const AttemptQueryMessage&)> onAttemptQuery;
    std::function<void(const PeerSource&, const PresenceMessage&)> onPresence;
    std::function<void(const PeerSource&, const CrashMessage&)> onCrash;
    std::function<void(const PeerSource&, const SurvivalMessage&)> onSurvival;
    std::function<void(const PeerSource&, const quarantine::QuarantineNotice&)> onQuarantine;
    std::function<void(const PeerSource&, const TargetLimitMessage&)> onTargetLimit;
    std::function<void(const PeerSource&, const AllotmentRequestMessage&)> onAllotmentRequest;
    std::function<void(const PeerSource&, const AllotmentReplyMessage&)> onAllotmentReply;
};

class PeerLink {
public:
    // Binds a UDP socket to the address and starts receiving; the handlers run on the io_context. incarnation
    // is carried by all datagrams. Throws SettingsError 111 for an invalid address, PeerError 300 when the
    // socket can't be bound.
    PeerLink(asio::io_context&, std::string_view address, std::uint64_t incarnation, PeerHandlers);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    void send(const std::string& address, const GrantRequestMessage&);
    void send(const std::string& address, const GrantReplyMessage&);
    void send(const std::string& address, const AttemptEndMessage&);
    void send(const std::string& address, const RunningAttemptMessage&);
    void send(const std::string& address, const AttemptQueryMessage&);
    void send(const std::string& address, const PresenceMessage&);
    void send(const std::string& address, const CrashMessage&);
    void send(const std::string& address, const SurvivalMessage&);
    void send(const std::string& address, const quarantine::QuarantineNotice&);
    void send(const std::string& address, const TargetLimitMessage&);
    void send(const std::string& address, const AllotmentRequestMessage&);
    void send(const std::string& address, const AllotmentReplyMessage&);

    // Sends all pending datagrams now. Otherwise they are sent by a handler that the first message posted.
    void flush();

    std::uint64_t sentDatagrams() const noexcept { return this->sentCount; }
    std::uint64_t malformedDatagrams() const noexcept { return this->malformedCount; }

private:
    wire::Datagram& pendingDatagramTo(const std::string& address);
    void receive();
    void receiveAvailable();
    void handleDatagram(std::string_view bytes, const asio::ip::udp::endpoint& from);

    asio::io_context& context;
    asio::ip::udp::socket socket;
    std::uint64_t incarnation;
    PeerHandlers handlers;
    std::map<std::string, wire::Datagram> pendingDatagrams;
    bool flushScheduled { false };
    std::string buffer;
    std::uint64_t sentCount { 0 };
    std::uint64_t malformedCount { 0 };
    // Expires with the link, so that a posted flush that runs later does nothing.
    std::shared_ptr<char> alive { std::make_shared<char>() };
};

}
