#pragma once

#include "flamingowick/model/Clock.h"

#include <random>

// Waits between attempts.
namespace flamingowick::platform::detail {

// Returns the wait after the given number of failures in a row, from 1: half of it fixed, half by
// chance, the whole doubling from least up to greatest. Constant time.
Duration backoff(unsigned failures, Duration least, Duration greatest, std::mt19937_64& random);

}
