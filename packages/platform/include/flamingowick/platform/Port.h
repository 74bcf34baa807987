#pragma once

#include "flamingowick/platform/Object.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

// The interface to the platform's object store: callers submit typed calls, and a handler receives their results
// asynchronously, on another thread.
namespace flamingowick::platform {

// Identifies a call. Chosen by the caller and copied into every result of the call. Must not be reused while a result
// is outstanding.
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

// Creates an object. Ends in Applied, Conflict (the name is in use), Rejected, UnknownOutcome or Unavailable.
struct Create {
    CallId id { 0 };
    Object object;
};

// Replaces an object if its stored version is still object.resourceVersion, which must not be empty. Ends in
// Applied, Conflict, Absent, Rejected, UnknownOutcome or Unavailable.
struct Put {
    CallId id { 0 };
    Object object;
};

// Deletes an object if its stored version is still resourceVersion, which must not be empty. Ends in
// Applied, Conflict, Absent, Rejected, UnknownOutcome or Unavailable.
struct Delete {
    CallId id { 0 };
    Plural plural { Plural::ServiceDocuments };
    std::string name;
    std::string resourceVersion;
};

// Watches all objects of a kind until a StopWatch with the same id. The results are a WatchSnapshot first and whenever
// the store no longer keeps the changes since the last known version, WatchEvents for the changes after a snapshot, and
// WatchInterrupted when requests of the watch fail.
struct Watch {
    CallId id { 0 };
    Plural plural { Plural::ServiceDocuments };
};

// Ends a watch. Has no result of its own. The watch produces no results after the client has handled this call.
struct StopWatch {
    CallId id { 0 };
};

using Call = std::variant<Get, List, Create, Put, Delete, Watch, StopWatch>;

// The objects that a Get or a List read: exactly one for a Get.
struct Found {
    CallId id { 0 };
    std::vector<Object> objects;
    // The version of the list, or of the object after a Get.
    std::string resourceVersion;
};

// No object of that name exists.
struct Absent {
    CallId id { 0 };
};

// The write took effect. The object is as stored, with its new version; after a Delete, as last stored.
struct Applied {
    CallId id { 0 };
    Object object;
};

// The write did not take effect, because the object has another version or the name is in use.
struct Conflict {
    CallId id { 0 };
};

// The store or the client rejected the call, which had no effect.
struct Rejected {
    CallId id { 0 };
    // HTTP status; 0 when the client rejected the call without sending it.
    unsigned status { 0 };
    std::string reason;
};

// The write may or may not have taken effect: it was sent, at least in part, and no response says whether it was
// stored. It may still take effect later. To find out, read the object and compare its changeId.
struct UnknownOutcome {
    CallId id { 0 };
    std::string reason;
};

// The store gave no usable response or asked to slow down. The call had no effect and will have none.
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
    // The object as stored; for Deleted, as last stored, with the version of the deletion.
    Object object;

    bool operator==(const WatchEvent&) const = default;
};

// All objects of the watched kind at one version. Objects from earlier results of the watch that are not in the
// snapshot have been deleted.
struct WatchSnapshot {
    CallId id { 0 };
    std::vector<Object> objects;
    std::string resourceVersion;
};

// Changes in the order in which they took effect. Has no events when it reports that the store accepted a request.
struct WatchEvents {
    CallId id { 0 };
    std::vector<WatchEvent> events;
    // The version up to which all changes have been delivered.
    std::string resourceVersion;
};

// Requests of the watch fail and are retried; reported once until one succeeds. Earlier results stay the latest known.
struct WatchInterrupted {
    CallId id { 0 };
    std::string reason;
};

using Result = std::variant<Found, Absent, Applied, Conflict, Rejected, UnknownOutcome, Unavailable,
    WatchSnapshot, WatchEvents, WatchInterrupted>;

// Called for each result. Must not throw or block.
using ResultHandler = std::function<void(Result)>;

// The interface that callers use, so that a test can replace the client with a fake.
struct Port {
    // Submits a call without waiting for it. Every accepted call except Watch and StopWatch has exactly one result.
    // Returns false when too many calls are waiting or the client is stopped; the call then has no effect and no
    // result. Thread-safe.
    std::function<bool(Call)> submit;
};

// Returns the id of the call that produced the result. Never throws.
CallId callId(const Result&) noexcept;

// Returns the id of the call. Never throws.
CallId callId(const Call&) noexcept;

}
