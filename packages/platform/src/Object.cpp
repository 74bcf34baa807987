#include "flamingowick/platform/Object.h"

namespace flamingowick::platform {

std::string_view toString(Plural plural) noexcept
{
    switch (plural) {
    case Plural::ServiceDocuments:
        return "servicedocuments";
    case Plural::AcceptedDocuments:
        return "accepteddocuments";
    case Plural::KeyRanges:
        return "keyranges";
    case Plural::FleetStatuses:
        return "fleetstatuses";
    case Plural::TargetLists:
        return "targetlists";
    case Plural::VmLists:
        return "vmlists";
    case Plural::AuditSegments:
        return "auditsegments";
    }
    return "";
}

std::optional<Plural> parsePlural(std::string_view text) noexcept
{
    for (const Plural plural : allPlurals) {
        if (toString(plural) == text)
            return plural;
    }
    return std::nullopt;
}

}
