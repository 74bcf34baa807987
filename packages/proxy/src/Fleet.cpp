#include "flamingowick/proxy/Fleet.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    const std::vector<std::string>& memberOrderOf(Fleet& fleet, std::string_view group)
    {
        const auto known = fleet.memberOrders.find(group);
        if (known != fleet.memberOrders.end())
            return known->second;
        std::vector<std::string> names;
        for (const auto& [name, member] : fleet.members)
            names.push_back(name);
        std::vector<std::string> order;
        for (const std::size_t index : rendezvousOrder(group, names))
            order.push_back(names[index]);
        return fleet.memberOrders.emplace(std::string(group), std::move(order)).first->second;
    }

    void rebuildIndexes(Fleet& fleet)
    {
        fleet.memberOrders.clear();
        ++fleet.membershipVersion;
        fleet.namesByAddress.clear();
        for (const auto& [name, member] : fleet.members)
            fleet.namesByAddress[member.address] = name;
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
        next.linkMbps = member.linkMbps;
        members.emplace(member.name, std::move(next));
    }
    for (const auto& [name, member] : fleet.members) {
        // The store's list may still lack the object of this daemon, and those of members that have just joined.
        if (name == fleet.self || (member.joinedAt && now - *member.joinedAt < fleet.limits.maxListLag))
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
    known.linkMbps = member.linkMbps;
    known.joinedAt = now;
    rebuildIndexes(fleet);
}

void markMemberLeaving(Fleet& fleet, std::string_view name)
{
    if (const auto known = fleet.members.find(name); known != fleet.members.end())
        known->second.leaving = true;
}

bool markMemberAlive(Fleet& fleet, std::string_view name)
{
    const auto known = fleet.members.find(name);
    if (known == fleet.members.end() || !known->second.suspected)
        return false;
    known->second.suspected = false;
    known->second.probeDelay = Duration::zero();
    return true;
}

bool markMemberSuspected(Fleet& fleet, std::string_view name, TimePoint now)
{
    const auto known = fleet.members.find(name);
    if (known == fleet.members.end() || known->second.suspected || name == fleet.self)
        return false;
    known->second.suspected = true;
    known->second.unresponsiveSince = now;
    known->second.probeDelay = fleet.limits.firstProbeDelay;
    known->second.nextProbeAt = now + fleet.limits.firstProbeDelay;
    return true;
}

std::string_view memberNameAt(const Fleet& fleet, std::string_view address)
{
    const auto found = fleet.namesByAddress.find(address);
    return found == fleet.namesByAddress.end() ? std::string_view() : std::string_view(found->second);
}

std::vector<std::string> dispatchersFor(Fleet& fleet, std::string_view group)
{
    std::vector<std::string> dispatchers;
    for (const std::string& name : memberOrderOf(fleet, group)) {
        const KnownMember& member = fleet.members.at(name);
        const bool leaving = member.leaving || (name == fleet.self && fleet.isSelfLeaving);
        if (!member.suspected && !leaving)
            dispatchers.push_back(name);
    }
    return dispatchers;
}

std::vector<std::string> scheduleDueProbes(Fleet& fleet, TimePoint now)
{
    std::vector<std::string> due;
    for (auto& [name, member] : fleet.members) {
        if (!member.suspected || member.nextProbeAt > now)
            continue;
        due.push_back(name);
        member.probeDelay = std::min(member.probeDelay * 2, fleet.limits.maxProbeDelay);
        member.nextProbeAt = now + member.probeDelay;
    }
    return due;
}

std::vector<std::string> membersToRemove(Fleet& fleet, TimePoint now)
{
    std::vector<std::string> removed;
    for (const auto& [name, member] : fleet.members) {
        if (!member.suspected || now - member.unresponsiveSince < fleet.limits.removalDelay)
            continue;
        const std::vector<std::string> candidates = dispatchersFor(fleet, name);
        if (!candidates.empty() && candidates.front() == fleet.self)
            removed.push_back(name);
    }
    return removed;
}

std::optional<TimePoint> nextProbeTime(const Fleet& fleet)
{
    std::optional<TimePoint> next;
    for (const auto& [name, member] : fleet.members) {
        if (member.suspected && (!next || member.nextProbeAt < *next))
            next = member.nextProbeAt;
    }
    return next;
}

}
