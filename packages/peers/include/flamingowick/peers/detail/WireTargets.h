#pragma once

#include "flamingowick/peers/Message.h"

#include "peers.pb.h"

// Conversions of the messages about targets. Those from the wire throw PeerError 301 when a value is
// out of range.
namespace flamingowick::peers::detail {

void toWire(const HealthSummary&, wire::HealthSummary&);
HealthSummary fromWire(const wire::HealthSummary&);

void toWire(const ServiceCrashReport&, wire::CrashReport&);
ServiceCrashReport fromWire(const wire::CrashReport&);

void toWire(const ServiceQuarantine&, wire::QuarantineNotice&);
ServiceQuarantine fromWire(const wire::QuarantineNotice&);

void toWire(const LeavingNotice&, wire::TargetLeaving&);
LeavingNotice fromWire(const wire::TargetLeaving&);

void toWire(const TargetListShare&, wire::TargetListShare&);
TargetListShare fromWire(const wire::TargetListShare&);

}
