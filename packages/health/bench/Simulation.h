#pragma once

#include "EjectionPolicy.h"

#include <cstdint>
#include <string>
#include <vector>

// Simulates a service's traffic with one fault in simulated time.
namespace flamingowick::health::bench {

enum class Fault : std::uint8_t {
    ManyErrors,
    FewErrors,
    AllErrors,
    Slow,
    Flapping,
    OneWay,
    WholePool,
    Noise,
};

struct Service {
    std::string deployment;
    std::string name;
    PoolSize pool;
    double requestsPerSecond { 100 };
    double medianLatencyMs { 20 };
    double errorShare { 0.003 };
    double idempotentShare { 0.9 };
    HealthPolicy policy;
};

struct Scenario {
    Fault fault { Fault::Noise };
    // Start of the fault, which lasts until the end of the run.
    Duration onset { 0 };
    Duration length { 0 };
};

struct RunResult {
    // Time from the onset until the faulty target has less than half of its traffic share at the entries that the fault
    // affects, or until the end of the run if that never happens.
    double detectionSeconds { 0 };
    bool detected { false };
    // Duration of the fault in seconds, weighted by the faulty target's traffic share.
    double exposedSeconds { 0 };
    double falseEjections { 0 };
    double targetDays { 0 };
};

// Returns the fault's name as shown in tables.
std::string toString(Fault);

// Runs a scenario. The result is determined by the arguments.
RunResult simulate(const Service&, const Scenario&, EjectionPolicy&, std::uint64_t seed);

}
