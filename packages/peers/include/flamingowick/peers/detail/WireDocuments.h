#pragma once

#include "flamingowick/configuration/Messages.h"

#include "peers.pb.h"

// Conversions of the messages about documents. Those from the wire throw PeerError 301 when a value
// is out of range.
namespace flamingowick::peers::detail {

void toWire(const configuration::PeerMessage&, wire::Envelope&);

configuration::Announcement fromWire(const wire::Announcement&);
configuration::DocumentRequest fromWire(const wire::DocumentRequest&);
configuration::DocumentBatch fromWire(const wire::DocumentBatch&);
configuration::DigestSummary fromWire(const wire::DigestSummary&);
configuration::DigestBuckets fromWire(const wire::DigestBuckets&);
configuration::DigestEntries fromWire(const wire::DigestEntries&);

}
