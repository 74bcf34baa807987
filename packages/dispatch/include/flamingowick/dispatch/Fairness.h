#pragma once

#include "flamingowick/dispatch/WaitQueue.h"

// Which caller is served next, and who gives way when the queue is full.
namespace flamingowick::dispatch {

// A caller that waits.
struct CallerLoad {
    unsigned inFlight { 0 };
    double virtualTime { 0 };
    // Arrival of the caller's first waiting request.
    std::uint64_t firstSequence { 0 };
    // Slots of the service divided by its active callers.
    double equalShare { 0 };
};

// The lowest rank is served first.
struct CallerRank {
    double primary { 0 };
    std::uint64_t sequence { 0 };

    // Orders by primary, then by arrival. Never throws.
    bool operator<(const CallerRank& other) const noexcept
    {
        return this->primary != other.primary ? this->primary < other.primary : this->sequence < other.sequence;
    }
};

// Serves the caller that has used the least slot time. Never throws.
CallerRank rankByVirtualTime(const CallerLoad&) noexcept;

// Serves requests in the order of arrival. The baseline of the measurements. Never throws.
CallerRank rankByArrival(const CallerLoad&) noexcept;

// Serves callers below their equal share first, else in the order of arrival. Never throws.
CallerRank rankByMinimumShare(const CallerLoad&) noexcept;

// Returns the caller whose newest waiting request gives way when too many wait: the one with the
// most waiting, among equals the one that came last. At least one request must wait. Linear in the
// active callers.
std::string_view displaceLongest(const WaitQueue&);

// Returns the caller that came last, as a queue does that refuses whoever finds it full. The
// baseline of the measurements. At least one request must wait. Linear in the active callers.
std::string_view displaceNewest(const WaitQueue&);

}
