#include "flamingowick/configuration/Roles.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <map>

namespace flamingowick::configuration {

namespace {

    using VmsByDomain = std::map<std::string, std::vector<std::string>, std::less<>>;

    VmsByDomain groupByDomain(std::span<const Member> members)
    {
        VmsByDomain domains;
        for (const Member& member : members)
            domains[member.failureDomain].push_back(member.vm);
        return domains;
    }

}

std::vector<std::string> watchersOf(std::span<const Member> members)
{
    std::vector<std::string> watchers;
    for (const auto& [domain, vms] : groupByDomain(members)) {
        const std::vector<std::size_t> order = rendezvousOrder("configuration-watcher/" + domain, vms);
        const std::size_t count = std::min(order.size(), watchersPerFailureDomain);
        for (std::size_t rank = 0; rank < count; ++rank)
            watchers.push_back(vms[order[rank]]);
    }
    return watchers;
}

bool isWatcher(std::span<const Member> members, std::string_view vm)
{
    return std::ranges::count(watchersOf(members), vm) > 0;
}

std::optional<std::size_t> acceptorRank(std::string_view service, std::span<const std::string> watchers, std::string_view vm)
{
    const std::vector<std::size_t> order = rendezvousOrder(service, watchers);
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        if (watchers[order[rank]] == vm)
            return rank;
    }
    return std::nullopt;
}

std::string statusWriterOf(std::span<const Member> members, std::string_view failureDomain)
{
    const VmsByDomain domains = groupByDomain(members);
    const auto found = domains.find(failureDomain);
    if (found == domains.end())
        return "";
    const std::vector<std::size_t> order = rendezvousOrder("status-writer/" + found->first, found->second);
    return found->second[order.front()];
}

}
