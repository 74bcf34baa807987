#pragma once

#include "flamingowick/dispatch/WaitQueue.h"

// Policies that choose which caller is served next, and whose request is dropped when the queue is full.
namespace flamingowick::dispatch {

// The load of a caller that has queued requests.
struct CallerLoad {
    unsigned inFlight { 0 };
    double virtualTime { 0 };
    // Sequence number of the caller's first queued request.
    std::uint64_t firstSequence { 0 };
    // Number of slots of the service divided by the number of its active callers.
    double equalShare { 0 };
};

// Priority of a caller; the caller with the lowest rank is served first.
struct CallerRank {
    double primary { 0 };
    std::uint64_t sequence { 0 };

    // Orders by primary, then by sequence. Never throws.
    bool operator<(const CallerRank& other) const noexcept
    {
        return this->primary != other.primary ? this->primary < other.primary : this->sequence < other.sequence;
    }
};

// Fair queueing: serves the caller with the lowest virtual time, which is the one that has used the least slot time.
// Never throws.
CallerRank rankByVirtualTime(const CallerLoad&) noexcept;

// First come, first served. The benchmark uses it as a baseline. Never throws.
CallerRank rankByArrival(const CallerLoad&) noexcept;

// Minimum share: serves those callers first that stay within their equal share with one more attempt in flight; within
// each group, in order of arrival. Never throws.
CallerRank rankByMinimumShare(const CallerLoad&) noexcept;

// Returns the caller whose newest queued request is dropped when the queue is too long: the one with the most queued
// requests; among equals, the one whose newest request arrived last. The queue must not be empty. Linear in the number
// of active callers.
std::string_view displaceLongest(const WaitQueue&);

// Returns the caller of the request that arrived last, which is what a tail-drop queue drops. The benchmark uses it as
// a baseline. The queue must not be empty. Linear in the number of active callers.
std::string_view displaceNewest(const WaitQueue&);

}
