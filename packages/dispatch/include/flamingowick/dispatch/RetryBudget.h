#pragma once

#include "flamingowick/dispatch/Messages.h"

#include <map>
#include <vector>

// The retries that one dispatcher may start, as its part of a budget that the fleet shares.
//
// A service allows ratio retries for each first attempt and minPerSecond besides. The first part
// needs no agreement: each dispatcher earns it by its own first attempts. The second is handed out
// in shares that lapse; a dispatcher that is cut off from the grantor goes on with the first part
// alone, so the sum over all dispatchers never exceeds the service's budget.
namespace flamingowick::dispatch {

struct RetryBudget {
    double tokens { 0 };
    // Everything earned so far.
    double earned { 0 };
    std::uint64_t started { 0 };
    double share { 0 };
    TimePoint shareUntil;
    TimePoint accruedAt;
};

// Adds what the granted share has earned since the last call. Never throws; constant time.
void accrueRetries(RetryBudget&, const RetryLimits&, TimePoint now) noexcept;

// Takes in a grant; the caller accrues first. Never throws.
void applyGrant(RetryBudget&, const PeerGrant&) noexcept;

// Adds what a first attempt earns. Never throws.
void recordFirstAttempt(RetryBudget&, const RetryLimits&) noexcept;

// Takes the right to one retry. Returns false when there is none. Never throws.
bool takeRetry(RetryBudget&) noexcept;

// Counts a started retry. Throws InvariantViolation (RetryBudget) when more were started than earned.
void recordRetry(RetryBudget&);

// Hands out shares of one service's minPerSecond to its dispatchers.
struct RetryGrantor {
    struct Grant {
        double share { 0 };
        TimePoint validUntil;
    };
    // Grants that may still be in use, by holder. A renewal does not void an earlier grant, since
    // its answer may be lost.
    std::map<std::string, std::vector<Grant>, std::less<>> grants;
    // A new grantor waits for its predecessor's grants to lapse.
    TimePoint startsAt;
};

// Grants holder at most the wanted share (0 to 1), from what no other holder may still be using.
// validFor is counted from now, which is not earlier than the holder's asking, and must cover the
// difference of the clocks' rates. Returns the share, 0 when there is none. Throws InvariantViolation
// (RetryBudget) when all shares together exceed the whole. Linear in the holders.
double grantShare(RetryGrantor&, std::string_view holder, double wanted, Duration validFor, TimePoint now);

}
