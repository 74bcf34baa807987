#pragma once

#include "flamingowick/organisations/KeyIndex.h"

#include <set>
#include <string>
#include <string_view>

// Labels of organisations in metrics, few however many organisations there are.
namespace flamingowick::proxy {

struct OrganisationLabels {
    // The organisations with a label of their own.
    std::set<std::string, std::less<>> names;
    // Those that ever had one, since their series stay.
    std::set<std::string, std::less<>> everNamed;
};

// Gives the organisations with the largest allotments labels of their own; having no limit is the largest. O(n log n).
void updateLabels(OrganisationLabels&, const organisations::KeyIndex&);

// Returns the organisation's label: its name, with characters that labels can't contain replaced, or "other".
std::string labelOf(const OrganisationLabels&, std::string_view organisation);

}
