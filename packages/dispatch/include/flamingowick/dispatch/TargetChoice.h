#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

// Policies that choose one of several targets with a free slot.
namespace flamingowick::dispatch {

// A target with a free slot.
struct Candidate {
    std::string_view address;
    std::string_view failureDomain;
    unsigned inFlight { 0 };
    unsigned slots { 0 };
};

// Returns the index of the candidate with the smallest share of its slots in use. Ties are broken in favour of the
// origin's failure domain, then by `random`. candidates must not be empty. Never throws; linear.
std::size_t chooseLeastLoaded(std::span<const Candidate> candidates, std::string_view originDomain, std::uint64_t random) noexcept;

// Power of two choices: returns the index of the less loaded of two randomly picked candidates. The benchmark uses it
// as a baseline. candidates must not be empty. Never throws; constant time.
std::size_t choosePowerOfTwo(std::span<const Candidate> candidates, std::string_view originDomain, std::uint64_t random) noexcept;

}
