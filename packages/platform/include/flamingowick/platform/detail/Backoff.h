#pragma once

#include "flamingowick/model/Clock.h"

#include <random>

// Exponential backoff with jitter.
namespace flamingowick::platform::detail {

// Returns the delay before the next retry after consecutiveFailures failures, counted from 1. The upper bound of the
// delay starts at minDelay and doubles with each failure up to maxDelay; the delay is uniform between half the upper
// bound and the upper bound. Constant time.
Duration backoffDelay(unsigned consecutiveFailures, Duration minDelay, Duration maxDelay, std::mt19937_64& random);

}
