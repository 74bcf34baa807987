#include "flamingowick/grants/FairShares.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::grants {

namespace {

    // Time constant of what counts as usual: well above the length of a burst, which must not raise the weight with which
    // it is served.
    constexpr double usualSeconds = 30;
    // Weight of the smallest organisations, so that a new one isn't starved while it has no history.
    constexpr double minWeight = 0.25;
    // Requests that are assumed of each organisation at first: without history the shares are equal.
    constexpr double assumedRequests = 8;
    constexpr Duration cleanUpInterval { std::chrono::seconds(30) };
    // Count of recent requests below which an organisation is forgotten.
    constexpr double forgottenBelow = 0.02;

    double decayed(double count, TimePoint updatedAt, TimePoint now) noexcept
    {
        return count * std::exp(-std::chrono::duration<double>(now - updatedAt).count() / usualSeconds);
    }

}

void recordArrival(FairShares& shares, std::uint64_t organisation, TimePoint now)
{
    shares.recentRequests = decayed(shares.recentRequests, shares.updatedAt, now) + 1;
    shares.updatedAt = now;
    OrganisationShare& share = shares.byOrganisation[organisation];
    share.recentRequests = decayed(share.recentRequests, share.updatedAt, now) + 1;
    share.updatedAt = now;
    if (now - shares.cleanedAt < cleanUpInterval)
        return;
    shares.cleanedAt = now;
    std::erase_if(shares.byOrganisation, [&shares, now](const auto& item) {
        return item.second.virtualTime <= shares.virtualTime && decayed(item.second.recentRequests, item.second.updatedAt, now) < forgottenBelow;
    });
}

double weightOf(const FairShares& shares, std::uint64_t organisation) noexcept
{
    const auto share = shares.byOrganisation.find(organisation);
    if (share == shares.byOrganisation.end())
        return minWeight;
    const double own = decayed(share->second.recentRequests, share->second.updatedAt, shares.updatedAt) + assumedRequests;
    const auto organisations = static_cast<double>(shares.byOrganisation.size());
    const double mean = shares.recentRequests / organisations + assumedRequests;
    return std::max(own / mean, minWeight);
}

double nextStart(const FairShares& shares, std::uint64_t organisation) noexcept
{
    const auto share = shares.byOrganisation.find(organisation);
    return share == shares.byOrganisation.end() ? shares.virtualTime : std::max(shares.virtualTime, share->second.virtualTime);
}

void recordService(FairShares& shares, std::uint64_t organisation, double cost)
{
    const double start = nextStart(shares, organisation);
    shares.virtualTime = start;
    const double end = start + cost / weightOf(shares, organisation);
    shares.byOrganisation[organisation].virtualTime = end;
    shares.latestEnd = std::max(shares.latestEnd, end);
}

void endBusyPeriod(FairShares& shares) noexcept
{
    shares.virtualTime = shares.latestEnd;
}

}
