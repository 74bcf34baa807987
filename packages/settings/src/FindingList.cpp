#include "flamingowick/settings/detail/FindingList.h"

#include <algorithm>
#include <utility>

namespace flamingowick::settings::detail {

void addFinding(FindingList& list, FindingNumber number, std::string_view pointer, unsigned line, std::string message)
{
    if (list.entries.size() >= maxFindings) {
        ++list.leftOut;
        return;
    }
    list.entries.push_back({ static_cast<int>(number), std::string(pointer), line, std::move(message) });
}

std::vector<Finding> takeFindings(FindingList&& list)
{
    std::vector<Finding> findings = std::move(list.entries);
    std::ranges::stable_sort(findings, {}, &Finding::line);
    if (list.leftOut > 0) {
        const std::string message = std::to_string(list.leftOut) + " further findings are left out";
        findings.push_back({ static_cast<int>(FindingNumber::FurtherFindings), "", 0, message });
    }
    return findings;
}

}
