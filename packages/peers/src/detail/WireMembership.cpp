#include "flamingowick/peers/detail/WireMembership.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/peers/detail/WireModel.h"

namespace flamingowick::peers::detail {

namespace {

    void updateToWire(const membership::Update& update, wire::MemberUpdate& wire)
    {
        toWire(update.member.id, *wire.mutable_id());
        wire.set_failure_domain(update.member.failureDomain);
        wire.set_peer_address(update.member.address);
        wire.set_status(static_cast<std::uint32_t>(update.status));
        wire.set_version(update.version);
        wire.set_accuser(update.accuser);
    }

    membership::Update updateFromWire(const wire::MemberUpdate& wire)
    {
        if (wire.status() > static_cast<std::uint32_t>(membership::Status::Left))
            throw PeerError(301, "A member has no known status");
        membership::Update update;
        update.member = { fromWire(wire.id()), wire.failure_domain(), wire.peer_address() };
        update.status = static_cast<membership::Status>(wire.status());
        update.version = wire.version();
        update.accuser = wire.accuser();
        return update;
    }

    template <typename Wire>
    void updatesToWire(const std::vector<membership::Update>& updates, Wire& wire)
    {
        for (const membership::Update& update : updates)
            updateToWire(update, *wire.add_updates());
    }

    template <typename Repeated>
    std::vector<membership::Update> updatesFromWire(const Repeated& wire)
    {
        std::vector<membership::Update> updates;
        for (const wire::MemberUpdate& update : wire)
            updates.push_back(updateFromWire(update));
        return updates;
    }

    // Writes the body of an envelope that is about members.
    struct MembershipWriter {
        wire::Envelope& envelope;

        void operator()(const membership::Ping& message) const
        {
            wire::Ping& wire = *this->envelope.mutable_ping();
            wire.set_sequence(message.sequence);
            wire.set_on_behalf_of(message.onBehalfOf);
            updatesToWire(message.updates, wire);
        }

        void operator()(const membership::Ack& message) const
        {
            wire::PingAck& wire = *this->envelope.mutable_ping_ack();
            wire.set_sequence(message.sequence);
            wire.set_on_behalf_of(message.onBehalfOf);
            updatesToWire(message.updates, wire);
        }

        void operator()(const membership::PingRequest& message) const
        {
            wire::PingRequest& wire = *this->envelope.mutable_ping_request();
            wire.set_sequence(message.sequence);
            wire.set_target(message.targetVm);
            updatesToWire(message.updates, wire);
        }

        void operator()(const membership::Sync& message) const
        {
            wire::MemberSync& wire = *this->envelope.mutable_member_sync();
            wire.set_reply(message.reply);
            for (const membership::Update& update : message.members)
                updateToWire(update, *wire.add_members());
        }
    };

}

void toWire(const membership::Message& message, wire::Envelope& envelope)
{
    std::visit(MembershipWriter { envelope }, message);
}

std::optional<membership::Message> readMembershipBody(const wire::Envelope& envelope)
{
    switch (envelope.body_case()) {
    case wire::Envelope::kPing:
        return membership::Ping { envelope.ping().sequence(), envelope.ping().on_behalf_of(), updatesFromWire(envelope.ping().updates()) };
    case wire::Envelope::kPingAck:
        return membership::Ack { envelope.ping_ack().sequence(), envelope.ping_ack().on_behalf_of(), updatesFromWire(envelope.ping_ack().updates()) };
    case wire::Envelope::kPingRequest:
        return membership::PingRequest { envelope.ping_request().sequence(), envelope.ping_request().target(), updatesFromWire(envelope.ping_request().updates()) };
    case wire::Envelope::kMemberSync:
        return membership::Sync { envelope.member_sync().reply(), updatesFromWire(envelope.member_sync().members()) };
    default:
        return std::nullopt;
    }
}

}
