#pragma once

#include "flamingowick/dispatch/Messages.h"

#include <deque>
#include <map>

// Requests that wait for a slot, in order for each caller. State is kept only for callers that wait
// or have an attempt in flight.
namespace flamingowick::dispatch {

struct CallerQueue {
    struct Waiting {
        RequestId id;
        // Position among all arrivals.
        std::uint64_t sequence { 0 };
    };
    std::deque<Waiting> waiting;
    unsigned inFlight { 0 };
    // Slot time used, in seconds, on the scale of WaitQueue::virtualTime.
    double virtualTime { 0 };
};

struct WaitQueue {
    std::map<std::string, CallerQueue, std::less<>> callers;
    std::size_t waiting { 0 };
    std::uint64_t nextSequence { 0 };
    // The virtual time of the caller served last; a caller that becomes active starts from it.
    double virtualTime { 0 };
};

// Adds a request behind the caller's others, or before them when first is true, as for a retry.
// Logarithmic in the active callers.
void enqueue(WaitQueue&, std::string_view caller, const RequestId&, bool first);

// Takes out a request that waits. Linear in the caller's requests.
void removeWaiting(WaitQueue&, std::string_view caller, const RequestId&);

// Moves the caller's request at position into flight and charges the expected slot time. Linear in
// the position.
void startWaiting(WaitQueue&, std::string_view caller, std::size_t position, Duration expected);

// Counts an attempt of the caller out and corrects the charge from the expected to the real time.
void endAttempt(WaitQueue&, std::string_view caller, Duration expected, Duration taken);

}
