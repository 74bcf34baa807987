#pragma once

#include <cstddef>
#include <span>
#include <vector>

// Distributes a route's requests over weighted parts by smooth weighted round robin.
namespace flamingowick::grants {

// For each part, the requests due to it by its weight, less those it was given. Negative when it is ahead.
struct SplitRotation {
    std::vector<double> credits;
};

// Starts a rotation for parts of the given weights. The phase, from 0 to 1, selects the part that is chosen first,
// so that daemons with few requests don't all start with the same part. May throw std::bad_alloc.
SplitRotation startRotation(std::span<const double> weights, double phase);

// Returns the index of the part for the next request: the one with the largest credit. Each part's count stays
// within about two requests of its share. Linear in the parts.
std::size_t nextPart(SplitRotation&, std::span<const double> weights) noexcept;

}
