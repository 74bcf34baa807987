#include "flamingowick/model/StableHash.h"

#include <utility>

namespace flamingowick {

namespace {

    constexpr std::uint64_t fnvOffsetBasis = 0xcbf29ce484222325ULL;
    constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;

    std::uint64_t mix(std::uint64_t value) noexcept
    {
        value ^= value >> 33;
        value *= 0xff51afd7ed558ccdULL;
        value ^= value >> 33;
        value *= 0xc4ceb9fe1a85ec53ULL;
        return value ^ (value >> 33);
    }

}

std::uint64_t stableHash(std::string_view text) noexcept
{
    std::uint64_t hash = fnvOffsetBasis;
    for (unsigned char character : text) {
        hash ^= character;
        hash *= fnvPrime;
    }
    return mix(hash);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second) noexcept
{
    return mix(first * fnvPrime ^ second);
}

std::vector<std::size_t> rendezvousOrder(std::string_view key, std::span<const std::string> members)
{
    std::uint64_t keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, std::size_t>> weights;
    weights.reserve(members.size());
    for (std::size_t index = 0; index < members.size(); ++index)
        weights.emplace_back(combineHashes(keyHash, stableHash(members[index])), index);
    std::sort(weights.begin(), weights.end(), [&](const auto& left, const auto& right) {
        if (left.first != right.first)
            return left.first > right.first;
        return members[left.second] < members[right.second];
    });
    std::vector<std::size_t> order;
    order.reserve(weights.size());
    for (const auto& weight : weights)
        order.push_back(weight.second);
    return order;
}

}
