#pragma once

#include "Ledger.h"

#include <functional>
#include <random>

// Simulates a daemon, its targets and the object store's target list in simulated time, from a seed.
namespace flamingowick::dispatch {

// Deliberate faults of the simulated daemon, to check that the checks detect them.
struct DaemonFaults {
    bool omitTicks { false };
    bool duplicateAnswers { false };
};

// Runs one random schedule of requests and faults. Returns the first violated guarantee, empty if there is none.
std::string runSchedule(std::uint64_t seed, const Policy&, const DaemonFaults&, Coverage&);

// Runs schedules with consecutive seeds from FLAMINGOWICK_SEED (default 1): 2,000 of them, or as many as start within
// FLAMINGOWICK_SECONDS if that is set. Returns the first violated guarantee with its seed, empty if there is none.
std::string runSchedules(const Policy&, const DaemonFaults& = {});

// As above, and adds the outcomes to the coverage.
std::string runSchedules(const Policy&, const DaemonFaults&, Coverage&);

}
