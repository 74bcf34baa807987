#pragma once

#include "flamingowick/model/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// What an entry remembers of refusals for lack of room, so that it asks groups with room first.
namespace flamingowick::proxy {

// Refusals by group and priority. Bounded by the groups and priorities that the entry has asked.
struct GroupRoom {
    // Time until which the group is taken to be full for the priority.
    std::map<std::pair<std::string, unsigned>, TimePoint, std::less<>> fullUntil;
};

// Records that the group refused a request of the priority for lack of room. The memory lasts as long as the refusal asks
// callers to wait, but not above half a second, since slots become free faster than callers return.
void recordRefusal(GroupRoom&, std::string_view group, unsigned priority, Duration retryAfter, TimePoint now);

// Records that the group granted a request of the priority.
void recordGrant(GroupRoom&, std::string_view group, unsigned priority);

// Whether the group is taken to be full for requests of the priority. Logarithmic in the refusals.
bool isFull(const GroupRoom&, std::string_view group, unsigned priority, TimePoint now);

// Removes the groups of the service, given by their indexes of count, that are taken to be full, unless all are. The caller
// chooses among the others at random: a preference for the group that reported room last would make all entries choose it.
void keepGroupsWithRoom(const GroupRoom&, std::vector<unsigned>& indexes, const std::string& service, unsigned count, unsigned priority, TimePoint now);

}
