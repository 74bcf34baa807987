#pragma once

#include <optional>
#include <string>
#include <string_view>

// A service's targets in groups of bounded size, each with a dispatcher of its own, so that no daemon
// has to see all requests of a large service.
namespace flamingowick::proxy {

struct TargetGroup {
    std::string service;
    unsigned index { 0 };
    // A power of two, so that daemons whose lists differ by a few targets mostly agree.
    unsigned count { 1 };
};

// Returns how many groups so many targets form.
unsigned groupCount(std::size_t targets) noexcept;

// Returns the group's name, under which daemons speak of it, and reads it back. Nothing when the
// text is no such name.
std::string groupName(const TargetGroup&);
std::optional<TargetGroup> parseGroup(std::string_view name);

// Returns the group of the target when its service's targets form so many groups.
TargetGroup groupOf(std::string_view service, std::string_view instance, unsigned count);

// Whether the target belongs to the group.
bool inGroup(const TargetGroup&, std::string_view instance) noexcept;

}
