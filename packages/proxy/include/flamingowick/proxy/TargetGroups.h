#pragma once

#include <optional>
#include <string>
#include <string_view>

// Splits a service's targets into groups of bounded size. Each group has its own dispatcher, so that no daemon
// has to handle the grant requests of a whole large service.
namespace flamingowick::proxy {

struct TargetGroup {
    std::string service;
    unsigned index { 0 };
    // Number of groups of the service. A power of two, so that daemons whose lists of targets differ slightly mostly
    // compute the same number.
    unsigned count { 1 };
};

// Returns the number of groups for this number of targets.
unsigned groupCountFor(std::size_t targets) noexcept;

// Returns the name that identifies the group in messages between daemons: "service/index/count".
std::string groupName(const TargetGroup&);

// Parses a name that groupName() returned; none if the text is not such a name.
std::optional<TargetGroup> parseGroup(std::string_view name);

// Returns the target's group when its service has count groups.
TargetGroup groupOf(std::string_view service, std::string_view instance, unsigned count);

// Whether the target belongs to the group.
bool isInGroup(const TargetGroup&, std::string_view instance) noexcept;

}
