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

// The targets that the store lists, and how long a target stays in use whose entry is removed. Deterministic, no I/O.
namespace flamingowick::proxy {

// A target's entry, as the target wrote it to the store.
struct TargetEntry {
    std::string service;
    grants::ListedTarget target;
    // When the target started, in milliseconds since the Unix epoch; 0 when the entry doesn't say. A target that
    // restarts under the same instance name has another start time, and has lost all its earlier state.
    std::int64_t startedAt { 0 };
};

struct DirectoryLimits {
    // How long after a store outage targets are kept whose entries expired during it, so that they can write them again.
    Duration lapseGrace { std::chrono::milliseconds(2300) };
    // The shortest outage in which entries may have lapsed: after three heartbeats of silence, of 1.5 s each, of which one may have been
    // sent just before it. Less a margin.
    Duration shortestLapsingOutage { std::chrono::milliseconds(2500) };
    // Outages that follow each other sooner count as one, since a target may have reached the store in none of the times between.
    Duration separateOutageTime { std::chrono::milliseconds(4500) };
    // How long a target is kept whose entry was removed together with many others: more likely the store has lost the
    // entries than that all the targets are gone. Shorter than the time for which a leaving target still serves.
    Duration massLossGrace { std::chrono::milliseconds(1500) };
    // Two or more removals within massLossSpan are a mass loss if they are at least this share of the service's targets.
    double massLossShare { 0.34 };
    Duration massLossSpan { std::chrono::seconds(1) };
    // How long a target that had gone, and that the store lists again after it has returned from an older copy, is left
    // out: the store removes entries after three heartbeats of silence, of 1.5 s each.
    Duration reappearanceDelay { std::chrono::seconds(6) };
    // A lower limit, such as one of 0, is kept as this one request in 5 s, so that its end is noticed.
    double minRequestsPerSecond { 0.2 };
    // How long a target's limit is kept that no response has repeated: it stands in all responses of such a target, so
    // that without any nobody knows whether it still holds.
    Duration limitMemory { std::chrono::seconds(30) };
    // For how long after a response that named the limit one without it is ignored: responses that reach two daemons may be
    // reported in the wrong order.
    Duration limitReorderSpan { std::chrono::milliseconds(250) };
    // How long an entry of an earlier start than the known one is ignored. A write of a target that has ended may be executed
    // late; the one that has started since writes its entry again within 1.5 s, or within twice that if a write is lost. An entry
    // that stays is of a target whose clock has been set back.
    Duration outdatedDelay { std::chrono::seconds(5) };
    // How long a target gets no requests after another instance has answered at its address. If it has ended, its entry is removed a few
    // seconds later; if the other one was there only for a while, the target is soon tried again.
    Duration absenceMemory { std::chrono::seconds(2) };
    // How long it is remembered that a target has gone: longer than a copy of the store is old.
    Duration goneMemory { std::chrono::seconds(60) };
};

// Names a target's incarnation, such as "i-7@1700000000000"; only the instance if its start isn't known.
std::string incarnationName(std::string_view instance, std::int64_t startedAt);

struct DirectoryEntry {
    TargetEntry entry;
    // Set when the entry was removed but its target is kept until this time; TimePoint::max() while the end of a store
    // outage is awaited.
    std::optional<TimePoint> graceEndsAt;
    // Until when the target wants no requests from this daemon; none if it has not said so. Lasts as long as the entry
    // and the target's incarnation.
    std::optional<TimePoint> heldOffUntil {};
    // When the limit in the entry's target was last named; none if the target has no limit.
    std::optional<TimePoint> limitNamedAt {};
    // Until when the target gets no requests since another instance has answered at its address; none if none has.
    std::optional<TimePoint> absentUntil {};
};

// A target that was dropped, as it was known last. If the same incarnation is listed again, what it has said of itself
// still holds: its entry may only have lapsed.
struct GoneTarget {
    DirectoryEntry known;
    TimePoint goneAt;
};

// An entry of an earlier start than the known one, and when it is used if the store still lists it.
struct OutdatedEntry {
    TargetEntry entry;
    TimePoint usedAt;
};

struct TargetDirectory {
    DirectoryLimits limits;
    std::map<std::string, DirectoryEntry, std::less<>> entries;
    // Targets that were dropped within goneMemory.
    std::map<std::string, GoneTarget, std::less<>> gone {};
    // Targets that had gone and are listed again since the store has returned, and until when they are left out.
    std::map<std::string, TargetEntry, std::less<>> reappeared {};
    std::optional<TimePoint> leftOutUntil {};
    std::map<std::string, OutdatedEntry, std::less<>> outdated {};
    // When the last store outage ended in which entries may have lapsed; none before the end of the first.
    std::optional<TimePoint> lastStoreOutageAt;
    // The last contact with the store before the present or last outage, none if it isn't known, and the end of that outage.
    std::optional<TimePoint> contactLostAt {};
    std::optional<TimePoint> contactRegainedAt {};
    bool storeUnavailable { false };
    // Services of the entries removed within massLossSpan, by the time of removal; to detect a mass loss.
    std::multimap<TimePoint, std::string> recentRemovals;
};

// What has changed for the users of the directory.
struct DirectoryChange {
    // Services whose targets have changed.
    std::set<std::string> changedServices;
    // Instances that were dropped or have restarted, so that connections to them are no longer of use.
    std::vector<std::string> dropped;
    // Instances that have announced that they leave.
    std::vector<std::string> leaving;
    // Instances whose limit on requests has begun, changed or ended.
    std::vector<std::string> limitsChanged;
    // Instances at whose addresses another one has answered, and which get no requests for absenceMemory.
    std::vector<std::string> absent;
    // Instances that are kept for a grace period although their entries were removed.
    std::vector<std::string> inGracePeriod;
};

// Applies written entries, and removes instances whose entries were removed or have become unreadable. A target that is
// leaving stays so until it restarts. storeConnectedFor says for how long the sender of the changes has been connected
// to the store without interruption, zero when unknown. The grace for expired entries counts from the start of that
// connection, even while this daemon itself can't reach the store.
DirectoryChange applyEntryChanges(TargetDirectory&, std::span<const TargetEntry> written, std::span<const std::string> removed, TimePoint now, Duration storeConnectedFor = Duration::zero());

// Record the start and the end of a store outage. With a known time of the last contact before it, an outage that was too short for entries to
// lapse in it gives no grace to those that were removed.
void markStoreUnavailable(TargetDirectory&, std::optional<TimePoint> lastContactAt = std::nullopt);
void markStoreAvailable(TargetDirectory&, TimePoint now);

// Records that the store has returned from an older copy: targets that had gone and that it lists again are left out until
// the store has had the time to remove them. Those of a later start are used at once.
void markStoreReturned(TargetDirectory&, TimePoint now);

// Drops the targets whose grace period has ended, uses the reappeared ones that are still listed and the absent ones that are to be tried
// again, and forgets limits that were not named again.
DirectoryChange expireEntries(TargetDirectory&, TimePoint now);

// Returns when expireEntries() is due next; none when no limit, absence or grace period has a known end. Linear in all entries.
std::optional<TimePoint> nextEntryExpiry(const TargetDirectory&);

// Returns the targets of a service, leaving ones included. Absent ones count as leaving. Linear in all entries.
std::vector<grants::ListedTarget> targetsOf(const TargetDirectory&, std::string_view service);

// Returns the number of targets of a service, leaving ones included. Linear in all entries.
std::size_t countTargets(const TargetDirectory&, std::string_view service);

// Records that a target has said itself that it is leaving, whatever its entry says. Remembered for a target that has gone, since its entry
// may be listed again. Ignored if the instance isn't known or has restarted since startedAt. Logarithmic.
DirectoryChange markLeaving(TargetDirectory&, std::string_view instance, std::int64_t startedAt);

// Records the limit that a target has named, in requests per second, or that a response of it named none. Remembered and ignored as by
// markLeaving(). Logarithmic.
DirectoryChange setRequestLimit(TargetDirectory&, std::string_view instance, std::int64_t startedAt, std::optional<double> perSecond, TimePoint now);

// Records that a target wants no requests from this daemon before the given time. An end that is later already stays.
// Remembered and ignored as by markLeaving(). Logarithmic.
void holdOff(TargetDirectory&, std::string_view instance, std::int64_t startedAt, TimePoint until);

// Records that another instance has answered at the target's address: it gets no requests for absenceMemory. Ignored if the instance isn't
// known, or has restarted or moved to another address since. Logarithmic.
DirectoryChange markAbsent(TargetDirectory&, std::string_view instance, std::int64_t startedAt, std::string_view address, TimePoint now);

// Returns whether the target wants no requests from this daemon at this time. Never throws.
bool isHeldOff(const DirectoryEntry&, TimePoint now) noexcept;

// Returns whether new requests may be sent to the target: it is neither leaving, absent nor held off. Never throws.
bool acceptsRequests(const DirectoryEntry&, TimePoint now) noexcept;

// Returns the same of an instance, false if it isn't listed. Logarithmic.
bool acceptsRequests(const TargetDirectory&, std::string_view instance, TimePoint now);

// Returns the soonest end of the time for which the service's targets are held off. None if a target accepts requests,
// or if all are leaving or absent. Linear in all entries.
std::optional<TimePoint> soonestHoldOffEnd(const TargetDirectory&, std::string_view service, TimePoint now);

}
