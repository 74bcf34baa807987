#include "flamingowick/peers/detail/WireKeys.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/peers/detail/WireModel.h"

namespace flamingowick::peers::detail {

namespace {

    void rangeToWire(const keys::RangeId& id, wire::RangeId& wire)
    {
        wire.set_service(id.service);
        wire.set_range(id.range);
    }

    keys::RangeId rangeFromWire(const wire::RangeId& wire)
    {
        return { wire.service(), wire.range() };
    }

    void entryToWire(const keys::HandedEntry& entry, wire::HandedEntry& wire)
    {
        wire.set_key(entry.key);
        wire.set_digest(entry.digest);
        wire.set_caller(entry.caller);
        wire.set_state(static_cast<std::uint32_t>(entry.state));
        toWire(entry.runner, *wire.mutable_runner());
        if (entry.answer)
            toWire(*entry.answer, *wire.mutable_answer());
        wire.set_remaining(entry.remaining.count());
    }

    keys::HandedEntry entryFromWire(const wire::HandedEntry& wire)
    {
        if (wire.state() > static_cast<std::uint32_t>(keys::EntryState::Unknown))
            throw PeerError(301, "A key entry has no known state");
        keys::HandedEntry entry;
        entry.key = wire.key();
        entry.digest = wire.digest();
        entry.caller = wire.caller();
        entry.state = static_cast<keys::EntryState>(wire.state());
        entry.runner = fromWire(wire.runner());
        if (wire.has_answer())
            entry.answer = fromWire(wire.answer());
        entry.remaining = Duration(wire.remaining());
        return entry;
    }

}

void toWire(const keys::KeyedRequest& message, TimePoint now, wire::KeyedRequest& wire)
{
    toWire(message.request, now, *wire.mutable_request());
    rangeToWire(message.range, *wire.mutable_range());
    wire.set_epoch(message.epoch);
    toWire(message.owner, *wire.mutable_owner());
    if (message.ownerStamp)
        wire.set_owner_stamp(message.ownerStamp->time_since_epoch().count());
}

keys::KeyedRequest fromWire(const wire::KeyedRequest& wire, TimePoint now, Duration underWay)
{
    keys::KeyedRequest message;
    message.request = fromWire(wire.request(), now, underWay);
    message.range = rangeFromWire(wire.range());
    message.epoch = wire.epoch();
    message.owner = fromWire(wire.owner());
    if (wire.has_owner_stamp())
        message.ownerStamp = TimePoint(Duration(wire.owner_stamp()));
    return message;
}

void toWire(const KeyedAnswer& message, wire::KeyedAnswer& wire)
{
    toWire(message.id, *wire.mutable_id());
    toWire(message.answer, *wire.mutable_answer());
    wire.set_held_for(message.heldFor.count());
}

KeyedAnswer fromWire(const wire::KeyedAnswer& wire)
{
    return { fromWire(wire.id()), fromWire(wire.answer()), Duration(wire.held_for()) };
}

void toWire(const KeyedRefusal& message, wire::KeyedRefusal& wire)
{
    toWire(message.id, *wire.mutable_id());
    if (message.record)
        toWire(*message.record, *wire.mutable_record());
}

KeyedRefusal fromWire(const wire::KeyedRefusal& wire)
{
    KeyedRefusal message;
    message.id = fromWire(wire.id());
    if (wire.has_record())
        message.record = fromWire(wire.record());
    return message;
}

void toWire(const keys::HandedRange& range, wire::HandedRange& wire)
{
    rangeToWire(range.id, *wire.mutable_id());
    toWire(range.from, *wire.mutable_from());
    wire.set_epoch_ended(range.epochEnded);
    for (const keys::HandedEntry& entry : range.entries)
        entryToWire(entry, *wire.add_entries());
    for (std::uint64_t refusal : range.refusals)
        wire.add_refusals(refusal);
    wire.set_refusal_floor(range.refusalFloor);
    wire.set_wait_remaining(range.waitRemaining.count());
    if (range.takeoverAge)
        wire.set_takeover_age(range.takeoverAge->count());
    wire.set_retention(range.retention.count());
    wire.set_oldest_usable_ms(range.oldestUsableMs);
}

keys::HandedRange fromWire(const wire::HandedRange& wire)
{
    keys::HandedRange range;
    range.id = rangeFromWire(wire.id());
    range.from = fromWire(wire.from());
    range.epochEnded = wire.epoch_ended();
    for (const wire::HandedEntry& entry : wire.entries())
        range.entries.push_back(entryFromWire(entry));
    range.refusals.assign(wire.refusals().begin(), wire.refusals().end());
    range.refusalFloor = wire.refusal_floor();
    range.waitRemaining = Duration(wire.wait_remaining());
    if (wire.has_takeover_age())
        range.takeoverAge = Duration(wire.takeover_age());
    range.retention = Duration(wire.retention());
    range.oldestUsableMs = wire.oldest_usable_ms();
    return range;
}

void toWire(const HandedRangeAcknowledged& message, wire::HandedRangeAcknowledged& wire)
{
    rangeToWire(message.id, *wire.mutable_id());
    wire.set_epoch_ended(message.epochEnded);
}

HandedRangeAcknowledged fromWire(const wire::HandedRangeAcknowledged& wire)
{
    return { rangeFromWire(wire.id()), wire.epoch_ended() };
}

void toWire(const keys::HandedEntryFinished& message, wire::HandedEntryFinished& wire)
{
    rangeToWire(message.id, *wire.mutable_id());
    wire.set_epoch_ended(message.epochEnded);
    wire.set_key(message.key);
    toWire(message.runner, *wire.mutable_runner());
    toWire(message.answer, *wire.mutable_answer());
}

keys::HandedEntryFinished fromWire(const wire::HandedEntryFinished& wire)
{
    return { rangeFromWire(wire.id()), wire.epoch_ended(), wire.key(), fromWire(wire.runner()), fromWire(wire.answer()) };
}

void toWire(const keys::RangeRecord& record, wire::RangeRecord& wire)
{
    rangeToWire(record.id, *wire.mutable_id());
    toWire(record.owner, *wire.mutable_owner());
    toWire(record.previous, *wire.mutable_previous());
    wire.set_epoch(record.epoch);
    wire.set_change_id(record.changeId);
    wire.set_resource_version(record.resourceVersion);
}

keys::RangeRecord fromWire(const wire::RangeRecord& wire)
{
    return { rangeFromWire(wire.id()), fromWire(wire.owner()), fromWire(wire.previous()), wire.epoch(), wire.change_id(), wire.resource_version() };
}

}
