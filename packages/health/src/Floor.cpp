#include "flamingowick/health/Floor.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <tuple>

namespace flamingowick::health {

namespace {

    bool appliesTo(const Restriction& restriction, std::string_view address, std::string_view fromFailureDomain) noexcept
    {
        const auto& from = restriction.scope.fromFailureDomain;
        return restriction.scope.target == address && (from.empty() || from == fromFailureDomain);
    }

    bool isServing(const PoolMember& member) noexcept
    {
        return !member.leaving && !member.warming;
    }

    // Returns true if a takes effect in preference to b.
    bool takesPrecedence(const Restriction& a, const Restriction& b) noexcept
    {
        const auto rank = [](const Restriction& restriction) {
            const auto isPathRestriction = !restriction.scope.fromFailureDomain.empty();
            return std::make_tuple(isPathRestriction, restriction.standing.standing, -restriction.severity, std::cref(restriction.scope));
        };
        return rank(a) < rank(b);
    }

    // Returns the failure domains whose capacity may differ. The empty string stands for all that no restriction names.
    std::set<std::string> affectedFailureDomains(std::span<const Restriction> restrictions)
    {
        std::set<std::string> domains { "" };
        for (const auto& restriction : restrictions)
            domains.insert(restriction.scope.fromFailureDomain);
        return domains;
    }

    bool respectsFloorFrom(const FloorRequest& request, std::span<const Restriction> applied, std::string_view from) noexcept
    {
        const auto floor = floorSlots(request.members.size(), request.slotsPerTarget, request.floorShare);
        const auto unrestricted = healthyCapacity(request, {}, from);
        return healthyCapacity(request, applied, from) >= std::min(floor, unrestricted);
    }

}

unsigned floorSlots(std::size_t targets, unsigned slotsPerTarget, double floorShare) noexcept
{
    // Prevents a floating-point error from rounding up products such as 0.1 * 30.
    constexpr double roundingError = 1e-9;
    const auto exact = std::clamp(floorShare, 0.0, 1.0) * static_cast<double>(targets * slotsPerTarget);
    return static_cast<unsigned>(std::ceil(std::max(exact - roundingError, 0.0)));
}

unsigned healthyCapacity(const FloorRequest& request, std::span<const Restriction> applied, std::string_view fromFailureDomain) noexcept
{
    unsigned capacity = 0;
    for (const auto& member : request.members) {
        const auto restricted = std::any_of(applied.begin(), applied.end(), [&](const Restriction& restriction) {
            return appliesTo(restriction, member.address, fromFailureDomain);
        });
        if (isServing(member) && !restricted)
            capacity += request.slotsPerTarget;
    }
    return capacity;
}

bool respectsFloor(const FloorRequest& request, std::span<const Restriction> applied)
{
    const auto domains = affectedFailureDomains(applied);
    return std::all_of(domains.begin(), domains.end(), [&](const std::string& domain) {
        return respectsFloorFrom(request, applied, domain);
    });
}

FloorVerdict applyFloor(const FloorRequest& request)
{
    std::vector<Restriction> ordered(request.wanted.begin(), request.wanted.end());
    std::sort(ordered.begin(), ordered.end(), takesPrecedence);
    FloorVerdict verdict;
    for (auto& restriction : ordered) {
        verdict.applied.push_back(restriction);
        if (respectsFloor(request, verdict.applied))
            continue;
        verdict.applied.pop_back();
        verdict.heldBack.push_back(std::move(restriction));
    }
    return verdict;
}

}
