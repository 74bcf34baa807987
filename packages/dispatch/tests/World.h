#pragma once

#include "Ledger.h"

#include <functional>
#include <random>

// A daemon, its targets and the platform's list, played on simulated time from a seed.
namespace flamingowick::dispatch {

// Deviations of the daemon, to see that a check can fail.
struct Sabotage {
    bool withoutTicks { false };
    bool repeatsAnswers { false };
};

// Plays one schedule of arrivals and faults. Returns the first broken promise, empty when all held.
std::string playSchedule(std::uint64_t seed, const Policy&, const Sabotage&, Coverage&);

// Plays schedules from FLAMINGOWICK_SEED (else 1): 2,000 of them, or as many as FLAMINGOWICK_SECONDS
// allows. Returns the first broken promise with its seed, empty when all held.
std::string playSchedules(const Policy&, const Sabotage& = {});

// As above, and adds what happened to the coverage.
std::string playSchedules(const Policy&, const Sabotage&, Coverage&);

}
