#pragma once

#include "flamingowick/model/Clock.h"

// Attempts beyond the first that a service's requests may cost, as a token bucket: first attempts
// earn, further ones spend. In any window the further attempts stay below the burst and the earned
// share together.
namespace flamingowick::grants {

struct RetryAllowance {
    // Earned for each first attempt.
    double ratio { 0 };
    // The most that may be saved up.
    double burst { 0 };
    double tokens { 0 };
};

// Sets the limits; a fresh allowance starts with half of its burst, since a restarted dispatcher does
// not know what its predecessor spent. Never throws.
void setAllowance(RetryAllowance&, double ratio, double burst) noexcept;

// Earns what one first attempt earns. Never throws.
void earnRetry(RetryAllowance&) noexcept;

// Takes the right to one further attempt. Returns false when there is none. Never throws.
bool spendRetry(RetryAllowance&) noexcept;

}
