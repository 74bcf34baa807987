#pragma once

#include <span>
#include <string_view>

// Hints for names that were mistyped.
namespace flamingowick::settings::detail {

// Returns the candidate with the least Levenshtein distance to name, empty when none is within a
// third of its length and at least one edit. Costs the product of the lengths for each candidate.
// May throw std::bad_alloc.
std::string_view nearestName(std::string_view name, std::span<const std::string_view> candidates);

}
