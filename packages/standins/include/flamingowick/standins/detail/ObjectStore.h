#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The objects of the stand-in platform with their versions and the history that watches read.
namespace flamingowick::standins::detail {

struct StoredObject {
    std::string name;
    std::uint64_t version { 0 };
    // JSON texts; annotations is an object.
    std::string annotations;
    std::string spec;
};

enum class StoreStatus : std::uint8_t {
    Done,
    NotFound,
    Conflict,
    Full,
};

struct StoreWrite {
    StoreStatus status { StoreStatus::Done };
    StoredObject object;
};

enum class StoreChange : std::uint8_t {
    Added,
    Modified,
    Deleted,
};

struct StoreEvent {
    StoreChange change { StoreChange::Added };
    StoredObject object;
    TimePoint at;
};

struct StoreLimits {
    // Events of one kind kept for watches; older ones are gone.
    std::size_t maxHistory { 4096 };
    // Bytes of specs and annotations over all objects and histories.
    std::size_t maxBytes { 512U << 20U };
};

// All objects of all kinds. Reads see a kind's changes only when they are older than its lag.
class ObjectStore {
public:
    explicit ObjectStore(StoreLimits limits = {})
        : limits(limits)
    {
    }

    // Stores a new object; Conflict when the name is taken.
    StoreWrite create(std::string_view kind, StoredObject, TimePoint now);

    // Replaces an object whose version is object.version; NotFound or Conflict otherwise.
    StoreWrite replace(std::string_view kind, StoredObject, TimePoint now);

    // Removes an object, only at the given version unless that is 0.
    StoreWrite remove(std::string_view kind, std::string_view name, std::uint64_t version, TimePoint now);

    // Makes changes readable that are at least lag old. Linear in the changes that become so.
    void advance(std::string_view kind, TimePoint now, Duration lag);

    // Returns the readable object, or null. Valid until the next call that is not const.
    const StoredObject* find(std::string_view kind, std::string_view name) const;

    // Returns the readable objects of a kind by name.
    std::vector<const StoredObject*> list(std::string_view kind) const;

    // Returns the version up to which reads of a kind see everything.
    std::uint64_t readableVersion(std::string_view kind) const;

    // Adds the readable events after a version to events. Returns false when the history no longer
    // reaches back to it, or the version is not from this store.
    bool eventsAfter(std::string_view kind, std::uint64_t version, std::vector<const StoreEvent*>& events) const;

private:
    struct Kind {
        std::map<std::string, StoredObject, std::less<>> current;
        std::map<std::string, StoredObject, std::less<>> readable;
        std::deque<StoreEvent> history;
        // Events at the end of the history that reads do not see yet.
        std::size_t hidden { 0 };
        std::uint64_t readableVersion { 0 };
        // Version of the newest event dropped from the history.
        std::uint64_t forgotten { 0 };
    };

    Kind& kindOf(std::string_view kind);
    const Kind* findKind(std::string_view kind) const;
    StoreWrite commit(Kind&, StoreChange, StoredObject, TimePoint now);

    std::map<std::string, Kind, std::less<>> kinds;
    StoreLimits limits;
    std::uint64_t lastVersion { 0 };
    std::size_t bytes { 0 };
};

}
