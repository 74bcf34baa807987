#include "flamingowick/settings/detail/NearestName.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <vector>

namespace flamingowick::settings::detail {

namespace {

    bool sameLetter(char first, char second)
    {
        return std::tolower(static_cast<unsigned char>(first)) == std::tolower(static_cast<unsigned char>(second));
    }

    std::size_t editDistance(std::string_view from, std::string_view to)
    {
        std::vector<std::size_t> row(to.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 0; i < from.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < to.size(); ++j) {
                const std::size_t substitution = diagonal + (sameLetter(from[i], to[j]) ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ substitution, row[j] + 1, row[j + 1] + 1 });
            }
        }
        return row[to.size()];
    }

}

std::string_view nearestName(std::string_view name, std::span<const std::string_view> candidates)
{
    std::string_view nearest;
    std::size_t least = std::max<std::size_t>(1, name.size() / 3);
    for (const std::string_view candidate : candidates) {
        const std::size_t distance = editDistance(name, candidate);
        const bool closer = distance < least || (distance == least && nearest.empty());
        if (!closer)
            continue;
        least = distance;
        nearest = candidate;
    }
    return nearest;
}

}
