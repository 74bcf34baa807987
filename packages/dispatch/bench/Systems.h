#pragma once

#include "Simulation.h"

// The systems that are measured against each other.
namespace flamingowick::dispatch::bench {

struct Fairness {
    std::string name;
    CallerRank (*rank)(const CallerLoad&);
    std::string_view (*displace)(const WaitQueue&);
    // Cancel attempts of callers above their equal share for callers below theirs.
    bool revoke { false };
};

// The service as its document states it in all measurements.
ServiceDocument documentOf(const Scenario&);

// One dispatcher that the package provides.
Measured measureDispatcher(const Scenario&, const Fairness&);

// Entries that each choose targets alone: the better of two by a load that all of them exchange from
// time to time, corrected by what the entry itself has sent since.
Measured measureEntries(const Scenario&);

}
