#include "flamingowick/settings/detail/ServiceDocumentChecks.h"

#include "flamingowick/settings/detail/TextRules.h"

#include <array>
#include <map>

namespace flamingowick::settings::detail {

namespace {

    // A relation between fields that must hold.
    struct Relation {
        // The field that the finding points at.
        std::string_view pointer;
        std::string_view message;
        bool (*holds)(const ServiceDocument&);
    };

    constexpr std::array relations {
        Relation { "/targets/slots", "must not exceed connections, since each request in flight needs one",
            [](const ServiceDocument& document) { return document.targets.slots <= document.targets.connections; } },
        Relation { "/targets/connectTimeoutMs", "must not exceed deadlines.maxTimeoutMs",
            [](const ServiceDocument& document) { return document.targets.connectTimeout <= document.deadlines.maxTimeout; } },
        Relation { "/queue/maxWaitMs", "must not exceed deadlines.maxTimeoutMs",
            [](const ServiceDocument& document) { return document.queue.maxWait <= document.deadlines.maxTimeout; } },
        Relation { "/deadlines/defaultTimeoutMs", "must not exceed maxTimeoutMs",
            [](const ServiceDocument& document) { return document.deadlines.defaultTimeout <= document.deadlines.maxTimeout; } },
        Relation { "/health/healthyErrorShare", "must be below failingErrorShare",
            [](const ServiceDocument& document) { return document.health.healthyErrorShare < document.health.failingErrorShare; } },
        Relation { "/health/baseEjectionMs", "must not exceed maxEjectionMs",
            [](const ServiceDocument& document) { return document.health.baseEjection <= document.health.maxEjection; } },
        Relation { "/keys/retentionMs", "must exceed deadlines.maxTimeoutMs, or an answer may be forgotten while its request runs",
            [](const ServiceDocument& document) { return document.keys.retention > document.deadlines.maxTimeout; } },
        Relation { "/keys/clockBoundMs", "must be below retentionMs",
            [](const ServiceDocument& document) { return document.keys.clockBound < document.keys.retention; } },
    };

    void checkRoutes(const ServiceDocument& document, const JsonValue& root, FindingList& findings)
    {
        std::map<std::string, std::size_t> seen;
        for (std::size_t index = 0; index < document.routes.size(); ++index) {
            const RouteRule& route = document.routes[index];
            // A route without a usable host has its finding already.
            if (route.host.empty())
                continue;
            const std::string key = lowerCase(route.host) + std::string(trimPathPrefix(route.pathPrefix));
            const auto [entry, added] = seen.emplace(key, index);
            if (added)
                continue;
            const std::string pointer = "/routes/" + std::to_string(index);
            addFinding(findings, FindingNumber::DuplicateEntry, pointer, lineOf(root, pointer),
                "has the host and path prefix of route " + std::to_string(entry->second));
        }
    }

}

void checkServiceDocument(const ServiceDocument& document, const JsonValue& root, FindingList& findings)
{
    for (const Relation& relation : relations) {
        if (!relation.holds(document))
            addFinding(findings, FindingNumber::Contradiction, relation.pointer, lineOf(root, relation.pointer), std::string(relation.message));
    }
    checkRoutes(document, root, findings);
}

}
