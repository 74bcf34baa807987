#include "flamingowick/dispatch/RetryBudget.h"

#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::dispatch {

namespace {

    // Limits the tokens that can accumulate for a burst, in seconds of minPerSecond and in first attempts.
    constexpr double maxSavedSeconds = 10;
    constexpr double maxSavedFirstAttempts = 100;
    constexpr double roundingTolerance = 1e-6;

    void depositTokens(RetryBudget& budget, const RetryLimits& limits, double amount) noexcept
    {
        double maxTokens = 1 + maxSavedSeconds * limits.minPerSecond + maxSavedFirstAttempts * limits.ratio;
        budget.earned += amount;
        budget.tokens = std::min(maxTokens, budget.tokens + amount);
    }

    double largestShare(const std::vector<RetryGrantor::Grant>& grants) noexcept
    {
        double largest = 0;
        for (const RetryGrantor::Grant& grant : grants)
            largest = std::max(largest, grant.share);
        return largest;
    }

    void removeExpiredGrants(RetryGrantor& grantor, TimePoint now)
    {
        for (auto& [holder, grants] : grantor.grants)
            std::erase_if(grants, [&](const RetryGrantor::Grant& grant) { return grant.validUntil < now; });
        std::erase_if(grantor.grants, [](const auto& entry) { return entry.second.empty(); });
    }

    double sumOutstandingShares(const RetryGrantor& grantor, std::string_view except)
    {
        double sum = 0;
        for (const auto& [holder, grants] : grantor.grants) {
            if (holder != except)
                sum += largestShare(grants);
        }
        return sum;
    }

}

void accrueRetries(RetryBudget& budget, const RetryLimits& limits, TimePoint now) noexcept
{
    TimePoint until = std::min(now, budget.shareUntil);
    if (until > budget.accruedAt) {
        std::chrono::duration<double> seconds = until - budget.accruedAt;
        depositTokens(budget, limits, seconds.count() * limits.minPerSecond * budget.share);
    }
    budget.accruedAt = std::max(budget.accruedAt, now);
}

void applyGrant(RetryBudget& budget, const PeerGrant& grant) noexcept
{
    budget.share = std::clamp(grant.share, 0.0, 1.0);
    budget.shareUntil = grant.validUntil;
}

void recordFirstAttempt(RetryBudget& budget, const RetryLimits& limits) noexcept
{
    depositTokens(budget, limits, limits.ratio);
}

bool takeRetry(RetryBudget& budget) noexcept
{
    if (budget.tokens + roundingTolerance < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

void recordRetry(RetryBudget& budget)
{
    ++budget.started;
    bool within = static_cast<double>(budget.started) <= budget.earned * (1 + roundingTolerance) + roundingTolerance;
    checkInvariant(within, Invariant::RetryBudget, "more retries were started than earned");
}

double grantShare(RetryGrantor& grantor, std::string_view holder, double wanted, Duration validFor, TimePoint now)
{
    if (now < grantor.startsAt)
        return 0;
    removeExpiredGrants(grantor, now);
    double available = std::max(0.0, 1 - sumOutstandingShares(grantor, holder));
    double share = std::clamp(wanted, 0.0, available);
    if (share > 0)
        grantor.grants[std::string(holder)].push_back({ share, now + validFor });
    bool within = sumOutstandingShares(grantor, {}) <= 1 + roundingTolerance;
    checkInvariant(within, Invariant::RetryBudget, "granted retry shares exceed the retry budget");
    return share;
}

}
