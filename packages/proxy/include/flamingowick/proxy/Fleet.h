#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The known daemons, and which of them is the dispatcher for a group of targets. Each daemon decides for itself which
// others it can reach. While two daemons disagree on a dispatcher, targets may get more requests than they have slots,
// and nothing worse. Deterministic, no I/O.
namespace flamingowick::proxy {

struct FleetMember {
    std::string name;
    // UDP and TCP address as "ip:port".
    std::string address;
    std::string failureDomain;
    // Bandwidth of the VM's network link in Mbit/s; 0 when it isn't known, as of a daemon of an earlier release.
    double linkMbps { 0 };

    bool operator==(const FleetMember&) const = default;
};

struct KnownMember {
    std::string address;
    std::string failureDomain;
    // As FleetMember::linkMbps.
    double linkMbps { 0 };
    bool leaving { false };
    // Set when the member did not answer. It gets probes but no requests until a message arrives from it.
    bool suspected { false };
    TimePoint nextProbeAt;
    Duration probeDelay { 0 };
    // When the member became suspected; valid only while it is.
    TimePoint unresponsiveSince;
    // When the member announced that it joins; a list from the store that is seconds old may lack it.
    std::optional<TimePoint> joinedAt;
};

struct FleetLimits {
    // Delay before a suspected member is probed; doubles with each probe up to the longest delay.
    Duration firstProbeDelay { std::chrono::milliseconds(400) };
    Duration maxProbeDelay { std::chrono::seconds(6) };
    // How long a member that has announced itself is kept although the store's list lacks it.
    Duration maxListLag { std::chrono::seconds(10) };
    // A member's object is removed from the store after it has been suspected for this long. A member that still runs
    // stores its object again.
    Duration removalDelay { std::chrono::seconds(60) };
};

struct Fleet {
    FleetLimits limits;
    // Name of this daemon, which is a member even while the store's list lacks it.
    std::string self;
    bool isSelfLeaving { false };
    std::map<std::string, KnownMember, std::less<>> members;
    // Names of the members by address.
    std::map<std::string, std::string, std::less<>> namesByAddress;
    // Changes when the order of the members for a group may have changed.
    std::uint64_t membershipVersion { 0 };
    // Rendezvous order of all members for each group; cleared when the membership changes.
    std::map<std::string, std::vector<std::string>, std::less<>> memberOrders;
};

// Replaces the members by those that the store lists. A member that stays, at the same address, keeps its state.
void setMembers(Fleet&, std::span<const FleetMember>, TimePoint now);

// Apply a member's announcement that it joins or leaves.
void addMember(Fleet&, const FleetMember&, TimePoint now);
void markMemberLeaving(Fleet&, std::string_view name);

// Clears the suspicion of a member from which a message has arrived. Returns whether it was suspected. Logarithmic.
bool markMemberAlive(Fleet&, std::string_view name);

// Marks a member that did not answer in time as suspected. Returns whether it was not suspected before; this daemon
// itself never is. Logarithmic.
bool markMemberSuspected(Fleet&, std::string_view name, TimePoint now);

// Returns the name of the member at the address, or an empty string when there is none. Logarithmic.
std::string_view memberNameAt(const Fleet&, std::string_view address);

// Returns the members that can be the dispatcher of the group, the preferred one first; this daemon may be one of them.
// Suspected and leaving members are left out. Linear in the members. May throw std::bad_alloc.
std::vector<std::string> dispatchersFor(Fleet&, std::string_view group);

// Returns the suspected members whose probe is due, and schedules the next probe of each.
std::vector<std::string> scheduleDueProbes(Fleet&, TimePoint now);

// Returns the members whose objects this daemon has to remove from the store: they have been suspected for the
// whole removal delay, and this daemon is first in their rendezvous order among the reachable daemons. Daemons that agree
// on the reachable ones thus leave each removal to one of them.
std::vector<std::string> membersToRemove(Fleet&, TimePoint now);

// Returns when the next probe is due; none when no member is suspected. Linear in the members.
std::optional<TimePoint> nextProbeTime(const Fleet&);

}
