#pragma once

#include "flamingowick/keys/RangeRecord.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Chooses which daemon should own which range. This is a preference only: the record in the store decides ownership.
namespace flamingowick::keys {

// Returns the VM that should own a range, by rendezvous hashing over the live VMs, or an empty view
// when there is none. O(VMs); may throw std::bad_alloc.
std::string_view preferredOwner(const RangeId&, std::span<const std::string> liveVms);

// Returns the ranges of the services that the VM should own. O(services * ranges * VMs); may throw
// std::bad_alloc.
std::vector<RangeId> rangesToClaim(std::span<const std::string> services, std::span<const std::string> liveVms,
    std::string_view selfVm, std::uint32_t rangesPerService);

}
