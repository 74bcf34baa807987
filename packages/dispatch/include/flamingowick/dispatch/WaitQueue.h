#pragma once

#include "flamingowick/dispatch/Messages.h"

#include <deque>
#include <map>

// The queue of requests that wait for a slot, with one FIFO queue per caller. State is kept only for active callers:
// those with queued requests or attempts in flight.
namespace flamingowick::dispatch {

struct CallerQueue {
    struct Waiting {
        RequestId id;
        // Arrival number among the requests of all callers.
        std::uint64_t sequence { 0 };
    };
    std::deque<Waiting> waiting;
    unsigned inFlight { 0 };
    // Virtual time of the caller, in seconds: WaitQueue::virtualTime when it became active, plus the slot time it has
    // used since.
    double virtualTime { 0 };
};

struct WaitQueue {
    std::map<std::string, CallerQueue, std::less<>> callers;
    std::size_t waiting { 0 };
    std::uint64_t nextSequence { 0 };
    // The highest virtual time at which a caller was served. A caller that becomes active starts from it, so that idle
    // time earns no credit.
    double virtualTime { 0 };
};

// Adds a request at the back of the caller's queue, or at the front if first is true, as for a retry. Logarithmic in
// the number of active callers.
void enqueue(WaitQueue&, std::string_view caller, const RequestId&, bool first);

// Removes a queued request; does nothing if it is not queued. Linear in the number of the caller's queued requests.
void removeWaiting(WaitQueue&, std::string_view caller, const RequestId&);

// Removes the caller's request at the position from the queue, counts it as in flight and charges the expected slot
// time to the caller. Linear in the position.
void startWaiting(WaitQueue&, std::string_view caller, std::size_t position, Duration expected);

// Counts an attempt of the caller as ended and corrects the charge from the expected to the actual slot time.
void endAttempt(WaitQueue&, std::string_view caller, Duration expected, Duration elapsed);

}
