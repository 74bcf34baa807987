#include "flamingowick/peers/Codec.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/peers/detail/WireModel.h"

#include <algorithm>

namespace flamingowick::peers {

namespace {

    // Writes the body of an envelope.
    struct BodyWriter {
        wire::Envelope& envelope;
        TimePoint now;

        void operator()(const ForwardRequest& message) const
        {
            wire::ForwardRequest& wire = *this->envelope.mutable_forward_request();
            detail::toWire(message.request, this->now, *wire.mutable_request());
            wire.set_attempt(message.attempt);
            wire.set_origin_domain(message.originDomain);
        }

        void operator()(const ForwardAnswer& message) const
        {
            wire::ForwardAnswer& wire = *this->envelope.mutable_forward_answer();
            detail::toWire(message.id, *wire.mutable_id());
            wire.set_attempt(message.attempt);
            detail::toWire(message.answer, *wire.mutable_answer());
        }

        void operator()(const ForwardCancel& message) const
        {
            wire::ForwardCancel& wire = *this->envelope.mutable_forward_cancel();
            detail::toWire(message.id, *wire.mutable_id());
            wire.set_attempt(message.attempt);
        }

        void operator()(const Heartbeat& message) const
        {
            this->envelope.mutable_heartbeat()->set_failure_domain(message.failureDomain);
        }
    };

    Message readBody(const wire::Envelope& envelope, TimePoint now, Duration underWay)
    {
        switch (envelope.body_case()) {
        case wire::Envelope::kForwardRequest: {
            const wire::ForwardRequest& wire = envelope.forward_request();
            return ForwardRequest { detail::fromWire(wire.request(), now, underWay), wire.attempt(), wire.origin_domain() };
        }
        case wire::Envelope::kForwardAnswer: {
            const wire::ForwardAnswer& wire = envelope.forward_answer();
            return ForwardAnswer { detail::fromWire(wire.id()), wire.attempt(), detail::fromWire(wire.answer()) };
        }
        case wire::Envelope::kForwardCancel: {
            const wire::ForwardCancel& wire = envelope.forward_cancel();
            return ForwardCancel { detail::fromWire(wire.id()), wire.attempt() };
        }
        case wire::Envelope::kHeartbeat:
            return Heartbeat { envelope.heartbeat().failure_domain() };
        default:
            throw PeerError(301, "An envelope has no known body");
        }
    }

}

std::string encode(const Envelope& envelope, TimePoint now)
{
    wire::Envelope wire;
    detail::toWire(envelope.from, *wire.mutable_from());
    wire.set_from_peer_address(envelope.fromAddress);
    wire.set_to_incarnation(envelope.toIncarnation);
    wire.set_sent_at_wall_ms(envelope.sentAtWallMs);
    std::visit(BodyWriter { wire, now }, envelope.message);
    return wire.SerializeAsString();
}

Envelope decode(std::string_view bytes, TimePoint now, std::int64_t wallMs)
{
    wire::Envelope wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        throw PeerError(301, "A message is no envelope");
    Duration underWay = std::chrono::milliseconds(std::max<std::int64_t>(0, wallMs - wire.sent_at_wall_ms()));
    Envelope envelope;
    envelope.from = detail::fromWire(wire.from());
    envelope.fromAddress = wire.from_peer_address();
    envelope.toIncarnation = wire.to_incarnation();
    envelope.sentAtWallMs = wire.sent_at_wall_ms();
    envelope.message = readBody(wire, now, underWay);
    return envelope;
}

}
