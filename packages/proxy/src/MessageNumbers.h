#pragma once

#include "flamingowick/model/StableHash.h"

#include <cstdint>
#include <string_view>

namespace flamingowick::proxy {

// Returns the number from which a process counts its requests to other daemons. Replies name a request by its number only and may arrive
// after its process has ended, so the ranges of two processes at one address must not overlap: a hash chooses where each begins. The upper
// two bits are 0, which keeps the count from overflowing. Constant time.
inline std::uint64_t firstMessageNumber(std::string_view vm, std::uint64_t incarnation) noexcept
{
    return combineHashes(stableHash(vm), incarnation) >> 2U;
}

}
