#pragma once

#include <cstddef>
#include <span>
#include <vector>

// Distributes a route's requests over weighted parts.
namespace flamingowick::grants {

// Each part's credit: what it is owed of the requests so far.
struct SplitRotation {
    std::vector<double> credits;
};

// Starts a rotation for parts of the given weights at a phase from 0 to 1, so that daemons with few
// requests don't all choose the same part first. May throw std::bad_alloc.
SplitRotation startRotation(std::span<const double> weights, double phase);

// Returns the part that takes the next request: the one that is owed most. Each part stays within
// one request of its share. Linear in the parts.
std::size_t nextPart(SplitRotation&, std::span<const double> weights) noexcept;

}
