#include "flamingowick/proxy/OrganisationLabels.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace flamingowick::proxy {

namespace {

    constexpr std::size_t maxLabels = 20;
    // Labels over the life of the process, when the configuration changes.
    constexpr std::size_t maxLabelsEver = 60;

    double sizeOf(const organisations::Organisation& organisation)
    {
        return organisation.ratePerSecond > 0 ? organisation.ratePerSecond : std::numeric_limits<double>::infinity();
    }

}

void updateLabels(OrganisationLabels& labels, const organisations::KeyIndex& index)
{
    std::vector<const organisations::Organisation*> largest;
    for (const organisations::Organisation& organisation : index.organisations)
        largest.push_back(&organisation);
    const auto end = largest.begin() + static_cast<std::ptrdiff_t>(std::min(largest.size(), maxLabels));
    std::partial_sort(largest.begin(), end, largest.end(), [](const auto* left, const auto* right) { return sizeOf(*left) != sizeOf(*right) ? sizeOf(*left) > sizeOf(*right) : left->name < right->name; });
    labels.names.clear();
    for (auto item = largest.begin(); item != end; ++item) {
        const std::string& name = (*item)->name;
        if (labels.everNamed.contains(name) || labels.everNamed.size() < maxLabelsEver) {
            labels.everNamed.insert(name);
            labels.names.insert(name);
        }
    }
}

std::string labelOf(const OrganisationLabels& labels, std::string_view organisation)
{
    const auto found = labels.names.find(organisation);
    if (found == labels.names.end())
        return "other";
    std::string label = *found;
    std::replace_if(
        label.begin(), label.end(), [](char c) { return c == '"' || c == '\\'; }, '_');
    return label;
}

}
