#pragma once

#include "flamingowick/platform/Object.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

// The port to the platform's object API: typed calls go in, typed results come out, later and from
// another thread.
namespace flamingowick::platform {

// Chosen by who makes the call and carried by every result of it. Not reused while a result is
// outstanding.
using CallId = std::uint64_t;

// Reads one object. Ends in Found, Absent, Rejected or Unavailable.
struct Get {
    CallId id { 0 };
    Plural plural { Plural::ServiceDocuments };
    std::string name;
};

// Reads all objects of a kind. Ends in Found, Rejected or Unavailable.
struct List {
    CallId id { 0 };
    Plural plural { Plural::ServiceDocuments };
};

// Stores an object that must not exist yet. Ends in Applied, Conflict (the name is taken),
// Rejected, UnknownOutcome or Unavailable.
struct Create {
    CallId id { 0 };
    Object object;
};

// Replaces an object, only when its stored version is still object.resourceVersion, which must not
// be empty. Ends in Applied, Conflict, Absent, Rejected, UnknownOutcome or Unavailable.
struct Put {
    CallId id { 0 };
    Object object;
};

// Removes an object, only when its stored version is still resourceVersion, which must not be
// empty. Ends in Applied, Conflict, Absent, Rejected, UnknownOutcome or Unavailable.
struct Delete {
    CallId id { 0 };
    Plural plural { Plural::ServiceDocuments };
    std::string name;
    std::string resourceVersion;
};

// Follows all objects of a kind until StopWatch names the same id. Gives a WatchSnapshot first and
// whenever the course of changes was lost, WatchEvents for what changes after it, and
// WatchInterrupted when the platform stops answering.
struct Watch {
    CallId id { 0 };
    Plural plural { Plural::ServiceDocuments };
};

// Ends a watch. Has no result of its own; none of the watch's results is made after it was taken in.
struct StopWatch {
    CallId id { 0 };
};

using Call = std::variant<Get, List, Create, Put, Delete, Watch, StopWatch>;

// What a Get or a List read: one object for a Get.
struct Found {
    CallId id { 0 };
    std::vector<Object> objects;
    // The version of the whole list; of the object itself after a Get.
    std::string resourceVersion;
};

// There is no object of that name.
struct Absent {
    CallId id { 0 };
};

// The write took effect. The object is as stored, with its new version; as last stored after a
// Delete.
struct Applied {
    CallId id { 0 };
    Object object;
};

// The write did not take effect, because the object has another version or the name is taken.
struct Conflict {
    CallId id { 0 };
};

// The platform answered that the call can't be done, and did not do it.
struct Rejected {
    CallId id { 0 };
    // HTTP status; 0 when the adapter itself refused the call.
    unsigned status { 0 };
    std::string reason;
};

// The write may or may not have taken effect: it was sent, in whole or in part, and no answer that
// settles it came. It may still take effect later. Reading back the change id resolves it.
struct UnknownOutcome {
    CallId id { 0 };
    std::string reason;
};

// The platform gave no answer, and the call had no effect and will have none.
struct Unavailable {
    CallId id { 0 };
    std::string reason;
};

enum class ChangeType : std::uint8_t {
    Added,
    Modified,
    Deleted,
};

struct WatchEvent {
    ChangeType type { ChangeType::Added };
    // As stored; as last stored, with the version of the removal, for Deleted.
    Object object;

    bool operator==(const WatchEvent&) const = default;
};

// All objects of the watched kind at one version. What an earlier result of the watch gave and this
// one doesn't name is gone.
struct WatchSnapshot {
    CallId id { 0 };
    std::vector<Object> objects;
    std::string resourceVersion;
};

// Changes in the order in which they took effect.
struct WatchEvents {
    CallId id { 0 };
    std::vector<WatchEvent> events;
    // The version up to which the watcher has seen everything.
    std::string resourceVersion;
};

// The watch gets no answer at present and is tried again. What it gave before stays the last known.
struct WatchInterrupted {
    CallId id { 0 };
    std::string reason;
};

using Result = std::variant<Found, Absent, Applied, Conflict, Rejected, UnknownOutcome, Unavailable,
    WatchSnapshot, WatchEvents, WatchInterrupted>;

// Takes results. Must not throw or block.
using ResultHandler = std::function<void(Result)>;

// The port as its users hold it, so that a test can put a fake behind it.
struct Port {
    // Takes a call in and returns at once. Every call but Watch and StopWatch that was taken in gives
    // exactly one result. Returns false, and then the call has no effect and no result, when too
    // many calls wait or the adapter is stopped. Safe from any thread.
    std::function<bool(Call)> submit;
};

// Returns the id of the call that the result belongs to. Never throws.
CallId callId(const Result&) noexcept;

// Returns the id of the call. Never throws.
CallId callId(const Call&) noexcept;

}
