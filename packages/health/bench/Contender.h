#pragma once

#include "flamingowick/health/Health.h"

#include <functional>
#include <string>

// The policies that the bench compares, behind one face.
namespace flamingowick::health::bench {

struct Sample {
    std::size_t entry { 0 };
    std::size_t target { 0 };
    Result result { Result::Ok };
    Duration latency { 0 };
    bool idempotent { true };
};

struct Contender {
    std::string name;
    // The target's share of an entry's traffic.
    std::function<StandingShare(std::size_t entry, std::size_t target)> standing;
    std::function<void(const Sample&, TimePoint now)> observe;
    std::function<void(TimePoint now)> tick;
};

struct PoolSize {
    std::size_t targets { 6 };
    std::size_t entries { 3 };
    unsigned slots { 2 };
};

// This package's policy, with the evidence of all entries in one place.
Contender makePooled(const PoolSize&, const HealthPolicy&);

// This package's policy, each entry on its own.
Contender makeSplit(const PoolSize&, const HealthPolicy&);

// Ejects for 30 s after five failures in a row.
Contender makeConsecutiveFailures(const PoolSize&, double capacityFloor);

// Ejects for 30 s, every 10 s, targets whose success rate is below the mean less 1.9 standard
// deviations, of those with 100 requests if there are five.
Contender makeSuccessRateOutlier(const PoolSize&, double capacityFloor);

// The address of a target in the bench.
std::string addressOf(std::size_t target);

}
