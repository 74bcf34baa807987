#include "flamingowick/proxy/Relays.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace flamingowick::proxy {

namespace {

    struct RelayCandidates {
        // In the order of a hash of their names.
        std::vector<std::string> names;
        std::size_t relayCount { 0 };
    };

    RelayCandidates relayCandidates(Fleet& fleet, std::string_view failureDomain, const RelayLimits& limits)
    {
        std::vector<std::string> all = dispatchersFor(fleet, "relays");
        std::vector<std::string> inDomain;
        for (const std::string& name : all) {
            if (fleet.members.at(name).failureDomain == failureDomain)
                inDomain.push_back(name);
        }
        const auto membersInDomain = static_cast<std::size_t>(std::count_if(fleet.members.begin(), fleet.members.end(), [failureDomain](const auto& item) { return item.second.failureDomain == failureDomain; }));
        return { inDomain.empty() ? std::move(all) : std::move(inDomain), std::max(limits.followed, (membersInDomain + limits.daemonsPerRelay - 1) / limits.daemonsPerRelay) };
    }

}

std::vector<std::string> relaysForDomain(Fleet& fleet, std::string_view failureDomain, const RelayLimits& limits)
{
    RelayCandidates candidates = relayCandidates(fleet, failureDomain, limits);
    const auto linkOf = [&fleet](const std::string& name) { return fleet.members.at(name).linkMbps; };
    std::vector<std::string> relays;
    std::copy_if(candidates.names.begin(), candidates.names.end(), std::back_inserter(relays), [&linkOf](const std::string& name) { return linkOf(name) > 0; });
    if (relays.size() < candidates.relayCount)
        relays = std::move(candidates.names);
    else
        std::stable_sort(relays.begin(), relays.end(), [&linkOf](const std::string& left, const std::string& right) { return linkOf(left) > linkOf(right); });
    relays.resize(std::min(relays.size(), candidates.relayCount));
    return relays;
}

std::optional<std::string> relayForRelay(Fleet& fleet, std::string_view failureDomain, const RelayLimits& limits)
{
    std::set<std::string, std::less<>> domains;
    for (const auto& [name, member] : fleet.members)
        domains.insert(member.failureDomain);
    // The own domain first, then the others from the one after it on.
    std::vector<std::string> ordered(domains.lower_bound(failureDomain), domains.end());
    ordered.insert(ordered.end(), domains.begin(), domains.lower_bound(failureDomain));
    for (const std::string& domain : ordered) {
        const std::vector<std::string> relays = relaysForDomain(fleet, domain, limits);
        for (const std::size_t index : rendezvousOrder(fleet.self, relays)) {
            if (relays[index] != fleet.self)
                return relays[index];
        }
    }
    return std::nullopt;
}

bool isRelayOfEarlierRelease(Fleet& fleet, std::string_view failureDomain, const RelayLimits& limits)
{
    const bool hasEarlierFollowers = std::any_of(fleet.members.begin(), fleet.members.end(), [](const auto& item) { return item.second.linkMbps <= 0; });
    const RelayCandidates candidates = relayCandidates(fleet, failureDomain, limits);
    const auto end = candidates.names.begin() + static_cast<std::ptrdiff_t>(std::min(candidates.names.size(), candidates.relayCount));
    return hasEarlierFollowers && std::find(candidates.names.begin(), end, fleet.self) != end;
}

}
