#include "flamingowick/proxy/GroupRoom.h"

#include "flamingowick/proxy/TargetGroups.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    constexpr Duration longestMemory { std::chrono::milliseconds(500) };

}

void recordRefusal(GroupRoom& room, std::string_view group, unsigned priority, Duration retryAfter, TimePoint now)
{
    room.fullUntil[{ std::string(group), priority }] = now + std::min(retryAfter, longestMemory);
}

void recordGrant(GroupRoom& room, std::string_view group, unsigned priority)
{
    room.fullUntil.erase({ std::string(group), priority });
}

bool isFull(const GroupRoom& room, std::string_view group, unsigned priority, TimePoint now)
{
    // A group that is full for more urgent requests is full for this one too.
    for (auto known = room.fullUntil.lower_bound({ std::string(group), 0U }); known != room.fullUntil.end() && known->first.first == group && known->first.second <= priority; ++known) {
        if (now < known->second)
            return true;
    }
    return false;
}

void keepGroupsWithRoom(const GroupRoom& room, std::vector<unsigned>& indexes, const std::string& service, unsigned count, unsigned priority, TimePoint now)
{
    if (room.fullUntil.empty())
        return;
    const auto isFullGroup = [&](unsigned index) { return isFull(room, groupName({ service, index, count }), priority, now); };
    if (!std::all_of(indexes.begin(), indexes.end(), isFullGroup))
        std::erase_if(indexes, isFullGroup);
}

}
