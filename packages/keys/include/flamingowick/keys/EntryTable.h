#pragma once

#include "flamingowick/keys/RangeRecord.h"
#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Request.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

// The keys that a daemon has seen for the ranges it owns, in bounded memory.
namespace flamingowick::keys {

enum class EntryState : std::uint8_t {
    // Handed to a dispatcher whose word is awaited.
    Running,
    // Answered by a target; the answer is replayed.
    Finished,
    // May have run. Never dispatched again.
    Unknown,
};

// What is known of one key that may have run.
struct KeyEntry {
    std::string key;
    std::uint64_t digest { 0 };
    std::string caller;
    EntryState state { EntryState::Running };
    // The request that was dispatched.
    RequestId runner;
    // Absent while running, and when there was no room to keep it.
    std::optional<Answer> answer;
    // When a running entry becomes unknown and any other is forgotten.
    TimePoint expiresAt;
};

// The keys of one range.
struct RangeEntries {
    std::unordered_map<std::string, KeyEntry> entries;
    // Hashes of keys that callers were told not-run of, with the time of telling. A request that its
    // entry VM accepted before that time must not run.
    std::unordered_map<std::uint64_t, TimePoint> refusals;
    // The latest telling that found no room in refusals; it counts for every key of the range.
    std::optional<TimePoint> refusalFloor;
};

struct EntryLimits {
    std::size_t maxEntries { 50000 };
    std::size_t maxBytes { 32U << 20U };
    std::size_t maxRefusals { 50000 };
};

struct EntryTable {
    std::map<RangeId, RangeEntries> ranges;
    // Expiry order over all ranges.
    std::set<std::pair<TimePoint, std::pair<RangeId, std::string>>> expiries;
    // Where the entry of a dispatched request is.
    std::unordered_map<RequestId, std::pair<RangeId, std::string>> runners;
    std::size_t entryCount { 0 };
    std::size_t byteCount { 0 };
    std::size_t refusalCount { 0 };
};

// Returns the entry of a key, or null. Never throws; expected logarithmic time.
KeyEntry* findEntry(EntryTable&, const RangeId&, const std::string& key);

// Returns the entry whose dispatch a request was, with its range, or null.
KeyEntry* findRunner(EntryTable&, const RequestId&, RangeId& range);

// Tells whether one more entry fits, with this key and caller. Never throws.
bool hasRoom(const EntryTable&, const EntryLimits&, const Request&) noexcept;

// Adds an entry, replacing none: the key must be absent, else InvariantViolation (AtMostOnce).
// Limits are not looked at. The reference holds until the entry is erased. May throw std::bad_alloc.
KeyEntry& addEntry(EntryTable&, const RangeId&, const KeyEntry&);

// Moves the expiry of an entry.
void setExpiry(EntryTable&, const RangeId&, KeyEntry&, TimePoint expiresAt);

// Keeps the settled entries of a service for so much longer. Linear in their number.
void extendExpiries(EntryTable&, std::string_view service, Duration by);

// Keeps the answer of an entry for replay, or drops it when it does not fit.
void keepAnswer(EntryTable&, const EntryLimits&, KeyEntry&, const Answer&);

// Forgets one key.
void eraseEntry(EntryTable&, const RangeId&, const std::string& key);

// Forgets a range with all that belongs to it.
void eraseRange(EntryTable&, const RangeId&);

// Returns the entries whose expiry has come, earliest first. Linear in their number; may throw
// std::bad_alloc.
std::vector<std::pair<RangeId, std::string>> dueEntries(const EntryTable&, TimePoint now);

// Tells whether a dispatched request of the range is still running here. Linear in the running ones.
bool hasRunners(const EntryTable&, const RangeId&);

// Forgets which entry a request was dispatched for, once its dispatcher has spoken.
void forgetRunner(EntryTable&, const RequestId&);

// Remembers that callers are told not-run of a key from now on.
void rememberRefusal(EntryTable&, const EntryLimits&, const RangeId&, std::string_view key, TimePoint now);

enum class RefusalMatch : std::uint8_t {
    None,
    // This key was refused after the request had been accepted.
    SameKey,
    // Some key of the range was, and this one can't be told from it.
    AnyKey,
};

// Whether a request accepted at the stamp or later was sent after the refusal was told, which took no
// longer than the hold.
using AcceptedAfterRefusal = bool (*)(TimePoint stamp, TimePoint refusedAt, Duration hold) noexcept;

// Compares a request with the refusals of its range. Never throws; constant expected time.
RefusalMatch matchRefusal(const RangeEntries&, std::string_view key, TimePoint stamp, Duration hold, AcceptedAfterRefusal) noexcept;

// Forgets refusals older than the limit, after which every request from before them is stale.
void expireRefusals(EntryTable&, TimePoint now, Duration limit);

}
