#include "flamingowick/organisations/KeyIndex.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace flamingowick::organisations {

DigestKey makeDigestKey()
{
    if (sodium_init() < 0)
        throw std::runtime_error("the system provides no random numbers for the digests of keys");
    DigestKey key;
    randombytes_buf(key.bytes.data(), key.bytes.size());
    return key;
}

KeyDigest digestOf(const DigestKey& digestKey, std::string_view key) noexcept
{
    KeyDigest digest {};
    const auto* const bytes = reinterpret_cast<const unsigned char*>(key.data()); // NOLINT(cppcoreguidelines-pro-type-reinterpret-cast)
    crypto_generichash(digest.data(), digest.size(), bytes, key.size(), digestKey.bytes.data(), digestKey.bytes.size());
    return digest;
}

std::size_t KeyDigestHash::operator()(const KeyDigest& digest) const noexcept
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof hash);
    return hash;
}

namespace {

    void addKey(KeyIndex& index, const KeyDigest& digest, std::uint32_t position)
    {
        if (const auto shared = index.sharedKeys.find(digest); shared != index.sharedKeys.end()) {
            if (std::ranges::find(shared->second, position) == shared->second.end())
                shared->second.push_back(position);
            return;
        }
        const auto [known, isNew] = index.positions.emplace(digest, position);
        if (isNew || known->second == position)
            return;
        index.sharedKeys.emplace(digest, std::vector<std::uint32_t> { known->second, position });
        index.positions.erase(known);
    }

    void removeKey(KeyIndex& index, const KeyDigest& digest, std::uint32_t position)
    {
        const auto shared = index.sharedKeys.find(digest);
        if (shared == index.sharedKeys.end()) {
            if (const auto known = index.positions.find(digest); known != index.positions.end() && known->second == position)
                index.positions.erase(known);
            return;
        }
        std::erase(shared->second, position);
        if (shared->second.size() > 1)
            return;
        index.positions.emplace(digest, shared->second.front());
        index.sharedKeys.erase(shared);
    }

    // Moves the last organisation to the position of one whose keys have been removed.
    void fillGap(KeyIndex& index, std::uint32_t gap)
    {
        const auto last = static_cast<std::uint32_t>(index.organisations.size() - 1);
        if (gap != last) {
            const std::vector<KeyDigest> keys = index.organisations[last].keys;
            for (const KeyDigest& digest : keys)
                removeKey(index, digest, last);
            for (const KeyDigest& digest : keys)
                addKey(index, digest, gap);
            index.positionsByName[index.organisations[last].name] = gap;
            index.organisations[gap] = std::move(index.organisations[last]);
        }
        index.organisations.pop_back();
    }

}

KeyIndex makeKeyIndex(std::vector<Organisation> organisations)
{
    KeyIndex index;
    index.organisations = std::move(organisations);
    for (std::uint32_t position = 0; position < index.organisations.size(); ++position) {
        const Organisation& organisation = index.organisations[position];
        index.positionsByName.emplace(organisation.name, position);
        for (const KeyDigest& digest : organisation.keys)
            addKey(index, digest, position);
    }
    return index;
}

void updateKeyIndex(KeyIndex& index, KeyIndexChange change)
{
    for (const std::string& name : change.removed) {
        const auto known = index.positionsByName.find(name);
        if (known == index.positionsByName.end())
            continue;
        const std::uint32_t position = known->second;
        for (const KeyDigest& digest : index.organisations[position].keys)
            removeKey(index, digest, position);
        index.positionsByName.erase(known);
        fillGap(index, position);
    }
    for (Organisation& changed : change.changed) {
        const auto [known, isNew] = index.positionsByName.emplace(changed.name, static_cast<std::uint32_t>(index.organisations.size()));
        const std::uint32_t position = known->second;
        if (isNew)
            index.organisations.emplace_back();
        for (const KeyDigest& digest : index.organisations[position].keys)
            removeKey(index, digest, position);
        for (const KeyDigest& digest : changed.keys)
            addKey(index, digest, position);
        index.organisations[position] = std::move(changed);
    }
}

const Organisation* findByKey(const KeyIndex& index, const KeyDigest& digest) noexcept
{
    const auto found = index.positions.find(digest);
    return found == index.positions.end() ? nullptr : &index.organisations[found->second];
}

const Organisation* findByName(const KeyIndex& index, std::string_view name)
{
    const auto found = index.positionsByName.find(std::string(name));
    return found == index.positionsByName.end() ? nullptr : &index.organisations[found->second];
}

}
