#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

// A digest of the documents that a daemon holds, for finding differences between two daemons.
namespace flamingowick::configuration {

constexpr std::size_t digestBuckets = 256;

// Sums of hashes over (service, revision), so that a change costs constant time and the order of
// changes doesn't matter.
struct Digest {
    std::uint64_t root { 0 };
    std::array<std::uint64_t, digestBuckets> buckets {};

    bool operator==(const Digest&) const = default;
};

// A document's name and revision, as daemons tell each other what they hold.
struct DocumentRevision {
    std::string service;
    std::uint64_t revision { 0 };

    bool operator==(const DocumentRevision&) const = default;
};

// Returns the bucket that a service belongs to. Never throws; linear in the name.
std::size_t bucketOf(std::string_view service) noexcept;

// Replaces a service's revision in the digest; 0 stands for a document that isn't held. Never throws;
// linear in the name.
void updateDigest(Digest&, std::string_view service, std::uint64_t oldRevision, std::uint64_t newRevision) noexcept;

}
