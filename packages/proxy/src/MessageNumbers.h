#pragma once

#include "flamingowick/model/StableHash.h"

#include <cstdint>
#include <string_view>

namespace flamingowick::proxy {

// Returns the number after which a process numbers its requests to other daemons. Replies name a request by its number only, and may
// arrive after the process that sent it has ended: each process counts on from its own place. Leaves the upper bits for that.
inline std::uint64_t firstMessageNumber(std::string_view vm, std::uint64_t incarnation) noexcept
{
    return combineHashes(stableHash(vm), incarnation) >> 2U;
}

}
