#pragma once

#include "flamingowick/keys/KeyMachine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

// A modelled fleet of 44 daemons that runs keyed requests through real key machines, with fixed
// latencies, a store that is up or down, and callers that ask again.
namespace flamingowick::keys::bench {

enum class Way : std::uint8_t {
    // The record is held until it is given up or the owner is proven dead.
    SoleOwner,
    // Any daemon takes over once the owner's lease has lapsed, and acts at once.
    Lease,
    // The same, but keys that the former owner may have seen are unknown for the retention.
    LeaseWithWait,
};

enum class Disturbance : std::uint8_t {
    None,
    KillOne,
    KillTwo,
    KillFailureDomain,
    RollingReplacement,
    StoreOutage,
    StoreOutageWithDeath,
    Pauses,
};

struct Setup {
    Way way { Way::SoleOwner };
    Disturbance disturbance { Disturbance::None };
    std::uint64_t seed { 1 };
    Duration length { std::chrono::minutes(15) };
    unsigned requestsPerSecond { 40 };
};

struct Measured {
    std::uint64_t keys { 0 };
    // Keys whose first attempt was not answered by a target.
    std::uint64_t refusedFirst { 0 };
    // Keys that had no answer after all resends.
    std::uint64_t neverAnswered { 0 };
    std::uint64_t doubled { 0 };
    std::uint64_t falseNotRun { 0 };
    std::uint64_t storeWrites { 0 };
    std::uint64_t storeReads { 0 };
    std::uint64_t peakWritesPerSecond { 0 };
    // Time from the caller's request to its answer less the target's time, in milliseconds.
    std::vector<double> addedMs;
};

// Runs one disturbance from start to end.
Measured runFleet(const Setup&);

}
