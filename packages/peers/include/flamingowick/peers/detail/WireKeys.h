#pragma once

#include "flamingowick/peers/Message.h"

#include "peers.pb.h"

// Conversions of the messages about keyed requests. Those from the wire throw PeerError 301 when a
// value is out of range.
namespace flamingowick::peers::detail {

void toWire(const keys::KeyedRequest&, TimePoint now, wire::KeyedRequest&);
// The receiver's wall clock is left unset.
keys::KeyedRequest fromWire(const wire::KeyedRequest&, TimePoint now, Duration underWay);

void toWire(const KeyedAnswer&, wire::KeyedAnswer&);
KeyedAnswer fromWire(const wire::KeyedAnswer&);

void toWire(const KeyedRefusal&, wire::KeyedRefusal&);
KeyedRefusal fromWire(const wire::KeyedRefusal&);

void toWire(const keys::HandedRange&, wire::HandedRange&);
keys::HandedRange fromWire(const wire::HandedRange&);

void toWire(const HandedRangeAcknowledged&, wire::HandedRangeAcknowledged&);
HandedRangeAcknowledged fromWire(const wire::HandedRangeAcknowledged&);

void toWire(const keys::HandedEntryFinished&, wire::HandedEntryFinished&);
keys::HandedEntryFinished fromWire(const wire::HandedEntryFinished&);

void toWire(const keys::RangeRecord&, wire::RangeRecord&);
keys::RangeRecord fromWire(const wire::RangeRecord&);

}
