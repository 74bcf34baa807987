#pragma once

#include "TestSupport.h"

#include <random>

// Randomised runs of several deciders that see different traffic and hear each other badly.
namespace flamingowick::health::test {

// What is wrong with a target, as the run knows it and the deciders don't.
struct Sickness {
    double errorShare { 0.002 };
    bool slow { false };
    // A failure domain from which no connection opens, or -1.
    int cutFrom { -1 };
};

struct ScheduleResult {
    // Empty when every check held.
    std::string failure;
    std::size_t ejections { 0 };
    std::size_t pathsAvoided { 0 };
    std::size_t floorHits { 0 };
    bool sharedCauseSeen { false };
};

// Everything at once: sick targets, mass sickness, changing lists and documents, a lossy network.
// Checks the floor at every decider after every event, and that all agree once they have heard each
// other.
ScheduleResult runMixedSchedule(std::uint64_t seed, const Decisions&);

// A pool whose targets all worsen together; checks that nobody stays or gets ejected.
ScheduleResult runSharedCauseSchedule(std::uint64_t seed, const Decisions&);

// A target that one failure domain can't reach, with deciders in all three.
ScheduleResult runPathSchedule(std::uint64_t seed, const Decisions&);

}
