#pragma once

#include "flamingowick/keys/KeyMachine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

// Simulates a fleet of 44 daemons that run keyed requests through real key machines, with fixed latencies, a store that
// is available or not, and callers that resend.
namespace flamingowick::keys::bench {

enum class OwnershipScheme : std::uint8_t {
    // The owner keeps the range until it hands it over or its process is proven to have ended.
    SoleOwner,
    // Any daemon takes over once the owner's lease has expired, and runs keys at once.
    Lease,
    // As Lease, but keys that the previous owner may have seen are answered as unknown until the retention has passed.
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
    OwnershipScheme scheme { OwnershipScheme::SoleOwner };
    Disturbance disturbance { Disturbance::None };
    std::uint64_t seed { 1 };
    Duration length { std::chrono::minutes(15) };
    unsigned requestsPerSecond { 40 };
};

struct Measurements {
    std::uint64_t keys { 0 };
    // Keys whose first attempt was not answered by a target.
    std::uint64_t refusedFirst { 0 };
    // Keys that no target had answered after all resends.
    std::uint64_t neverAnswered { 0 };
    std::uint64_t ranTwice { 0 };
    std::uint64_t falseNotRun { 0 };
    std::uint64_t storeWrites { 0 };
    std::uint64_t storeReads { 0 };
    std::uint64_t peakWritesPerSecond { 0 };
    // Time from the caller's request to its answer, without the time at the target, in milliseconds.
    std::vector<double> addedMs;
};

// Simulates one disturbance for the length of the setup.
Measurements runFleet(const Setup&);

}
