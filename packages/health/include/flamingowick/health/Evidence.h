#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

// Counters of request outcomes per target, observer and time bucket. Within a bucket an observer's
// counters only grow, so two copies merge by the greater of each: duplicates and reordering change
// nothing, and a lost copy is made good by any later one.
namespace flamingowick::health {

enum class Result : std::uint8_t {
    Ok,
    // The target answered with a failure of its own.
    Error,
    // No answer came before the deadline.
    Timeout,
    // No connection could be opened.
    ConnectFailure,
};

struct Counts {
    std::uint32_t total { 0 };
    std::uint32_t errors { 0 };
    std::uint32_t slow { 0 };
    // Errors that were later found to be the request's fault, not the target's.
    std::uint32_t forgiven { 0 };

    bool operator==(const Counts&) const = default;
};

struct Bucket {
    // Time since the clock's epoch divided by the ring's width; -1 marks an unused bucket.
    std::int64_t index { -1 };
    Counts counts;

    bool operator==(const Bucket&) const = default;
};

// The most recent buckets of one width; bucket i lives at position i modulo the size.
struct Ring {
    Duration width;
    std::vector<Bucket> buckets;
    // The greatest index in use, -1 when there is none.
    std::int64_t newest { -1 };
    // At least the sum of the buckets in the window; buckets not yet overwritten count too.
    Counts sum {};
};

constexpr Duration fineWidth = std::chrono::milliseconds(250);
constexpr std::size_t fineBuckets = 160;
constexpr Duration coarseWidth = std::chrono::seconds(10);
constexpr std::size_t coarseBuckets = 60;

// How far ahead of the receiver's clock a summary's buckets and records may lie.
constexpr Duration clockTolerance = std::chrono::seconds(2);

// The same outcomes at two resolutions: the fine ring serves busy targets, the coarse one remembers
// long enough for targets with little traffic and for rare errors.
struct Rings {
    Ring fine { fineWidth, std::vector<Bucket>(fineBuckets), -1, {} };
    Ring coarse { coarseWidth, std::vector<Bucket>(coarseBuckets), -1, {} };
};

// Who saw an outcome. A restarted daemon is another observer.
struct ObserverId {
    DaemonId daemon;
    std::string failureDomain;

    bool operator==(const ObserverId&) const = default;

    // Returns the members in the order of comparison.
    auto key() const noexcept { return std::tie(this->daemon.vm, this->daemon.incarnation, this->failureDomain); }
    bool operator<(const ObserverId& other) const noexcept { return this->key() < other.key(); }
};

// All that is known of one target. The sums follow from the observers' rings and save adding them
// up for every decision.
struct TargetEvidence {
    std::map<ObserverId, Rings> byObserver;
    std::map<std::string, Rings, std::less<>> byFailureDomain;
    Rings pooled;
};

using Evidence = std::map<TargetAddress, TargetEvidence, std::less<>>;

// One observer's counters of one target, as they travel between daemons.
struct TargetCounters {
    TargetAddress target;
    std::vector<Bucket> fine;
    std::vector<Bucket> coarse;

    bool operator==(const TargetCounters&) const = default;
};

// Returns the index of the bucket that holds a time. Never throws; constant time.
std::int64_t bucketIndex(TimePoint, Duration width) noexcept;

// Returns the counters for an index, all zero when the ring doesn't hold it. Constant time.
Counts countsAt(const Ring&, std::int64_t index) noexcept;

// Adds counters of the observer at a time. O(log observers); may throw std::bad_alloc.
void addCounts(TargetEvidence&, const ObserverId&, TimePoint, const Counts& added);

// Merges another copy of an observer's counters and returns what it added to the fine buckets or the
// coarse ones, whichever is more. Buckets outside the window that ends at now plus clockTolerance are
// left out. O(buckets); may throw std::bad_alloc.
Counts mergeCounters(TargetEvidence&, const ObserverId&, const TargetCounters&, TimePoint now);

// Returns the observer's counters of a target from a time on, unused buckets left out. O(buckets).
TargetCounters countersSince(std::string_view target, const Rings&, TimePoint since);

// Returns true when no bucket is younger than the longest window. O(buckets); never throws.
bool isStale(const TargetEvidence&, TimePoint now) noexcept;

// Forgets observers that have added nothing within the longest window. O(observers * buckets).
void dropStaleObservers(TargetEvidence&, TimePoint now);

}
