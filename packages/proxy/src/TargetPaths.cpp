#include "flamingowick/proxy/TargetPaths.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    // Records of targets that another daemon couldn't reach; dropped all at once beyond that.
    constexpr std::size_t maxUnreachableTargets = 4096;

}

ConnectPlan planConnection(TargetPaths& paths, const std::string& instance, TimePoint now)
{
    const auto unreachable = paths.unreachableUntil.find(instance);
    const bool throughMember = unreachable == paths.unreachableUntil.end() || unreachable->second <= now;
    if (!throughMember || !isCutOff(paths))
        return { true, throughMember };
    if (now < paths.nextDirectProbeAt)
        return { false, true };
    paths.nextDirectProbeAt = now + paths.limits.directProbeInterval;
    return { true, true };
}

bool recordDirectConnection(TargetPaths& paths) noexcept
{
    const bool wasCutOff = isCutOff(paths);
    paths.faults.clear();
    paths.cutOffSince.reset();
    return wasCutOff;
}

bool recordPathFault(TargetPaths& paths, const std::string& instance, TimePoint now)
{
    if (isCutOff(paths))
        return false;
    paths.faults.insert(instance);
    if (paths.faults.size() < paths.limits.faultsBeforeCutOff)
        return false;
    paths.cutOffSince = now;
    paths.nextDirectProbeAt = now + paths.limits.directProbeInterval;
    return true;
}

void recordUnreachable(TargetPaths& paths, const std::string& instance, TimePoint now)
{
    if (paths.unreachableUntil.size() >= maxUnreachableTargets)
        paths.unreachableUntil.clear();
    paths.unreachableUntil[instance] = now + paths.limits.unreachableTime;
}

void recordUnusableMember(TargetPaths& paths, const std::string& member, TimePoint now)
{
    paths.unusableMembersUntil[member] = now + paths.limits.unusableMemberTime;
}

std::optional<std::string> chooseTunnelMember(const Fleet& fleet, TargetPaths& paths, std::string_view ownDomain, std::span<const std::string> tried, std::uint64_t random, TimePoint now)
{
    std::erase_if(paths.unusableMembersUntil, [now](const auto& item) { return item.second <= now; });
    std::vector<std::string_view> inDomain;
    std::vector<std::string_view> elsewhere;
    for (const auto& [name, member] : fleet.members) {
        const bool usable = name != fleet.self && !member.suspected && !member.leaving && !paths.unusableMembersUntil.contains(name);
        if (usable && std::find(tried.begin(), tried.end(), name) == tried.end())
            (member.failureDomain == ownDomain ? inDomain : elsewhere).push_back(name);
    }
    const bool prefersOwnDomain = tried.size() % 2 == 1;
    const std::vector<std::string_view>& candidates = elsewhere.empty() || (prefersOwnDomain && !inDomain.empty()) ? inDomain : elsewhere;
    if (candidates.empty())
        return std::nullopt;
    return std::string(candidates[random % candidates.size()]);
}

}
