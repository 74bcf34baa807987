#pragma once

#include "flamingowick/platform/PlatformClient.h"
#include "flamingowick/platform/detail/LineSplitter.h"

#include <optional>
#include <random>

// The state of one watch: list first, then follow from the list's version, and list again when the
// platform no longer knows the changes in between.
namespace flamingowick::platform {

struct WatchCourse {
    WatchCourse(const Watch& watch, std::size_t maxEventBytes)
        : id(watch.id)
        , plural(watch.plural)
        , maxEventBytes(maxEventBytes)
        , splitter(maxEventBytes)
    {
    }

    CallId id;
    Plural plural;
    std::size_t maxEventBytes;
    // True once a snapshot was given from which changes can be followed.
    bool following { false };
    // Everything up to this version was given.
    std::string version;
    detail::LineSplitter splitter;
    // The platform said that version is too old.
    bool expired { false };
    unsigned failures { 0 };
    // Whether the users were told that the watch gets no answer.
    bool interrupted { false };
    TimePoint startedAt;
    // No request of the watch starts earlier.
    TimePoint notBefore;
    // The request in flight.
    std::optional<std::uint64_t> transfer;
};

struct WatchLimits {
    Duration minBackoff;
    Duration maxBackoff;
};

// Notes that a request of the watch starts now.
void startRequest(WatchCourse&, std::uint64_t transfer, TimePoint now);

// Notes that the platform accepted to follow; gives WatchEvents without events.
void takeBegin(WatchCourse&, std::vector<Result>& results);

// Takes bytes of a followed watch and gives their changes. Returns false when the request is to be
// broken off.
bool takeBytes(WatchCourse&, std::string_view bytes, std::vector<Result>& results);

// Takes the end of the request in flight, with the body of a list, and sets when the next starts.
void takeEnd(WatchCourse&, const Exchange&, Verdict, std::string_view body, TimePoint now, const WatchLimits&, std::mt19937_64&, std::vector<Result>& results);

}
