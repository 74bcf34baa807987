#pragma once

#include "flamingowick/keys/EntryTable.h"
#include "flamingowick/keys/IssuedKeys.h"
#include "flamingowick/keys/Messages.h"
#include "flamingowick/keys/Policy.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// Runs non-idempotent keyed requests at most once. Each range of keys has one owner, which a record in the object store
// names; ownership has no lease and does not expire. One State per daemon serves both as entry and as owner. handle()
// reads no clock and does no I/O.
namespace flamingowick::keys {

struct KeyLimits {
    EntryLimits entries;
    // Number of ranges of each service. Must be the same on every daemon.
    std::uint32_t rangesPerService { defaultRangesPerService };
    // The maximum age of a request that an owner accepts, and the maximum time that a dispatched request stays in
    // flight.
    Duration longestFlight { std::chrono::seconds(90) };
    // How long after a heartbeat the entry may still read requests that had arrived before it.
    Duration stampSettle { std::chrono::seconds(1) };
    // How long a not-run refusal may take from the owner to the caller. During this time the owner runs no other
    // attempt of the key.
    Duration tellLimit { std::chrono::seconds(1) };
    // How long an entry waits for a new owner to be known after the previous one has refused a request.
    Duration handOverPatience { std::chrono::milliseconds(500) };
    // Interval between retries of store operations, and between sends of the entries to a successor.
    Duration retryInterval { std::chrono::seconds(1) };
    // A jump of the wall clock against the steady clock beyond this means that the machine was suspended.
    Duration suspendLimit { std::chrono::seconds(2) };
    // Wall clock readings that took longer than this are ignored.
    Duration maxReadingWidth { std::chrono::milliseconds(50) };
    // Maximum number of cached records that hint where to forward requests.
    std::size_t maxViews { 20000 };
};

enum class HoldingStatus : std::uint8_t {
    // This daemon neither owns nor claims the range.
    Idle,
    // The record is being read, to claim the range or to determine the outcome of a write.
    Reading,
    // A claim is being written.
    Writing,
    // The record names this daemon, which may not run keys yet.
    AwaitingEntries,
    // This daemon runs the range's keys.
    Active,
    // This daemon runs no more keys in this epoch; the record is being written with the successor as owner.
    HandingOver,
    // A later epoch has another owner. Entries stay until acknowledged (or the successor has ended) and none is running.
    HandedOver,
};

// The state of one range at this daemon.
struct Holding {
    HoldingStatus status { HoldingStatus::Idle };
    // The record that this daemon acts on, from a read or an applied write of the store.
    RangeRecord record;
    // The record that is being written.
    RangeRecord proposed;
    std::string expectedVersion;
    // This daemon's ownership has ended in all epochs up to this one, even if a stale read shows it as owner.
    std::uint64_t epochFloor { 0 };
    // The latest epoch for which a peer announced this daemon as owner during a read of the record; 0 for none.
    std::uint64_t announcedEpoch { 0 };
    // When the store operation or the send to the successor is retried.
    TimePoint retryAt;
    // Keys that a predecessor may have seen are answered as unknown until then.
    std::optional<TimePoint> unknownUntil;
    // Keys with a time later than this by more than the clock bound were created after the takeover.
    std::int64_t freshAfterWallMs { 0 };
    // The previous owner's entries, final for their epoch, until they are added to the table.
    std::optional<HandedRange> received;
    TimePoint receivedAt;
    // Entries of keys with an earlier time may have been erased under a shorter retention. Milliseconds since the Unix
    // epoch.
    std::int64_t oldestUsableMs { 0 };
    DaemonId successor;
    // The successor has acknowledged the entries.
    bool acknowledged { false };
};

// The last accepted reading of the wall clock. The current time is extrapolated from it by the steady clock.
struct WallClock {
    std::int64_t wallMs { 0 };
    TimePoint at;
    bool known { false };
    // The maximum by which a peer's wall clock was ahead of the local one.
    std::int64_t peerAheadMs { 0 };
};

// Heartbeat times of one owner. newer replaces usable KeyLimits::stampSettle after it was received: by then every
// request that had arrived before it has been read.
struct OwnerStamps {
    Incarnation incarnation { 0 };
    std::optional<TimePoint> usable;
    TimePoint usableSince;
    std::optional<TimePoint> newer;
    TimePoint newerSince;
    TimePoint heardAt;
};

// A caller's request that this entry VM has not answered yet.
struct Attempt {
    Request request;
    RangeId range;
    TimePoint acceptedAt;
    DaemonId forwardedTo;
    TimePoint forwardedAt;
    // The epoch in which the request was last forwarded.
    std::uint64_t epoch { 0 };
    unsigned forwards { 0 };
    // Set after a refusal while the request waits for the record of a new owner.
    std::optional<TimePoint> waitUntil;
};

struct EntrySide {
    std::map<RangeId, RangeRecord> views;
    // Ranges whose record is being read, with the time of the last read.
    std::map<RangeId, TimePoint> lookups;
    // By VM, for the latest incarnation of each.
    std::map<std::string, OwnerStamps> stamps;
    std::unordered_map<RequestId, Attempt> attempts;
};

struct State {
    DaemonId self;
    KeyLimits limits;
    Policy policy;
    std::map<std::string, KeyPolicy> policies;
    // The shortest retention of each service since the start; it limits the age of issued keys.
    std::map<std::string, Duration> shortestRetention;
    std::map<RangeId, Holding> holdings;
    EntryTable table;
    IssuedKeys issued;
    EntrySide entry;
    WallClock wall;
    // Requests with an older stamp are refused: they may have been in flight while the machine was suspended.
    std::optional<TimePoint> stampFloor;
    // For each VM, the latest incarnation whose process is proven to have ended.
    std::map<std::string, Incarnation> provenDead;
    std::uint64_t changeCounter { 0 };
    // Set by Stopping; no more ranges are claimed.
    bool stopping { false };
};

// Handles an event and returns the actions to perform, in order. Throws InvariantViolation when the invariant
// AtMostOnce, NotRunIsTrue or SingleOwner is violated, after which the state must not be used, and std::bad_alloc.
// Logarithmic in the sizes of the tables; for Tick, linear in the pending attempts and in the ranges.
std::vector<Action> handle(State&, const Event&, TimePoint now);

// Returns how long entries of a service are retained: the retention in its document, but at least twice
// KeyLimits::longestFlight.
Duration retentionOf(const State&, const std::string& service);

}
