#pragma once

#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/Request.h"

#include "peers.pb.h"

// Conversions between the model's types and their protobuf forms.
namespace flamingowick::peers::detail {

void toWire(const DaemonId&, wire::Daemon&);
DaemonId fromWire(const wire::Daemon&);

void toWire(const RequestId&, wire::RequestId&);
RequestId fromWire(const wire::RequestId&);

void toWire(const Request&, TimePoint now, wire::Request&);
// The deadline is now plus the time left, less the time under way.
Request fromWire(const wire::Request&, TimePoint now, Duration underWay);

void toWire(const Answer&, wire::Answer&);
// Throws PeerError 301 when the outcome is not one of the known ones.
Answer fromWire(const wire::Answer&);

}
