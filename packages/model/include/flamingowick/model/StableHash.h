#pragma once

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Hashes that give the same value in every process and build, for placement and digests.
namespace flamingowick {

// Returns a 64-bit FNV-1a hash of text, finished with a mixing step so that all bits are usable.
// Never throws; linear in the length of text.
std::uint64_t stableHash(std::string_view text) noexcept;

// Returns a 64-bit value that depends on both inputs. Never throws; constant time.
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second) noexcept;

// Orders members for a key by rendezvous hashing, best first. All who know the same members get the
// same order; a member that goes moves only the keys that it was first for. Returns indexes into
// members. O(n log n); may throw std::bad_alloc.
std::vector<std::size_t> rendezvousOrder(std::string_view key, std::span<const std::string> members);

}
