#pragma once

#include "flamingowick/model/Clock.h"

// Limits a service's retries and hedges by a token bucket: each first attempt deposits a fraction of a token, and
// each retry or hedge takes one token. In any window, retries and hedges together don't exceed the burst plus the
// ratio times the first attempts.
namespace flamingowick::grants {

struct RetryBudget {
    // Tokens deposited for each first attempt.
    double ratio { 0 };
    // Capacity of the bucket in tokens.
    double burst { 0 };
    double tokens { 0 };
};

// Sets the limits. A new bucket starts with half of its burst, because a restarted dispatcher doesn't know how
// many tokens its previous incarnation took. Never throws.
void setRetryBudget(RetryBudget&, double ratio, double burst) noexcept;

// Deposits the credit of one first attempt, up to the burst. Never throws.
void depositRetryCredit(RetryBudget&) noexcept;

// Takes the token for one retry or hedge. Returns false when there is none. Never throws.
bool takeRetryToken(RetryBudget&) noexcept;

}
