#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The daemons that are known, and which of them dispatches for a group of targets. Each daemon
// judges for itself whom it can reach; two that disagree overrun slots for a moment, nothing else.
// Deterministic, without I/O.
namespace flamingowick::proxy {

struct FleetMember {
    std::string name;
    // UDP and TCP address as "ip:port".
    std::string address;
    std::string failureDomain;
};

struct KnownMember {
    std::string address;
    std::string failureDomain;
    bool leaving { false };
    // Failed to answer; not asked until it is heard again.
    bool suspected { false };
    TimePoint nextProbe;
    Duration probeInterval { 0 };
    // Since when it has not been heard; set while suspected.
    TimePoint silentSince;
    // When it said that it joins; a list that is seconds old may lack it.
    std::optional<TimePoint> joinedAt;
};

struct FleetLimits {
    // Pause before a silent member is probed; doubles up to the longest pause.
    Duration firstProbe { std::chrono::milliseconds(400) };
    Duration longestProbe { std::chrono::seconds(6) };
    // How far the store's list may lag behind a member's own word.
    Duration listLag { std::chrono::seconds(10) };
    // After so long a silence a member's object is removed from the store; it stores another if it lives.
    Duration removeAfter { std::chrono::seconds(60) };
};

struct Fleet {
    FleetLimits limits;
    // Name of this daemon, which is always a member until it leaves.
    std::string self;
    bool selfLeaving { false };
    std::map<std::string, KnownMember, std::less<>> members;
    // Names by address.
    std::map<std::string, std::string, std::less<>> names;
    // The order of members for each group; emptied when the membership changes.
    std::map<std::string, std::vector<std::string>, std::less<>> orders;
};

// Replaces the membership by what the store lists; what is known of members that stay is kept.
void setMembers(Fleet&, std::span<const FleetMember>, TimePoint now);

// Takes in a member's own word that it joins or leaves.
void addMember(Fleet&, const FleetMember&, TimePoint now);
void memberLeaves(Fleet&, std::string_view name);

// A member was heard, so it is no longer suspected. Returns whether it was. Logarithmic.
bool memberHeard(Fleet&, std::string_view name);

// A member did not answer in time. Returns whether it is newly suspected.
bool memberSilent(Fleet&, std::string_view name, TimePoint now);

// Returns the name of the member at the address, empty when there is none. Logarithmic.
std::string_view nameAt(const Fleet&, std::string_view address);

// Returns the members that may dispatch for the group, best first; this daemon's own name stands
// among them. Suspected members are left out. May throw std::bad_alloc.
std::vector<std::string> dispatchersOf(Fleet&, std::string_view group);

// Returns the suspected members whose probe is due, and plans the next.
std::vector<std::string> dueProbes(Fleet&, TimePoint now);

// Returns the members whose objects this daemon is to remove: silent for long, and this daemon is the
// first in line for it among those that can be reached.
std::vector<std::string> membersToRemove(Fleet&, TimePoint now);

// When a probe is due next; none when nobody is suspected.
std::optional<TimePoint> nextProbe(const Fleet&);

}
