#pragma once

#include "flamingowick/grants/TargetPool.h"
#include "flamingowick/model/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The targets that the platform lists, and what to make of entries that vanish. Deterministic,
// without I/O.
namespace flamingowick::proxy {

// One entry as its target wrote it.
struct TargetEntry {
    std::string service;
    grants::ListedTarget target;
    // Milliseconds since the Unix epoch of the target's start; 0 when it doesn't say. An instance that
    // starts again keeps its name and knows nothing of before.
    std::int64_t startedAt { 0 };
};

struct DirectoryLimits {
    // How long entries that lapsed while the store was away may take to come back after its return.
    Duration lapseGrace { std::chrono::milliseconds(2300) };
    // How long a target is kept whose entry vanished together with many others: more likely the store
    // forgot them than that all are gone. Shorter than the time for which a leaving target serves.
    Duration massLossGrace { std::chrono::milliseconds(1500) };
    // Share of a service's entries that counts as many, if they vanish within massLossSpan.
    double massLossShare { 0.34 };
    Duration massLossSpan { std::chrono::seconds(1) };
};

struct DirectoryEntry {
    TargetEntry entry;
    // Set when the entry has vanished and the target is used until this time.
    std::optional<TimePoint> keptUntil;
};

struct TargetDirectory {
    DirectoryLimits limits;
    std::map<std::string, DirectoryEntry, std::less<>> entries;
    // When the store was last known to be away; none before the first failure.
    std::optional<TimePoint> storeAwayUntil;
    bool storeAway { false };
    // Recent removals of each service, for telling mass loss.
    std::multimap<TimePoint, std::string> removals;
};

// What a change means for those who use the directory.
struct DirectoryChange {
    std::set<std::string> services;
    // Instances that take no further requests.
    std::vector<std::string> gone;
    // Instances that began to leave.
    std::vector<std::string> leaving;
    // Instances that vanished but are kept for a while.
    std::vector<std::string> kept;
};

// Takes in entries that were written, and instances whose entries were removed or can't be read any
// more. An entry that said that it leaves stays so until its target starts anew. Who tells of the changes
// has been in touch with the store for the given time without a break, zero for unknown: the grace for
// lapsed entries counts from then, even while this daemon itself can't reach the store.
DirectoryChange changeEntries(TargetDirectory&, std::span<const TargetEntry> written, std::span<const std::string> removed, TimePoint now, Duration inTouchFor = Duration::zero());

void noteStoreAway(TargetDirectory&);
void noteStoreBack(TargetDirectory&, TimePoint now);

// Drops targets whose time has run out.
DirectoryChange expireEntries(TargetDirectory&, TimePoint now);

// When expireEntries() is due next; none when nothing is kept.
std::optional<TimePoint> nextEntryExpiry(const TargetDirectory&);

// The targets of a service. Linear in all entries.
std::vector<grants::ListedTarget> targetsOf(const TargetDirectory&, std::string_view service);

// How many targets a service has. Linear in all entries.
std::size_t countTargets(const TargetDirectory&, std::string_view service);

// Whether new requests may go to the instance.
bool takesRequests(const TargetDirectory&, std::string_view instance);

}
