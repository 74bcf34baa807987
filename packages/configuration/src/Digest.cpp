#include "flamingowick/configuration/Digest.h"

#include "flamingowick/model/StableHash.h"

namespace flamingowick::configuration {

namespace {

    std::uint64_t hashOf(std::string_view service, std::uint64_t revision) noexcept
    {
        return revision == 0 ? 0 : combineHashes(stableHash(service), revision);
    }

}

std::size_t bucketOf(std::string_view service) noexcept
{
    return stableHash(service) % digestBuckets;
}

void updateDigest(Digest& digest, std::string_view service, std::uint64_t oldRevision, std::uint64_t newRevision) noexcept
{
    const std::uint64_t change = hashOf(service, newRevision) - hashOf(service, oldRevision);
    digest.root += change;
    digest.buckets[bucketOf(service)] += change;
}

}
