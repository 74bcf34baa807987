#pragma once

#include "flamingowick/daemon/Catalogue.h"
#include "flamingowick/daemon/Members.h"
#include "flamingowick/daemon/Ports.h"
#include "flamingowick/model/DaemonSettings.h"
#include "flamingowick/telemetry/Metrics.h"

// What the parts of the core share. Used on the core's thread alone.
namespace flamingowick::daemon {

struct CoreContext {
    DaemonSettings settings;
    DaemonId self;
    Ports ports;
    Members members;
    Catalogue catalogue;
    telemetry::Metrics metrics;

    CoreContext(DaemonSettings, const DaemonId&, Ports);
};

// Sends a message to every member but this daemon. Messages that can't be sent are dropped. Linear in
// the members.
void sendToAll(const CoreContext&, const peers::Message&);

// Returns a time on a clock that the fleet's daemons share to within the error of their wall
// clocks: the wall clock at the start, carried forward by the steady clock.
TimePoint fleetTime(TimePoint now);

}
