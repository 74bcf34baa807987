#pragma once

#include "Contender.h"

#include <cstdint>
#include <string>
#include <vector>

// A service's traffic in simulated time, with one fault.
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
    // The fault begins here and lasts to the end.
    Duration onset { 0 };
    Duration length { 0 };
};

struct RunResult {
    // Time from the onset until the sick target has less than half of its share where the fault is
    // seen; the rest of the run when that never happens.
    double detectionSeconds { 0 };
    bool detected { false };
    // Seconds of the fault, weighted by the share that the sick target had.
    double exposedSeconds { 0 };
    double falseEjections { 0 };
    double targetDays { 0 };
};

// Returns the name as tables show it.
std::string toString(Fault);

// Runs one scenario with one seed. Deterministic.
RunResult simulate(const Service&, const Scenario&, Contender&, std::uint64_t seed);

}
