#pragma once

#include "flamingowick/membership/Messages.h"

#include "peers.pb.h"

#include <optional>

// Conversions of the messages about who is a member.
namespace flamingowick::peers::detail {

void toWire(const membership::Message&, wire::Envelope&);

// Returns nothing when the body is about other things. Throws PeerError 301 when a value is out of
// range.
std::optional<membership::Message> readMembershipBody(const wire::Envelope&);

}
