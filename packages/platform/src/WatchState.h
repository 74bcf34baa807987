#pragma once

#include "flamingowick/platform/PlatformClient.h"
#include "flamingowick/platform/detail/LineSplitter.h"

#include <optional>
#include <random>

// The state of one watch. A watch lists all objects, then follows the changes after the version of the list, and lists
// again when the store no longer keeps the changes since the last known version.
namespace flamingowick::platform {

struct WatchState {
    WatchState(const Watch& watch, std::size_t maxEventBytes)
        : id(watch.id)
        , plural(watch.plural)
        , maxEventBytes(maxEventBytes)
        , splitter(maxEventBytes)
    {
    }

    CallId id;
    Plural plural;
    std::size_t maxEventBytes;
    // Whether the next request follows changes from resourceVersion; otherwise it lists all objects.
    bool following { false };
    // All changes up to this version have been delivered.
    std::string resourceVersion;
    detail::LineSplitter splitter;
    // Whether the current request reported that the store no longer keeps the changes after resourceVersion.
    bool expired { false };
    unsigned consecutiveFailures { 0 };
    // Whether a WatchInterrupted was delivered since the last request that succeeded.
    bool interruptionReported { false };
    TimePoint requestStartedAt;
    // The next request must not start earlier.
    TimePoint nextRequestAt;
    // The transfer of the request in flight.
    std::optional<std::uint64_t> transfer;
};

struct BackoffLimits {
    Duration minBackoff;
    Duration maxBackoff;
};

// Records that a request of the watch starts now.
void recordRequestStart(WatchState&, std::uint64_t transfer, TimePoint now);

// Called when the store has accepted a request to follow changes. Adds WatchEvents without events to results.
void handleWatchAccepted(WatchState&, std::vector<Result>& results);

// Parses bytes of a watch response and adds their changes to results. Returns false when the request must be cancelled.
bool handleWatchBytes(WatchState&, std::string_view bytes, std::vector<Result>& results);

// Called when the request in flight has ended; body is the response to a list request. Schedules the next request.
void handleRequestEnd(WatchState&, const Exchange&, Verdict, std::string_view body, TimePoint now, const BackoffLimits&, std::mt19937_64&, std::vector<Result>& results);

}
