#include "flamingowick/proxy/TargetGroups.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <charconv>

namespace flamingowick::proxy {

namespace {

    // The cost of a grant request grows with the group's targets, and a dispatcher's share of a core limits how many
    // grant requests it can handle per second.
    constexpr std::size_t targetsPerGroup = 32;
    constexpr unsigned maxGroups = 256;

    bool parseNumber(std::string_view text, unsigned& value)
    {
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
        return result.ec == std::errc() && result.ptr == text.data() + text.size();
    }

}

unsigned groupCountFor(std::size_t targets) noexcept
{
    unsigned count = 1;
    while (count < maxGroups && targets > count * targetsPerGroup)
        count *= 2;
    return count;
}

std::string groupName(const TargetGroup& group)
{
    return group.service + "/" + std::to_string(group.index) + "/" + std::to_string(group.count);
}

std::optional<TargetGroup> parseGroup(std::string_view name)
{
    const std::size_t last = name.rfind('/');
    const std::size_t middle = last == std::string_view::npos || last == 0 ? std::string_view::npos : name.rfind('/', last - 1);
    if (middle == std::string_view::npos)
        return std::nullopt;
    TargetGroup group;
    group.service = name.substr(0, middle);
    if (!parseNumber(name.substr(middle + 1, last - middle - 1), group.index) || !parseNumber(name.substr(last + 1), group.count))
        return std::nullopt;
    if (group.count == 0 || group.count > maxGroups || group.index >= group.count)
        return std::nullopt;
    return group;
}

TargetGroup groupOf(std::string_view service, std::string_view instance, unsigned count)
{
    return { std::string(service), count <= 1 ? 0 : static_cast<unsigned>(stableHash(instance) % count), std::max(1U, count) };
}

bool isInGroup(const TargetGroup& group, std::string_view instance) noexcept
{
    return group.count <= 1 || stableHash(instance) % group.count == group.index;
}

}
