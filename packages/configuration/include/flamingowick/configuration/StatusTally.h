#pragma once

#include "flamingowick/configuration/Documents.h"
#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Counts on how many daemons of a failure domain each version is in force, for the status objects.
// One daemon of the failure domain counts and writes. It holds a few numbers for each service and
// each daemon, never their product: a daemon whose digest equals the writer's has all that the
// writer has.
namespace flamingowick::configuration {

// Status objects of a failure domain; a service belongs to one of them.
constexpr std::size_t statusShards = 64;
// Versions kept for a daemon whose digest differs from the writer's.
constexpr std::size_t maxConfirmedEntries = 1024;

struct StatusLimits {
    // Writes of one writer.
    double writesPerSecond { 1.0 };
    double burst { 5.0 };
    // Changes of one object within this time share a write.
    Duration shardInterval { std::chrono::seconds(5) };
    // A daemon that hasn't reported for this long isn't counted.
    Duration reportAge { std::chrono::seconds(30) };
};

struct ServiceVersion {
    std::string service;
    std::uint64_t version { 0 };

    bool operator==(const ServiceVersion&) const = default;
};

// What a daemon tells its failure domain's status writer every few seconds.
struct InForceReport {
    std::string vm;
    // Root of the daemon's digest.
    std::uint64_t root { 0 };
    // What was put in force lately.
    std::vector<ServiceVersion> recent;
    // Services whose newest document the daemon's program can't read.
    std::vector<std::string> unreadable;
};

struct ServiceStatus {
    std::string service;
    std::uint64_t version { 0 };
    bool deleted { false };
    // Daemons that reported lately, and those of them with the version in force.
    std::size_t daemons { 0 };
    std::size_t inForce { 0 };

    bool operator==(const ServiceStatus&) const = default;
};

struct StatusObject {
    std::size_t shard { 0 };
    // In alphabetical order.
    std::vector<ServiceStatus> services;

    bool operator==(const StatusObject&) const = default;
};

// What is known of one daemon.
struct DaemonTally {
    TimePoint reportedAt;
    // When its digest last equalled the writer's, if ever.
    std::optional<TimePoint> agreedAt;
    // What it put in force since.
    std::map<std::string, std::uint64_t, std::less<>> confirmed;
    std::vector<std::string> unreadable;
};

struct ServiceTally {
    std::uint64_t version { 0 };
    bool deleted { false };
    TimePoint since;
};

struct ShardTally {
    // Set while the object lags behind the tally.
    std::optional<TimePoint> dirtySince;
    std::optional<TimePoint> writtenAt;
};

struct StatusTally {
    StatusLimits limits;
    std::map<std::string, DaemonTally, std::less<>> daemons;
    std::map<std::string, ServiceTally, std::less<>> services;
    std::vector<ShardTally> shards { statusShards };
    double tokens { 0 };
    TimePoint refilledAt;
};

// Returns the shard that a service belongs to. Never throws.
std::size_t statusShardOf(std::string_view service) noexcept;

// Notes the version that the writer itself holds of a service. O(log n); may throw std::bad_alloc.
void noteVersion(StatusTally&, const AcceptedDocument&, TimePoint now);

// Takes a report in. ownRoot is the root of the writer's digest. O(k log n) in the entries; may throw
// std::bad_alloc.
void noteReport(StatusTally&, const InForceReport&, std::uint64_t ownRoot, TimePoint now);

// Returns the status of one service, nothing for one that is unknown. Linear in the daemons.
std::optional<ServiceStatus> statusOf(const StatusTally&, std::string_view service, TimePoint now);

// Returns the object that is to be written now, if there is one and the rate allows it. The object
// that lags longest goes first. Its cost is that of statusOf for the shard's services; may throw
// std::bad_alloc.
std::optional<StatusObject> nextStatusWrite(StatusTally&, TimePoint now);

// Notes that the write of a shard failed, so that it is tried again.
void noteFailedWrite(StatusTally&, std::size_t shard, TimePoint now);

}
