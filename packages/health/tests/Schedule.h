#pragma once

#include "TestSupport.h"

#include <random>

// Randomised simulations of several daemons that observe different traffic and exchange summaries over an unreliable
// network.
namespace flamingowick::health::test {

// The simulated fault of a target.
struct TargetFault {
    double errorShare { 0.002 };
    bool slow { false };
    // The number of the failure domain from which connections fail, or -1.
    int unreachableFrom { -1 };
};

struct ScheduleResult {
    // Empty if all checks passed.
    std::string failure;
    std::size_t ejections { 0 };
    std::size_t pathsAvoided { 0 };
    std::size_t floorHits { 0 };
    bool sharedCauseSeen { false };
};

// Combines failing targets, faults of the whole pool, changing target lists and documents, and a lossy network. Checks
// the floor at every daemon after every event, and that all daemons agree once they have exchanged their summaries.
ScheduleResult runMixedSchedule(std::uint64_t seed, const Decisions&);

// Simulates a fault that affects all targets at once and checks that no target is ejected.
ScheduleResult runSharedCauseSchedule(std::uint64_t seed, const Decisions&);

// Simulates a target that is unreachable from one failure domain, with a daemon in each of three. Checks that the path
// is avoided and no target is ejected.
ScheduleResult runPathSchedule(std::uint64_t seed, const Decisions&);

}
