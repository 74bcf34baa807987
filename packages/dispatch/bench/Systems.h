#pragma once

#include "Simulation.h"

// The systems under test.
namespace flamingowick::dispatch::bench {

struct Fairness {
    std::string name;
    CallerRank (*rank)(const CallerLoad&);
    std::string_view (*displace)(const WaitQueue&);
    // Whether to cancel attempts of callers above their equal share in favour of callers below theirs.
    bool revoke { false };
};

// Returns the service document that all benchmarks use.
ServiceDocument documentOf(const Scenario&);

// Measures one dispatcher of this package.
Measurement measureDispatcher(const Scenario&, const Fairness&);

// Measures entries that choose targets without a dispatcher. Each takes the less loaded of two random targets, judged
// by loads that the entries exchange periodically, plus the entry's own current attempts.
Measurement measureEntries(const Scenario&);

}
