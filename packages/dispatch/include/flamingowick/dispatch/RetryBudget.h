#pragma once

#include "flamingowick/dispatch/Messages.h"

#include <map>
#include <vector>

// The retries that one dispatcher may start: its part of a retry budget that all dispatchers of a service share.
//
// A service allows `ratio` retries per first attempt, plus `minPerSecond`. The first part needs no coordination: each
// dispatcher deposits tokens for its own first attempts. The second part is granted in shares that expire. A
// dispatcher that is partitioned from the grantor continues with the first part only, so the sum over all dispatchers
// never exceeds the service's budget.
namespace flamingowick::dispatch {

struct RetryBudget {
    double tokens { 0 };
    // Sum of all tokens ever deposited, including those discarded because the budget was full.
    double earned { 0 };
    std::uint64_t started { 0 };
    double share { 0 };
    TimePoint shareUntil;
    TimePoint accruedAt;
};

// Deposits the tokens that the granted share has accrued since the last call. Never throws; constant time.
void accrueRetries(RetryBudget&, const RetryLimits&, TimePoint now) noexcept;

// Replaces the granted share. accrueRetries() must be called before, so that the old share is accounted for. Never
// throws.
void applyGrant(RetryBudget&, const PeerGrant&) noexcept;

// Deposits RetryLimits::ratio tokens for a first attempt. Never throws.
void recordFirstAttempt(RetryBudget&, const RetryLimits&) noexcept;

// Takes the token for one retry. Returns false if less than one token is left. Never throws.
bool takeRetry(RetryBudget&) noexcept;

// Counts a started retry. Throws InvariantViolation (RetryBudget) if more retries have started than tokens were
// deposited.
void recordRetry(RetryBudget&);

// Grants shares of one service's RetryLimits::minPerSecond to its dispatchers.
struct RetryGrantor {
    struct Grant {
        double share { 0 };
        TimePoint validUntil;
    };
    // Grants that may still be in use, by holder. A renewal does not revoke the earlier grant: the answer that carries
    // the renewal may be lost, and the holder then still uses the earlier one.
    std::map<std::string, std::vector<Grant>, std::less<>> grants;
    // Nothing is granted before this time: a new grantor waits until all grants of its predecessor have expired.
    TimePoint startsAt;
};

// Grants the holder at most the wanted share (0 to 1), out of what no other holder may still be using. The grant is
// reserved for validFor from now. Since now is not earlier than the holder's request, the reservation outlasts the
// grant at the holder if validFor also covers the difference between the clocks' rates. Returns the granted share, 0
// if nothing is available. Throws InvariantViolation (RetryBudget) if the sum of all shares exceeds 1. Linear in the
// number of holders.
double grantShare(RetryGrantor&, std::string_view holder, double wanted, Duration validFor, TimePoint now);

}
