#pragma once

#include "flamingowick/model/Finding.h"
#include "flamingowick/settings/FindingNumber.h"

#include <string>
#include <string_view>
#include <vector>

// Collects findings up to a bound.
namespace flamingowick::settings::detail {

// Findings kept of one text; the rest is summed up by one FurtherFindings entry.
constexpr std::size_t maxFindings = 100;

struct FindingList {
    std::vector<Finding> entries;
    std::size_t leftOut { 0 };
};

// Adds a finding, or counts it when the list is full. May throw std::bad_alloc.
void addFinding(FindingList&, FindingNumber, std::string_view pointer, unsigned line, std::string message);

// Returns the findings ordered by line, with the FurtherFindings entry last when some were left
// out. May throw std::bad_alloc.
std::vector<Finding> takeFindings(FindingList&&);

}
