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

// Counters of request outcomes per target, observer and time bucket. Within a bucket an observer's counters only
// grow, so copies are merged by taking the maximum of each counter: duplicated and reordered copies have no effect,
// and a later copy replaces a lost one.
namespace flamingowick::health {

enum class Result : std::uint8_t {
    Ok,
    // The target responded with an error.
    Error,
    // The target did not respond before the deadline.
    Timeout,
    // No connection to the target could be opened.
    ConnectFailure,
};

struct Counts {
    std::uint32_t total { 0 };
    std::uint32_t errors { 0 };
    std::uint32_t slow { 0 };
    // Errors later attributed to the request instead of the target.
    std::uint32_t forgiven { 0 };

    bool operator==(const Counts&) const = default;
};

struct Bucket {
    // Time since the clock's epoch divided by the ring's bucket width; -1 marks an unused bucket.
    std::int64_t index { -1 };
    Counts counts;

    bool operator==(const Bucket&) const = default;
};

// The most recent buckets of one width. The bucket with index i is at position i modulo the ring's size.
struct Ring {
    Duration width;
    std::vector<Bucket> buckets;
    // The greatest index in use, -1 if the ring is empty.
    std::int64_t newest { -1 };
    // Upper bound of the sum of the buckets in the window; it includes expired buckets not yet overwritten.
    Counts sum {};
};

constexpr Duration fineWidth = std::chrono::milliseconds(250);
constexpr std::size_t fineBuckets = 160;
constexpr Duration coarseWidth = std::chrono::seconds(10);
constexpr std::size_t coarseBuckets = 60;

// Buckets and records of a summary that are further ahead of the receiver's clock are ignored.
constexpr Duration clockTolerance = std::chrono::seconds(2);

// The same outcomes at two resolutions: the fine ring (40 s) for targets with much traffic, and the coarse ring
// (10 min) for targets with little traffic and for rare errors.
struct Rings {
    Ring fine { fineWidth, std::vector<Bucket>(fineBuckets), -1, {} };
    Ring coarse { coarseWidth, std::vector<Bucket>(coarseBuckets), -1, {} };
};

// Identifies the daemon incarnation that observed an outcome. A restarted daemon is a new observer.
struct ObserverId {
    DaemonId daemon;
    std::string failureDomain;

    bool operator==(const ObserverId&) const = default;

    // Returns the members in the order of comparison.
    auto key() const noexcept { return std::tie(this->daemon.vm, this->daemon.incarnation, this->failureDomain); }
    bool operator<(const ObserverId& other) const noexcept { return this->key() < other.key(); }
};

// The outcomes of one target. The sums by failure domain and over all observers are derived from the observers'
// rings and kept up to date, so that decisions need not add them up.
struct TargetEvidence {
    std::map<ObserverId, Rings> byObserver;
    std::map<std::string, Rings, std::less<>> byFailureDomain;
    Rings pooled;
};

using Evidence = std::map<TargetAddress, TargetEvidence, std::less<>>;

// One observer's counters of one target, as sent between daemons.
struct TargetCounters {
    TargetAddress target;
    std::vector<Bucket> fine;
    std::vector<Bucket> coarse;

    bool operator==(const TargetCounters&) const = default;
};

// Returns the index of the bucket that holds a time. Never throws; constant time.
std::int64_t bucketIndex(TimePoint, Duration width) noexcept;

// Returns the counters of the bucket with the given index, or zeros if the ring does not contain it. Constant time.
Counts countsAt(const Ring&, std::int64_t index) noexcept;

// Adds counts to an observer's buckets at the given time. O(log observers); may throw std::bad_alloc.
void addCounts(TargetEvidence&, const ObserverId&, TimePoint, const Counts& added);

// Merges another copy of an observer's counters and returns the counts that it added, each the greater of those
// added to the fine and to the coarse ring. Buckets outside the window that ends at now plus clockTolerance are ignored.
// O(buckets); may throw std::bad_alloc.
Counts mergeCounters(TargetEvidence&, const ObserverId&, const TargetCounters&, TimePoint now);

// Returns an observer's counters of a target since the given time, without unused buckets. O(buckets).
TargetCounters countersSince(std::string_view target, const Rings&, TimePoint since);

// Returns true if all buckets are older than the coarse ring's window. Constant time; never throws.
bool isStale(const TargetEvidence&, TimePoint now) noexcept;

// Removes observers and failure domains without outcomes in the coarse ring's window. O(observers).
void dropStaleObservers(TargetEvidence&, TimePoint now);

}
