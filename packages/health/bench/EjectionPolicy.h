#pragma once

#include "flamingowick/health/Health.h"

#include <functional>
#include <string>

// A common interface of the ejection policies that the benchmark compares.
namespace flamingowick::health::bench {

struct Sample {
    std::size_t entry { 0 };
    std::size_t target { 0 };
    Result result { Result::Ok };
    Duration latency { 0 };
    bool idempotent { true };
};

struct EjectionPolicy {
    std::string name;
    // Returns the target's share of an entry's traffic.
    std::function<StandingShare(std::size_t entry, std::size_t target)> standing;
    std::function<void(const Sample&, TimePoint now)> observe;
    std::function<void(TimePoint now)> tick;
};

struct PoolSize {
    std::size_t targets { 6 };
    std::size_t entries { 3 };
    unsigned slots { 2 };
};

// Returns this package's policy with the evidence of all entries pooled in one state.
EjectionPolicy makePooled(const PoolSize&, const HealthPolicy&);

// Returns this package's policy with a separate state for each entry, without exchange of summaries.
EjectionPolicy makePerEntry(const PoolSize&, const HealthPolicy&);

// Returns a policy that ejects a target for 30 s after five consecutive failures.
EjectionPolicy makeConsecutiveFailures(const PoolSize&, double capacityFloor);

// Returns a policy that every 10 s ejects, for 30 s, the targets whose success rate is more than 1.9 standard deviations
// below the mean. Only targets with at least 100 requests are compared, and only if there are at least five.
EjectionPolicy makeSuccessRateOutlier(const PoolSize&, double capacityFloor);

// Returns the address of a target in the benchmark.
std::string addressOf(std::size_t target);

}
