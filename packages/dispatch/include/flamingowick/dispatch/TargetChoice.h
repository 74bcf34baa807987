#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

// Which of several free targets takes a request.
namespace flamingowick::dispatch {

// A target with a free slot.
struct Candidate {
    std::string_view address;
    std::string_view failureDomain;
    unsigned inFlight { 0 };
    unsigned slots { 0 };
};

// Returns the index of the candidate with the smallest share of its slots in use; among equals one
// in the origin's failure domain, then one picked by random. candidates must not be empty. Never
// throws; linear.
std::size_t chooseLeastLoaded(std::span<const Candidate> candidates, std::string_view originDomain, std::uint64_t random) noexcept;

// Returns the less loaded of two candidates that random picks. The baseline of the measurements.
// candidates must not be empty. Never throws; constant time.
std::size_t choosePowerOfTwo(std::span<const Candidate> candidates, std::string_view originDomain, std::uint64_t random) noexcept;

}
