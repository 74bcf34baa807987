#pragma once

#include "flamingowick/grants/TargetPool.h"

// Estimates which share of a pool's requests is lost.
namespace flamingowick::grants {

// Adds an attempt or request that ended to the counts, which decay exponentially.
void recordResult(LossCounts&, bool lost, TimePoint now) noexcept;

// Returns the age from which an attempt counts as lost while it is still in flight. Linear in the profile.
Duration overdueAge(const LatencyProfile&) noexcept;

// Returns the share of the recent requests that are lost. Overdue attempts count as lost before they end: a hung attempt
// ends with its deadline, seconds after it was sent. Linear in the attempts in flight.
double lossShare(const TargetPool&, TimePoint now) noexcept;

}
