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

// Runs non-idempotent keyed requests at most once. Each range of keys has one owner, named by a
// record in the platform's store and held without a lease. One State per daemon serves both as entry
// and as owner; handle() is pure: it reads no clock and does no I/O.
namespace flamingowick::keys {

struct KeyLimits {
    EntryLimits entries;
    // Ranges of each service; the same on every daemon.
    std::uint32_t rangesPerService { defaultRangesPerService };
    // The greatest age of a request that an owner takes up, and the longest that a dispatched one can
    // stay in flight.
    Duration longestFlight { std::chrono::seconds(90) };
    // How long after a heartbeat requests may still be read that had come in before it.
    Duration stampSettle { std::chrono::seconds(1) };
    // How long a refusal that says not-run may take from the owner to the caller. Until then the owner
    // lets no later attempt of the key run.
    Duration tellLimit { std::chrono::seconds(1) };
    // How long an entry waits for the word of a new owner after the former has refused a request.
    Duration handOverPatience { std::chrono::milliseconds(500) };
    // Pause between attempts at the store, and between sends of the entries.
    Duration retryInterval { std::chrono::seconds(1) };
    // Step of the wall clock against the steady one that is taken for a suspended machine.
    Duration suspendLimit { std::chrono::seconds(2) };
    // Longest time that reading both clocks may have taken.
    Duration maxReadingWidth { std::chrono::milliseconds(50) };
    // Records remembered as hints where to forward to.
    std::size_t maxViews { 20000 };
};

enum class HoldingStatus : std::uint8_t {
    // The range is of no concern to this daemon.
    Idle,
    // The record is being read, to claim the range or to settle the outcome of a write.
    Reading,
    // A claim is being written.
    Writing,
    // The record names this daemon, which may not act yet.
    AwaitingEntries,
    // This daemon runs the range's keys.
    Active,
    // Stopped for good in this epoch; the record is being rewritten for the successor.
    HandingOver,
    // The record names the successor; it has yet to take the entries.
    HandedOver,
};

// One range from this daemon's point of view.
struct Holding {
    HoldingStatus status { HoldingStatus::Idle };
    // The record that this daemon acts on; from the store or its own applied write.
    RangeRecord record;
    // The record that is being written.
    RangeRecord proposed;
    std::string expectedVersion;
    // Epochs up to this one are over for this daemon whatever a stale read may show.
    std::uint64_t epochFloor { 0 };
    // The latest epoch in which this daemon was announced as owner while it read the record; 0 for none.
    std::uint64_t announcedEpoch { 0 };
    // When the store or the successor is asked again.
    TimePoint retryAt;
    // Keys that a predecessor may have seen are unknown until then.
    std::optional<TimePoint> unknownUntil;
    // Keys with a time later than this by more than the clock bound are new since the takeover.
    std::int64_t freshAfterWallMs { 0 };
    // Entries that came for this range, final for their epoch.
    std::optional<HandedRange> received;
    TimePoint receivedAt;
    // Keys with an earlier time may have been forgotten under a shorter retention.
    std::int64_t oldestUsableMs { 0 };
    DaemonId successor;
    // The successor has confirmed the entries.
    bool acknowledged { false };
};

// The wall clock, carried forward by the steady one.
struct WallClock {
    std::int64_t wallMs { 0 };
    TimePoint at;
    bool known { false };
    // How far the most advanced peer's wall clock was seen ahead of this one.
    std::int64_t peerAheadMs { 0 };
};

// Heartbeat times of one owner. newer becomes usable once it has settled.
struct OwnerStamps {
    Incarnation incarnation { 0 };
    std::optional<TimePoint> usable;
    TimePoint usableSince;
    std::optional<TimePoint> newer;
    TimePoint newerSince;
    TimePoint heardAt;
};

// A caller's request that this entry VM has yet to answer.
struct Attempt {
    Request request;
    RangeId range;
    TimePoint acceptedAt;
    DaemonId forwardedTo;
    TimePoint forwardedAt;
    // The epoch that the request was last forwarded under.
    std::uint64_t epoch { 0 };
    unsigned forwards { 0 };
    // Set while the owner has refused the request and a later one may still be heard of.
    std::optional<TimePoint> waitUntil;
};

struct EntrySide {
    std::map<RangeId, RangeRecord> views;
    // Ranges whose record was asked for, with the time of asking.
    std::map<RangeId, TimePoint> lookups;
    // By VM; only the latest incarnation of each.
    std::map<std::string, OwnerStamps> stamps;
    std::unordered_map<RequestId, Attempt> attempts;
};

struct State {
    DaemonId self;
    KeyLimits limits;
    Policy policy;
    std::map<std::string, KeyPolicy> policies;
    // For each service the shortest retention since the start, by which issued keys grow too old.
    std::map<std::string, Duration> shortestRetention;
    std::map<RangeId, Holding> holdings;
    EntryTable table;
    IssuedKeys issued;
    EntrySide entry;
    WallClock wall;
    // Requests with an older stamp were under way when the machine was suspended.
    std::optional<TimePoint> stampFloor;
    // For each VM the latest incarnation that is known to be gone.
    std::map<std::string, Incarnation> provenDead;
    std::uint64_t changeCounter { 0 };
    // Set by Stopping: no range is claimed any more.
    bool stopping { false };
};

// Takes an event in and returns what is to be done, in order. Throws InvariantViolation when one of
// the promises AtMostOnce, NotRunIsTrue or SingleOwner is found broken, after which the state must
// not be used, and std::bad_alloc. Logarithmic in the sizes of the tables, but linear in the open
// attempts and holdings for Tick.
std::vector<Action> handle(State&, const Event&, TimePoint now);

// Returns how long entries of a service are kept: its document's retention, but never less than
// twice the longest flight.
Duration retentionOf(const State&, const std::string& service);

}
