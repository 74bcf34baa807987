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

// The keys that a daemon has received for the ranges it owns, in bounded memory.
namespace flamingowick::keys {

enum class EntryState : std::uint8_t {
    // Sent to a dispatcher that has not answered yet.
    Running,
    // Answered by a target; resends get the same answer.
    Finished,
    // The outcome is not known: the request may have run. Never dispatched again.
    Unknown,
};

// The state of one key that may have run.
struct KeyEntry {
    std::string key;
    std::uint64_t digest { 0 };
    std::string caller;
    EntryState state { EntryState::Running };
    // The request that was dispatched.
    RequestId runner;
    // Absent while running, and when it did not fit into EntryLimits::maxBytes.
    std::optional<Answer> answer;
    // When a running entry becomes unknown, or any other entry is erased.
    TimePoint expiresAt;
};

// The keys of one range.
struct RangeEntries {
    std::unordered_map<std::string, KeyEntry> entries;
    // Hashes of keys that were refused with the outcome not-run, with the time of the refusal. A request that its
    // entry VM accepted before that time must not run, or the refusal would be false.
    std::unordered_map<std::uint64_t, TimePoint> refusals;
    // The latest refusal that did not fit into refusals. It applies to every key of the range.
    std::optional<TimePoint> refusalFloor;
};

struct EntryLimits {
    std::size_t maxEntries { 50000 };
    std::size_t maxBytes { 32U << 20U };
    std::size_t maxRefusals { 50000 };
};

struct EntryTable {
    std::map<RangeId, RangeEntries> ranges;
    // Entries of all ranges in order of expiry.
    std::set<std::pair<TimePoint, std::pair<RangeId, std::string>>> expiries;
    // The range and the key of each dispatched request.
    std::unordered_map<RequestId, std::pair<RangeId, std::string>> runners;
    std::size_t entryCount { 0 };
    std::size_t byteCount { 0 };
    std::size_t refusalCount { 0 };
};

// Returns the entry of a key, or null. Never throws; expected logarithmic time.
KeyEntry* findEntry(EntryTable&, const RangeId&, const std::string& key);

// Returns the entry of a dispatched request and sets its range, or returns null.
KeyEntry* findRunner(EntryTable&, const RequestId&, RangeId& range);

// Returns whether an entry for the request fits into the limits. Never throws.
bool hasRoom(const EntryTable&, const EntryLimits&, const Request&) noexcept;

// Adds an entry, replacing none: the key must be absent, else InvariantViolation (AtMostOnce).
// Limits are not checked. The reference is valid until the entry is erased. May throw std::bad_alloc.
KeyEntry& addEntry(EntryTable&, const RangeId&, const KeyEntry&);

// Changes the expiry of an entry.
void setExpiry(EntryTable&, const RangeId&, KeyEntry&, TimePoint expiresAt);

// Extends the expiry of the entries of a service that are not running. Linear in their number.
void extendExpiries(EntryTable&, std::string_view service, Duration by);

// Stores the answer of an entry for resends, unless it does not fit into EntryLimits::maxBytes.
void keepAnswer(EntryTable&, const EntryLimits&, KeyEntry&, const Answer&);

// Erases the entry of a key, if there is one.
void eraseEntry(EntryTable&, const RangeId&, const std::string& key);

// Erases all entries and refusals of a range.
void eraseRange(EntryTable&, const RangeId&);

// Returns the entries that have expired, earliest first. Linear in their number; may throw
// std::bad_alloc.
std::vector<std::pair<RangeId, std::string>> dueEntries(const EntryTable&, TimePoint now);

// Returns whether a dispatched request of the range has not finished yet. Linear in the unfinished requests.
bool hasRunners(const EntryTable&, const RangeId&);

// Removes a dispatched request after its dispatcher has answered. The entry stays.
void forgetRunner(EntryTable&, const RequestId&);

// Records that a key is refused with the outcome not-run now.
void rememberRefusal(EntryTable&, const EntryLimits&, const RangeId&, std::string_view key, TimePoint now);

enum class RefusalMatch : std::uint8_t {
    None,
    // This key was refused after the request had been accepted.
    SameKey,
    // Some key of the range was refused after the request had been accepted, and it may be this key.
    AnyKey,
};

// Returns whether a request that was accepted at the stamp or later was sent after the refusal had reached the caller,
// which takes no longer than hold.
using AcceptedAfterRefusal = bool (*)(TimePoint stamp, TimePoint refusedAt, Duration hold) noexcept;

// Returns whether the request may have been accepted before a refusal of its key or range. Never throws; constant
// expected time.
RefusalMatch matchRefusal(const RangeEntries&, std::string_view key, TimePoint stamp, Duration hold, AcceptedAfterRefusal) noexcept;

// Erases refusals older than the limit. Requests accepted before them are too old to be run by then.
void expireRefusals(EntryTable&, TimePoint now, Duration limit);

}
