#include "flamingowick/configuration/FleetStatus.h"

#include <algorithm>
#include <map>
#include <utility>

namespace flamingowick::configuration {

namespace {

    using Source = std::pair<std::string, std::size_t>;

    // Keeps the latest object of each failure domain and shard.
    std::map<Source, const DomainStatus*> latestObjects(std::span<const DomainStatus> objects)
    {
        std::map<Source, const DomainStatus*> latest;
        for (const DomainStatus& object : objects) {
            const DomainStatus*& kept = latest[{ object.failureDomain, object.object.shard }];
            if (!kept || kept->writtenMs < object.writtenMs)
                kept = &object;
        }
        return latest;
    }

    // A failure domain's word on one service.
    struct DomainWord {
        const DomainStatus* from;
        const ServiceStatus* status;
    };

    FleetServiceStatus combineService(std::span<const DomainWord> words)
    {
        FleetServiceStatus combined;
        combined.asOfMs = words.front().from->writtenMs;
        for (const DomainWord& word : words) {
            if (word.status->version < combined.version)
                continue;
            combined.service = word.status->service;
            combined.version = word.status->version;
            combined.deleted = word.status->deleted;
        }
        for (const DomainWord& word : words) {
            combined.daemons += word.status->daemons;
            combined.asOfMs = std::min(combined.asOfMs, word.from->writtenMs);
            if (word.status->version == combined.version)
                combined.inForce += word.status->inForce;
            else
                combined.behind.push_back(word.from->failureDomain);
        }
        return combined;
    }

}

std::vector<FleetServiceStatus> combineStatus(std::span<const DomainStatus> objects)
{
    std::map<std::string_view, std::vector<DomainWord>> services;
    for (const auto& [source, object] : latestObjects(objects)) {
        for (const ServiceStatus& status : object->object.services)
            services[status.service].push_back({ object, &status });
    }
    std::vector<FleetServiceStatus> combined;
    combined.reserve(services.size());
    for (const auto& [service, words] : services)
        combined.push_back(combineService(words));
    return combined;
}

}
