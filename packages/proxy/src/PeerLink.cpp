#include "flamingowick/proxy/PeerLink.h"

#include "flamingowick/model/Error.h"

#include <asio/post.hpp>
#include <grants.pb.h>

#include <cmath>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t maxDatagramBytes = 60'000;
    // Datagrams read from the socket before other handlers run.
    constexpr int maxDatagramsPerWakeup = 32;

    std::uint32_t toMilliseconds(Duration duration)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(duration).count()));
    }

    template <typename Enum>
    Enum boundedEnum(std::uint32_t value, Enum last)
    {
        return value <= static_cast<std::uint32_t>(last) ? static_cast<Enum>(value) : last;
    }

    // Returns a link's bandwidth as stated, 0 for what can't be one.
    double boundedLink(double linkMbps)
    {
        return std::isfinite(linkMbps) && linkMbps > 0 ? linkMbps : 0;
    }

    GrantRequestMessage readGrantRequest(const wire::Ask& wireRequest, std::uint64_t incarnation, TimePoint now)
    {
        GrantRequestMessage message;
        message.number = wireRequest.number();
        message.group = wireRequest.service();
        message.fingerprint = wireRequest.fingerprint();
        message.timeLeft = milliseconds(wireRequest.left());
        grants::GrantRequest& request = message.request;
        request.attemptId = { incarnation, wireRequest.number() };
        request.requestId = wireRequest.request();
        request.priority = wireRequest.rank();
        request.isRetry = wireRequest.repeat();
        request.isHedge = wireRequest.hedge();
        request.earnsRetryCredit = wireRequest.earns_retry_credit();
        request.idempotent = wireRequest.idempotent();
        request.workload = wireRequest.workload();
        request.organisation = wireRequest.organisation();
        request.largeResponse = wireRequest.large_response();
        request.deadline = now + message.timeLeft;
        request.latencyObjective = milliseconds(wireRequest.objective());
        request.failureDomain = wireRequest.failure_domain();
        request.excludedInstances.assign(wireRequest.avoid().begin(), wireRequest.avoid().end());
        request.idleConnectionInstances.assign(wireRequest.warm().begin(), wireRequest.warm().end());
        return message;
    }

    GrantReplyMessage readGrantReply(const wire::Word& wireReply)
    {
        GrantReplyMessage message;
        message.kind = boundedEnum(wireReply.verdict(), GrantReplyKind::Queued);
        grants::Decision& decision = message.decision;
        decision.attemptId.number = wireReply.number();
        decision.kind = message.kind == GrantReplyKind::Granted ? grants::DecisionKind::Granted : grants::DecisionKind::Refused;
        decision.instance = wireReply.instance();
        decision.reason = boundedEnum(wireReply.reason(), grants::RefusalReason::RequestQuarantined);
        decision.retryAfter = milliseconds(wireReply.retry_after());
        decision.suspicionAge = milliseconds(wireReply.unusual_after());
        decision.failureProbability = wireReply.failing();
        decision.inFlight = wireReply.in_flight();
        decision.queueLength = wireReply.waiting();
        decision.limited = wireReply.limited();
        return message;
    }

}

PeerLink::PeerLink(asio::io_context& ioContext, std::string_view address, std::uint64_t daemonIncarnation, PeerHandlers peerHandlers)
    : context(ioContext)
    , socket(ioContext)
    , incarnation(daemonIncarnation)
    , handlers(std::move(peerHandlers))
    , buffer(maxDatagramBytes, '\0')
{
    const asio::ip::udp::endpoint endpoint = parseUdpEndpoint(address);
    asio::error_code error;
    this->socket.open(endpoint.protocol(), error);
    if (!error)
        this->socket.bind(endpoint, error);
    if (!error)
        this->socket.non_blocking(true, error);
    if (error)
        throw PeerError(300, "can't bind UDP socket to " + std::string(address) + ": " + error.message());
    this->receive();
}

PeerLink::~PeerLink() = default;

wire::Datagram& PeerLink::pendingDatagramTo(const std::string& address)
{
    if (!this->flushScheduled) {
        this->flushScheduled = true;
        asio::post(this->context, [this, alive = std::weak_ptr<char>(this->alive)] {
            if (!alive.expired())
                this->flush();
        });
    }
    return this->pendingDatagrams[address];
}

void PeerLink::send(const std::string& address, const GrantRequestMessage& message)
{
    wire::Ask& wireRequest = *this->pendingDatagramTo(address).add_asks();
    wireRequest.set_number(message.number);
    wireRequest.set_service(message.group);
    wireRequest.set_request(message.request.requestId);
    wireRequest.set_rank(message.request.priority);
    wireRequest.set_organisation(message.request.organisation);
    wireRequest.set_large_response(message.request.largeResponse);
    wireRequest.set_repeat(message.request.isRetry);
    wireRequest.set_hedge(message.request.isHedge);
    wireRequest.set_earns_retry_credit(message.request.earnsRetryCredit);
    wireRequest.set_idempotent(message.request.idempotent);
    wireRequest.set_workload(static_cast<std::uint32_t>(message.request.workload));
    wireRequest.set_left(toMilliseconds(message.timeLeft));
    wireRequest.set_objective(toMilliseconds(message.request.latencyObjective));
    wireRequest.set_failure_domain(message.request.failureDomain);
    wireRequest.set_fingerprint(message.fingerprint);
    for (const std::string& instance : message.request.excludedInstances)
        wireRequest.add_avoid(instance);
    for (const std::string& instance : message.request.idleConnectionInstances)
        wireRequest.add_warm(instance);
}

void PeerLink::send(const std::string& address, const GrantReplyMessage& message)
{
    wire::Word& wireReply = *this->pendingDatagramTo(address).add_words();
    const grants::Decision& decision = message.decision;
    wireReply.set_number(decision.attemptId.number);
    wireReply.set_verdict(static_cast<std::uint32_t>(message.kind));
    wireReply.set_instance(decision.instance);
    wireReply.set_reason(static_cast<std::uint32_t>(decision.reason));
    wireReply.set_retry_after(toMilliseconds(decision.retryAfter));
    wireReply.set_unusual_after(toMilliseconds(decision.suspicionAge));
    wireReply.set_failing(static_cast<float>(decision.failureProbability));
    wireReply.set_in_flight(decision.inFlight);
    wireReply.set_waiting(static_cast<std::uint32_t>(decision.queueLength));
    wireReply.set_limited(decision.limited);
}

void PeerLink::send(const std::string& address, const AttemptEndMessage& message)
{
    wire::End& end = *this->pendingDatagramTo(address).add_ends();
    end.set_number(message.number);
    end.set_service(message.group);
    end.set_outcome(static_cast<std::uint32_t>(message.outcome));
    end.set_lasted(toMilliseconds(message.duration));
}

void PeerLink::send(const std::string& address, const RunningAttemptMessage& message)
{
    wire::Running& running = *this->pendingDatagramTo(address).add_running();
    running.set_number(message.number);
    running.set_service(message.group);
    running.set_instance(message.instance);
    running.set_age(toMilliseconds(message.age));
    running.set_workload(static_cast<std::uint32_t>(message.workload));
    running.set_target_started_at(message.targetStartedAt);
}

void PeerLink::send(const std::string& address, const AttemptQueryMessage& message)
{
    this->pendingDatagramTo(address).add_queried_attempts(message.number);
}

void PeerLink::send(const std::string& address, const PresenceMessage& message)
{
    wire::Presence& presence = *this->pendingDatagramTo(address).mutable_presence();
    presence.set_name(message.name);
    presence.set_address(message.address);
    presence.set_leaving(message.leaving);
    presence.set_wants_reply(message.wantsReply);
    presence.set_failure_domain(message.failureDomain);
    presence.set_link_mbps(message.linkMbps);
}

void PeerLink::send(const std::string& address, const CrashMessage& message)
{
    wire::Crash& crash = *this->pendingDatagramTo(address).add_crashes();
    crash.set_fingerprint(message.report.fingerprint);
    crash.set_instance(message.report.target);
    crash.set_age(toMilliseconds(message.age));
}

void PeerLink::send(const std::string& address, const SurvivalMessage& message)
{
    this->pendingDatagramTo(address).add_survivals(message.fingerprint);
}

void PeerLink::send(const std::string& address, const quarantine::QuarantineNotice& notice)
{
    wire::Quarantine& refusal = *this->pendingDatagramTo(address).add_quarantines();
    refusal.set_fingerprint(notice.fingerprint);
    refusal.set_remaining(toMilliseconds(notice.remaining));
}

void PeerLink::send(const std::string& address, const TargetLimitMessage& message)
{
    wire::TargetLimit& limit = *this->pendingDatagramTo(address).add_target_limits();
    limit.set_instance(message.instance);
    limit.set_started_at(message.startedAt);
    limit.set_named(message.requestsPerSecond.has_value());
    limit.set_requests_per_second(message.requestsPerSecond.value_or(0));
}

void PeerLink::send(const std::string& address, const AllotmentRequestMessage& message)
{
    wire::AllotmentAsk& ask = *this->pendingDatagramTo(address).add_allotment_asks();
    ask.set_number(message.number);
    ask.set_organisation(message.organisation);
    ask.set_needed(message.needed);
    ask.set_ahead(message.ahead);
    ask.set_returned(message.returned);
}

void PeerLink::send(const std::string& address, const AllotmentReplyMessage& message)
{
    wire::AllotmentWord& word = *this->pendingDatagramTo(address).add_allotment_words();
    word.set_number(message.number);
    word.set_organisation(message.organisation);
    word.set_lent(message.lent);
    word.set_lease(toMilliseconds(message.lease));
    word.set_retry_after(toMilliseconds(message.retryAfter));
}

void PeerLink::flush()
{
    this->flushScheduled = false;
    for (auto& [address, datagram] : this->pendingDatagrams) {
        datagram.set_sender(this->incarnation);
        const std::string bytes = datagram.SerializeAsString();
        asio::error_code ignored;
        // A datagram that can't be sent is treated like a lost one: the protocol tolerates both.
        this->socket.send_to(asio::buffer(bytes), parseUdpEndpoint(address), 0, ignored);
        ++this->sentCount;
    }
    this->pendingDatagrams.clear();
}

void PeerLink::receive()
{
    this->socket.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& error) {
        if (error == asio::error::operation_aborted)
            return;
        this->receiveAvailable();
        this->receive();
    });
}

void PeerLink::receiveAvailable()
{
    for (int count = 0; count < maxDatagramsPerWakeup; ++count) {
        asio::ip::udp::endpoint from;
        asio::error_code error;
        const std::size_t size = this->socket.receive_from(asio::buffer(this->buffer), from, 0, error);
        if (error)
            return;
        this->handleDatagram(std::string_view(this->buffer).substr(0, size), from);
    }
}

void PeerLink::handleDatagram(std::string_view bytes, const asio::ip::udp::endpoint& from)
{
    wire::Datagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        ++this->malformedCount;
        return;
    }
    const PeerSource source { datagram.sender(), from.address().to_string() + ":" + std::to_string(from.port()) };
    const TimePoint now = Clock::now();
    if (datagram.has_presence()) {
        const wire::Presence& presence = datagram.presence();
        this->handlers.onPresence(source, { presence.name(), presence.address(), presence.leaving(), presence.wants_reply(), presence.failure_domain(), boundedLink(presence.link_mbps()) });
    }
    // Refusals and crashes are handled before grant requests, which they may concern.
    for (const wire::Quarantine& refusal : datagram.quarantines())
        this->handlers.onQuarantine(source, { refusal.fingerprint(), milliseconds(refusal.remaining()) });
    for (const wire::Crash& crash : datagram.crashes())
        this->handlers.onCrash(source, { { crash.fingerprint(), crash.instance() }, milliseconds(crash.age()) });
    for (const std::uint64_t fingerprint : datagram.survivals())
        this->handlers.onSurvival(source, { fingerprint });
    for (const wire::Running& running : datagram.running())
        this->handlers.onRunningAttempt(source, { running.number(), running.service(), running.instance(), milliseconds(running.age()), running.workload(), running.target_started_at() });
    // Limits are handled before the ends of attempts, after which further requests are granted.
    for (const wire::TargetLimit& limit : datagram.target_limits()) {
        const double perSecond = limit.requests_per_second();
        if (std::isfinite(perSecond) && perSecond >= 0)
            this->handlers.onTargetLimit(source, { limit.instance(), limit.started_at(), limit.named() ? std::optional<double>(perSecond) : std::nullopt });
    }
    // Ends of attempts are handled before grant requests, because they free slots for them.
    for (const wire::End& end : datagram.ends())
        this->handlers.onAttemptEnd(source, { end.number(), end.service(), boundedEnum(end.outcome(), grants::AttemptOutcome::Abandoned), milliseconds(end.lasted()) });
    for (const wire::Ask& wireRequest : datagram.asks())
        this->handlers.onGrantRequest(source, readGrantRequest(wireRequest, datagram.sender(), now));
    for (const wire::Word& wireReply : datagram.words())
        this->handlers.onGrantReply(source, readGrantReply(wireReply));
    for (const wire::AllotmentAsk& ask : datagram.allotment_asks())
        this->handlers.onAllotmentRequest(source, { ask.number(), ask.organisation(), ask.needed(), ask.ahead(), ask.returned() });
    for (const wire::AllotmentWord& word : datagram.allotment_words())
        this->handlers.onAllotmentReply(source, { word.number(), word.organisation(), word.lent(), milliseconds(word.lease()), milliseconds(word.retry_after()) });
    for (const std::uint64_t number : datagram.queried_attempts())
        this->handlers.onAttemptQuery(source, { number });
}

}
