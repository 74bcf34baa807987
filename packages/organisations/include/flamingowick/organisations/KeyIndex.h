#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The organisations of a configuration, and the look-up of the one that holds a key. Keys are kept as digests only.
namespace flamingowick::organisations {

// Keyed digest of a key. The digest key is drawn at the start of the process, so that digests of different daemons and
// runs can't be compared.
using KeyDigest = std::array<std::uint8_t, 16>;

struct DigestKey {
    std::array<std::uint8_t, 32> bytes {};
};

// Draws a digest key. Throws std::runtime_error when the system has no random numbers.
DigestKey makeDigestKey();

// Returns the key's digest. Linear in the key.
KeyDigest digestOf(const DigestKey&, std::string_view key) noexcept;

// An organisation as the configuration states it.
struct Organisation {
    std::string name;
    std::vector<KeyDigest> keys;
    // Goes before the priority of the route, if set; 0 is the highest.
    std::optional<unsigned> priority {};
    // Requests per second over all daemons together; 0 for no limit.
    double ratePerSecond { 0 };
    // Requests above the rate at once.
    double burst { 0 };

    bool operator==(const Organisation&) const = default;
};

struct KeyDigestHash {
    std::size_t operator()(const KeyDigest&) const noexcept;
};

struct KeyIndex {
    std::vector<Organisation> organisations;
    // Position in organisations.
    std::unordered_map<KeyDigest, std::uint32_t, KeyDigestHash> positions;
    std::unordered_map<std::string, std::uint32_t> positionsByName;
    // Positions of the organisations that hold the same key, which belongs to none of them.
    std::unordered_map<KeyDigest, std::vector<std::uint32_t>, KeyDigestHash> sharedKeys {};
};

// What differs between two versions of the organisations.
struct KeyIndexChange {
    // Organisations that are new or have another content, found by their names.
    std::vector<Organisation> changed;
    // Names of those that are gone. Unknown ones are ignored.
    std::vector<std::string> removed;
};

// Indexes the organisations of a configuration. A key that two organisations hold belongs to neither. Linear in the keys.
KeyIndex makeKeyIndex(std::vector<Organisation>);

// Applies a change without building the index again. The order of the organisations may change. Linear in the keys of the
// organisations concerned, and of as many more as are removed.
void updateKeyIndex(KeyIndex&, KeyIndexChange);

// Returns the organisation that holds the key, or nullptr. Constant in the number of keys; valid as long as the index.
const Organisation* findByKey(const KeyIndex&, const KeyDigest&) noexcept;

// Returns the organisation of that name, or nullptr.
const Organisation* findByName(const KeyIndex&, std::string_view name);

}
