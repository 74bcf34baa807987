#include "flamingowick/proxy/Fleet.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    const std::vector<std::string>& memberOrderOf(Fleet& fleet, std::string_view group)
    {
        const auto known = fleet.orders.find(group);
        if (known != fleet.orders.end())
            return known->second;
        std::vector<std::string> names;
        for (const auto& [name, member] : fleet.members)
            names.push_back(name);
        std::vector<std::string> order;
        for (const std::size_t index : rendezvousOrder(group, names))
            order.push_back(names[index]);
        return fleet.orders.emplace(std::string(group), std::move(order)).first->second;
    }

    void rebuildIndexes(Fleet& fleet)
    {
        fleet.orders.clear();
        fleet.names.clear();
        for (const auto& [name, member] : fleet.members)
            fleet.names[member.address] = name;
    }

}

void setMembers(Fleet& fleet, std::span<const FleetMember> listed, TimePoint now)
{
    std::map<std::string, KnownMember, std::less<>> members;
    for (const FleetMember& member : listed) {
        KnownMember next;
        if (const auto known = fleet.members.find(member.name); known != fleet.members.end() && known->second.address == member.address)
            next = known->second;
        next.address = member.address;
        next.failureDomain = member.failureDomain;
        members.emplace(member.name, std::move(next));
    }
    for (const auto& [name, member] : fleet.members) {
        // The store's list may still lack the object of this daemon, and those of members that have just joined.
        if (name == fleet.self || (member.joinedAt && now - *member.joinedAt < fleet.limits.listLag))
            members.emplace(name, member);
    }
    fleet.members = std::move(members);
    rebuildIndexes(fleet);
}

void addMember(Fleet& fleet, const FleetMember& member, TimePoint now)
{
    KnownMember& known = fleet.members[member.name];
    known = KnownMember {};
    known.address = member.address;
    known.failureDomain = member.failureDomain;
    known.joinedAt = now;
    rebuildIndexes(fleet);
}

void memberLeaves(Fleet& fleet, std::string_view name)
{
    if (const auto known = fleet.members.find(name); known != fleet.members.end())
        known->second.leaving = true;
}

bool memberHeard(Fleet& fleet, std::string_view name)
{
    const auto known = fleet.members.find(name);
    if (known == fleet.members.end() || !known->second.suspected)
        return false;
    known->second.suspected = false;
    known->second.probeInterval = Duration::zero();
    return true;
}

bool memberSilent(Fleet& fleet, std::string_view name, TimePoint now)
{
    const auto known = fleet.members.find(name);
    if (known == fleet.members.end() || known->second.suspected || name == fleet.self)
        return false;
    known->second.suspected = true;
    known->second.silentSince = now;
    known->second.probeInterval = fleet.limits.firstProbe;
    known->second.nextProbe = now + fleet.limits.firstProbe;
    return true;
}

std::string_view nameAt(const Fleet& fleet, std::string_view address)
{
    const auto found = fleet.names.find(address);
    return found == fleet.names.end() ? std::string_view() : std::string_view(found->second);
}

std::vector<std::string> dispatchersOf(Fleet& fleet, std::string_view group)
{
    std::vector<std::string> dispatchers;
    for (const std::string& name : memberOrderOf(fleet, group)) {
        const KnownMember& member = fleet.members.at(name);
        const bool leaving = member.leaving || (name == fleet.self && fleet.selfLeaving);
        if (!member.suspected && !leaving)
            dispatchers.push_back(name);
    }
    return dispatchers;
}

std::vector<std::string> dueProbes(Fleet& fleet, TimePoint now)
{
    std::vector<std::string> due;
    for (auto& [name, member] : fleet.members) {
        if (!member.suspected || member.nextProbe > now)
            continue;
        due.push_back(name);
        member.probeInterval = std::min(member.probeInterval * 2, fleet.limits.longestProbe);
        member.nextProbe = now + member.probeInterval;
    }
    return due;
}

std::vector<std::string> membersToRemove(Fleet& fleet, TimePoint now)
{
    std::vector<std::string> removed;
    for (const auto& [name, member] : fleet.members) {
        if (!member.suspected || now - member.silentSince < fleet.limits.removeAfter)
            continue;
        const std::vector<std::string> candidates = dispatchersOf(fleet, name);
        if (!candidates.empty() && candidates.front() == fleet.self)
            removed.push_back(name);
    }
    return removed;
}

std::optional<TimePoint> nextProbe(const Fleet& fleet)
{
    std::optional<TimePoint> next;
    for (const auto& [name, member] : fleet.members) {
        if (member.suspected && (!next || member.nextProbe < *next))
            next = member.nextProbe;
    }
    return next;
}

}
