#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

// What a team says about the treatment of its service's traffic.
namespace flamingowick {

// How a route's requests are told to be safe to repeat.
enum class Repeatability : std::uint8_t {
    // By RFC 9110: GET, HEAD, OPTIONS, TRACE, PUT and DELETE are idempotent.
    ByMethod,
    Idempotent,
    NonIdempotent,
};

enum class KeyDemand : std::uint8_t {
    Optional,
    Required,
};

struct RouteRule {
    // Compared without regard to case; the port is not part of it.
    std::string host;
    // Matches whole path segments; the longest prefix wins.
    std::string pathPrefix { "/" };
    Repeatability repeatability { Repeatability::ByMethod };
    KeyDemand key { KeyDemand::Optional };

    bool operator==(const RouteRule&) const = default;
};

struct TargetLimits {
    // Requests that one target works on at a time.
    unsigned slots { 2 };
    unsigned connections { 300 };
    // How long a target that appears takes to reach its full share.
    Duration warmUp { std::chrono::seconds(10) };
    Duration connectTimeout { std::chrono::seconds(1) };

    bool operator==(const TargetLimits&) const = default;
};

struct QueueLimits {
    // Requests that wait for a slot, over the whole service.
    unsigned maxWaiting { 100 };
    Duration maxWait { std::chrono::seconds(2) };

    bool operator==(const QueueLimits&) const = default;
};

struct DeadlineLimits {
    Duration defaultTimeout { std::chrono::seconds(10) };
    Duration maxTimeout { std::chrono::seconds(60) };

    bool operator==(const DeadlineLimits&) const = default;
};

struct BodyLimits {
    std::uint64_t maxRequestBytes { 1U << 20U };
    std::uint64_t maxAnswerBytes { 8U << 20U };

    bool operator==(const BodyLimits&) const = default;
};

struct RetryLimits {
    // Retries allowed for each first attempt, over the whole service.
    double ratio { 0.1 };
    // Retries allowed a second however few requests come.
    double minPerSecond { 1.0 };
    // Attempts of one request, the first included.
    unsigned maxAttempts { 3 };

    bool operator==(const RetryLimits&) const = default;
};

struct HealthPolicy {
    // Share of the service's slots that ejections may never go below, 0 to 1.
    double capacityFloor { 0.5 };
    // Weights of the two mistakes; only their ratio matters.
    double falseEjectionCost { 10.0 };
    double lateEjectionCost { 1.0 };
    // Error share of a target that counts as healthy, and of one that counts as failing.
    double healthyErrorShare { 0.01 };
    double failingErrorShare { 0.3 };
    // How many times the pool's median latency counts as slow.
    double slowFactor { 4.0 };
    Duration baseEjection { std::chrono::seconds(30) };
    Duration maxEjection { std::chrono::minutes(10) };

    bool operator==(const HealthPolicy&) const = default;
};

struct KeyPolicy {
    // How long the answer to a keyed request is kept for resends.
    Duration retention { std::chrono::minutes(10) };
    // The greatest error of a caller's clock that is believed for keys that carry their time.
    Duration clockBound { std::chrono::seconds(5) };

    bool operator==(const KeyPolicy&) const = default;
};

struct CrashPolicy {
    // Targets that one request must have crashed before it is refused.
    unsigned distinctTargets { 2 };
    Duration refuseFor { std::chrono::minutes(10) };

    bool operator==(const CrashPolicy&) const = default;
};

struct FairnessPolicy {
    // Header that names the caller; the caller's address is used when it is absent.
    std::string callerHeader { "X-Caller" };

    bool operator==(const FairnessPolicy&) const = default;
};

struct ServiceDocument {
    std::string name;
    std::vector<RouteRule> routes;
    TargetLimits targets;
    QueueLimits queue;
    DeadlineLimits deadlines;
    BodyLimits bodies;
    RetryLimits retries;
    HealthPolicy health;
    KeyPolicy keys;
    CrashPolicy crashes;
    FairnessPolicy fairness;

    bool operator==(const ServiceDocument&) const = default;
};

}
