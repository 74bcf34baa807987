#include "flamingowick/proxy/PeerLink.h"

#include "flamingowick/model/Error.h"

#include <asio/post.hpp>
#include <grants.pb.h>

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

    AskMessage readGrantRequest(const wire::Ask& ask, std::uint64_t sender, TimePoint now)
    {
        AskMessage message;
        message.number = ask.number();
        message.group = ask.service();
        message.left = milliseconds(ask.left());
        grants::GrantRequest& request = message.request;
        request.key = { sender, ask.number() };
        request.label = ask.request();
        request.rank = ask.rank();
        request.repeat = ask.repeat();
        request.idempotent = ask.idempotent();
        request.workload = ask.workload();
        request.deadline = now + message.left;
        request.objective = milliseconds(ask.objective());
        request.failureDomain = ask.failure_domain();
        request.avoid.assign(ask.avoid().begin(), ask.avoid().end());
        request.warm.assign(ask.warm().begin(), ask.warm().end());
        return message;
    }

    WordMessage readGrantReply(const wire::Word& word)
    {
        WordMessage message;
        message.kind = boundedEnum(word.verdict(), WordKind::Waits);
        grants::Decision& decision = message.decision;
        decision.key.number = word.number();
        decision.verdict = message.kind == WordKind::Granted ? grants::Verdict::Granted : grants::Verdict::Refused;
        decision.instance = word.instance();
        decision.reason = boundedEnum(word.reason(), grants::RefusalReason::NoRetry);
        decision.retryAfter = milliseconds(word.retry_after());
        decision.unusualAfter = milliseconds(word.unusual_after());
        decision.failing = word.failing();
        decision.inFlight = word.in_flight();
        decision.waiting = word.waiting();
        return message;
    }

}

PeerLink::PeerLink(asio::io_context& ioContext, std::string_view address, std::uint64_t senderId, PeerHandlers peerHandlers)
    : context(ioContext)
    , socket(ioContext)
    , sender(senderId)
    , handlers(std::move(peerHandlers))
    , buffer(maxDatagramBytes, '\0')
{
    const asio::ip::udp::endpoint endpoint = udpEndpoint(address);
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

wire::Datagram& PeerLink::datagramTo(const std::string& address)
{
    if (!this->flushPlanned) {
        this->flushPlanned = true;
        asio::post(this->context, [this, alive = std::weak_ptr<char>(this->alive)] {
            if (!alive.expired())
                this->flush();
        });
    }
    return this->gathered[address];
}

void PeerLink::send(const std::string& address, const AskMessage& message)
{
    wire::Ask& ask = *this->datagramTo(address).add_asks();
    ask.set_number(message.number);
    ask.set_service(message.group);
    ask.set_request(message.request.label);
    ask.set_rank(message.request.rank);
    ask.set_repeat(message.request.repeat);
    ask.set_idempotent(message.request.idempotent);
    ask.set_workload(static_cast<std::uint32_t>(message.request.workload));
    ask.set_left(toMilliseconds(message.left));
    ask.set_objective(toMilliseconds(message.request.objective));
    ask.set_failure_domain(message.request.failureDomain);
    for (const std::string& instance : message.request.avoid)
        ask.add_avoid(instance);
    for (const std::string& instance : message.request.warm)
        ask.add_warm(instance);
}

void PeerLink::send(const std::string& address, const WordMessage& message)
{
    wire::Word& word = *this->datagramTo(address).add_words();
    const grants::Decision& decision = message.decision;
    word.set_number(decision.key.number);
    word.set_verdict(static_cast<std::uint32_t>(message.kind));
    word.set_instance(decision.instance);
    word.set_reason(static_cast<std::uint32_t>(decision.reason));
    word.set_retry_after(toMilliseconds(decision.retryAfter));
    word.set_unusual_after(toMilliseconds(decision.unusualAfter));
    word.set_failing(static_cast<float>(decision.failing));
    word.set_in_flight(decision.inFlight);
    word.set_waiting(static_cast<std::uint32_t>(decision.waiting));
}

void PeerLink::send(const std::string& address, const EndMessage& message)
{
    wire::End& end = *this->datagramTo(address).add_ends();
    end.set_number(message.number);
    end.set_service(message.group);
    end.set_outcome(static_cast<std::uint32_t>(message.outcome));
    end.set_lasted(toMilliseconds(message.lasted));
}

void PeerLink::send(const std::string& address, const RunningMessage& message)
{
    wire::Running& running = *this->datagramTo(address).add_running();
    running.set_number(message.number);
    running.set_service(message.group);
    running.set_instance(message.instance);
    running.set_age(toMilliseconds(message.age));
    running.set_workload(static_cast<std::uint32_t>(message.workload));
}

void PeerLink::send(const std::string& address, const PresenceMessage& message)
{
    wire::Presence& presence = *this->datagramTo(address).mutable_presence();
    presence.set_name(message.name);
    presence.set_address(message.address);
    presence.set_leaving(message.leaving);
    presence.set_wants_reply(message.wantsReply);
    presence.set_failure_domain(message.failureDomain);
}

void PeerLink::flush()
{
    this->flushPlanned = false;
    for (auto& [address, datagram] : this->gathered) {
        datagram.set_sender(this->sender);
        const std::string bytes = datagram.SerializeAsString();
        asio::error_code ignored;
        // A datagram that can't be sent is treated like a lost one: the protocol tolerates both.
        this->socket.send_to(asio::buffer(bytes), udpEndpoint(address), 0, ignored);
        ++this->sent;
    }
    this->gathered.clear();
}

void PeerLink::receive()
{
    this->socket.async_wait(asio::ip::udp::socket::wait_read, [this](const asio::error_code& error) {
        if (error == asio::error::operation_aborted)
            return;
        this->drain();
        this->receive();
    });
}

void PeerLink::drain()
{
    for (int count = 0; count < maxDatagramsPerWakeup; ++count) {
        asio::ip::udp::endpoint from;
        asio::error_code error;
        const std::size_t size = this->socket.receive_from(asio::buffer(this->buffer), from, 0, error);
        if (error)
            return;
        this->dispatch(std::string_view(this->buffer).substr(0, size), from);
    }
}

void PeerLink::dispatch(std::string_view bytes, const asio::ip::udp::endpoint& from)
{
    wire::Datagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        ++this->unreadable;
        return;
    }
    const PeerSource source { datagram.sender(), from.address().to_string() + ":" + std::to_string(from.port()) };
    const TimePoint now = Clock::now();
    if (datagram.has_presence()) {
        const wire::Presence& presence = datagram.presence();
        this->handlers.onPresence(source, { presence.name(), presence.address(), presence.leaving(), presence.wants_reply(), presence.failure_domain() });
    }
    for (const wire::Running& running : datagram.running())
        this->handlers.onRunning(source, { running.number(), running.service(), running.instance(), milliseconds(running.age()), running.workload() });
    // Ends of attempts are handled before grant requests, because they free slots for them.
    for (const wire::End& end : datagram.ends())
        this->handlers.onEnd(source, { end.number(), end.service(), boundedEnum(end.outcome(), grants::Outcome::Abandoned), milliseconds(end.lasted()) });
    for (const wire::Ask& ask : datagram.asks())
        this->handlers.onAsk(source, readGrantRequest(ask, datagram.sender(), now));
    for (const wire::Word& word : datagram.words())
        this->handlers.onWord(source, readGrantReply(word));
}

}
