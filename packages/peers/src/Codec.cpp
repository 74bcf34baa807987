#include "flamingowick/peers/Codec.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/peers/detail/WireDocuments.h"
#include "flamingowick/peers/detail/WireKeys.h"
#include "flamingowick/peers/detail/WireMembership.h"
#include "flamingowick/peers/detail/WireModel.h"
#include "flamingowick/peers/detail/WireTargets.h"

#include <algorithm>
#include <optional>

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

        void operator()(const membership::Message& message) const { detail::toWire(message, this->envelope); }
        void operator()(const keys::KeyedRequest& message) const { detail::toWire(message, this->now, *this->envelope.mutable_keyed_request()); }
        void operator()(const KeyedAnswer& message) const { detail::toWire(message, *this->envelope.mutable_keyed_answer()); }
        void operator()(const KeyedRefusal& message) const { detail::toWire(message, *this->envelope.mutable_keyed_refusal()); }
        void operator()(const KeyedCancel& message) const { detail::toWire(message.id, *this->envelope.mutable_keyed_cancel()->mutable_id()); }
        void operator()(const keys::HandedRange& message) const { detail::toWire(message, *this->envelope.mutable_handed_range()); }
        void operator()(const HandedRangeAcknowledged& message) const { detail::toWire(message, *this->envelope.mutable_handed_range_acknowledged()); }
        void operator()(const keys::HandedEntryFinished& message) const { detail::toWire(message, *this->envelope.mutable_handed_entry_finished()); }
        void operator()(const keys::OwnerAnnounced& message) const { detail::toWire(message.record, *this->envelope.mutable_owner_announced()->mutable_record()); }
        void operator()(const KeyHeartbeat& message) const
        {
            this->envelope.mutable_key_heartbeat()->set_stamp(message.stamp.time_since_epoch().count());
            this->envelope.mutable_key_heartbeat()->set_wall_ms(message.wallMs);
        }
        void operator()(const HealthSummary& message) const { detail::toWire(message, *this->envelope.mutable_health_summary()); }
        void operator()(const ServiceCrashReport& message) const { detail::toWire(message, *this->envelope.mutable_crash_report()); }
        void operator()(const ServiceQuarantine& message) const { detail::toWire(message, *this->envelope.mutable_quarantine_notice()); }
        void operator()(const LeavingNotice& message) const { detail::toWire(message, *this->envelope.mutable_target_leaving()); }
        void operator()(const TargetListShare& message) const { detail::toWire(message, *this->envelope.mutable_target_list_share()); }
        void operator()(const configuration::PeerMessage& message) const { detail::toWire(message, this->envelope); }
    };

    ForwardRequest readForward(const wire::ForwardRequest& wire, TimePoint now, Duration underWay)
    {
        return { detail::fromWire(wire.request(), now, underWay), wire.attempt(), wire.origin_domain() };
    }

    // Reads the body of an envelope that is about documents, or nothing if it is about other things.
    std::optional<configuration::PeerMessage> readDocumentBody(const wire::Envelope& envelope)
    {
        switch (envelope.body_case()) {
        case wire::Envelope::kAnnouncement:
            return detail::fromWire(envelope.announcement());
        case wire::Envelope::kDocumentRequest:
            return detail::fromWire(envelope.document_request());
        case wire::Envelope::kDocumentBatch:
            return detail::fromWire(envelope.document_batch());
        case wire::Envelope::kDigestSummary:
            return detail::fromWire(envelope.digest_summary());
        case wire::Envelope::kDigestBuckets:
            return detail::fromWire(envelope.digest_buckets());
        case wire::Envelope::kDigestEntries:
            return detail::fromWire(envelope.digest_entries());
        default:
            return std::nullopt;
        }
    }

    // Reads the body of an envelope that is about targets, or nothing if it is about other things.
    std::optional<Message> readTargetBody(const wire::Envelope& envelope)
    {
        switch (envelope.body_case()) {
        case wire::Envelope::kHealthSummary:
            return detail::fromWire(envelope.health_summary());
        case wire::Envelope::kCrashReport:
            return detail::fromWire(envelope.crash_report());
        case wire::Envelope::kQuarantineNotice:
            return detail::fromWire(envelope.quarantine_notice());
        case wire::Envelope::kTargetLeaving:
            return detail::fromWire(envelope.target_leaving());
        case wire::Envelope::kTargetListShare:
            return detail::fromWire(envelope.target_list_share());
        default:
            return std::nullopt;
        }
    }

    // Reads the body of an envelope that is about keys, or nothing if it is about other things.
    std::optional<Message> readKeyBody(const wire::Envelope& envelope, TimePoint now, Duration underWay)
    {
        switch (envelope.body_case()) {
        case wire::Envelope::kKeyedRequest:
            return detail::fromWire(envelope.keyed_request(), now, underWay);
        case wire::Envelope::kKeyedAnswer:
            return detail::fromWire(envelope.keyed_answer());
        case wire::Envelope::kKeyedRefusal:
            return detail::fromWire(envelope.keyed_refusal());
        case wire::Envelope::kKeyedCancel:
            return KeyedCancel { detail::fromWire(envelope.keyed_cancel().id()) };
        case wire::Envelope::kHandedRange:
            return detail::fromWire(envelope.handed_range());
        case wire::Envelope::kHandedRangeAcknowledged:
            return detail::fromWire(envelope.handed_range_acknowledged());
        case wire::Envelope::kHandedEntryFinished:
            return detail::fromWire(envelope.handed_entry_finished());
        case wire::Envelope::kOwnerAnnounced:
            return keys::OwnerAnnounced { detail::fromWire(envelope.owner_announced().record()) };
        case wire::Envelope::kKeyHeartbeat:
            return KeyHeartbeat { TimePoint(Duration(envelope.key_heartbeat().stamp())), envelope.key_heartbeat().wall_ms() };
        default:
            return std::nullopt;
        }
    }

    Message readBody(const wire::Envelope& envelope, TimePoint now, Duration underWay)
    {
        if (envelope.has_forward_request())
            return readForward(envelope.forward_request(), now, underWay);
        if (envelope.has_forward_answer()) {
            const wire::ForwardAnswer& wire = envelope.forward_answer();
            return ForwardAnswer { detail::fromWire(wire.id()), wire.attempt(), detail::fromWire(wire.answer()) };
        }
        if (envelope.has_forward_cancel())
            return ForwardCancel { detail::fromWire(envelope.forward_cancel().id()), envelope.forward_cancel().attempt() };
        if (auto message = readKeyBody(envelope, now, underWay))
            return std::move(*message);
        if (auto message = detail::readMembershipBody(envelope))
            return std::move(*message);
        if (auto message = readTargetBody(envelope))
            return std::move(*message);
        if (auto message = readDocumentBody(envelope))
            return std::move(*message);
        throw PeerError(301, "An envelope has no known body");
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
