#pragma once

#include "flamingowick/model/Clock.h"

// Limits a service's retries and hedges by a token bucket: each request of a caller deposits a fraction of a token, and
// each retry or hedge takes one token. In any window, retries and hedges together don't exceed the burst plus the
// ratio times the requests.
namespace flamingowick::grants {

struct RetryBudget {
    // Tokens deposited for each request.
    double ratio { 0 };
    // Capacity of the bucket in tokens.
    double burst { 0 };
    double tokens { 0 };
};

// Sets the limits. A new bucket starts with one token, or its burst if that is less: a dispatcher that starts or takes over
// doesn't know how many tokens others took, and several may do so within one window. Never throws.
void setRetryBudget(RetryBudget&, double ratio, double burst) noexcept;

// Deposits the credit of one request, up to the burst. Never throws.
void depositRetryCredit(RetryBudget&) noexcept;

// Gives up all tokens, because another dispatcher now serves the requests that earned them. Never throws.
void forfeitRetryTokens(RetryBudget&) noexcept;

// Takes the token for one retry or hedge. Returns false when there is none. Never throws.
bool takeRetryToken(RetryBudget&) noexcept;

}
