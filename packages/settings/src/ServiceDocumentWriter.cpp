#include "flamingowick/settings/ServiceDocumentText.h"

#include <nlohmann/json.hpp>

// Writes service documents in their canonical form.
namespace flamingowick::settings {

namespace {

    using Json = nlohmann::ordered_json;

    std::int64_t inMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    std::string_view nameOf(Repeatability repeatability)
    {
        switch (repeatability) {
        case Repeatability::ByMethod:
            return "byMethod";
        case Repeatability::Idempotent:
            return "idempotent";
        case Repeatability::NonIdempotent:
            return "nonIdempotent";
        }
        return "byMethod";
    }

    Json routesJson(const std::vector<RouteRule>& routes)
    {
        Json list = Json::array();
        for (const RouteRule& route : routes) {
            Json entry;
            entry["host"] = route.host;
            entry["pathPrefix"] = route.pathPrefix;
            entry["repeatability"] = nameOf(route.repeatability);
            entry["key"] = route.key == KeyDemand::Required ? "required" : "optional";
            list.push_back(std::move(entry));
        }
        return list;
    }

    Json targetsJson(const TargetLimits& targets)
    {
        Json object;
        object["slots"] = targets.slots;
        object["connections"] = targets.connections;
        object["warmUpMs"] = inMilliseconds(targets.warmUp);
        object["connectTimeoutMs"] = inMilliseconds(targets.connectTimeout);
        return object;
    }

    Json healthJson(const HealthPolicy& health)
    {
        Json object;
        object["capacityFloor"] = health.capacityFloor;
        object["falseEjectionCost"] = health.falseEjectionCost;
        object["lateEjectionCost"] = health.lateEjectionCost;
        object["healthyErrorShare"] = health.healthyErrorShare;
        object["failingErrorShare"] = health.failingErrorShare;
        object["slowFactor"] = health.slowFactor;
        object["baseEjectionMs"] = inMilliseconds(health.baseEjection);
        object["maxEjectionMs"] = inMilliseconds(health.maxEjection);
        return object;
    }

    Json limitsJson(const ServiceDocument& document)
    {
        Json object;
        object["queue"]["maxWaiting"] = document.queue.maxWaiting;
        object["queue"]["maxWaitMs"] = inMilliseconds(document.queue.maxWait);
        object["deadlines"]["defaultTimeoutMs"] = inMilliseconds(document.deadlines.defaultTimeout);
        object["deadlines"]["maxTimeoutMs"] = inMilliseconds(document.deadlines.maxTimeout);
        object["bodies"]["maxRequestBytes"] = document.bodies.maxRequestBytes;
        object["bodies"]["maxAnswerBytes"] = document.bodies.maxAnswerBytes;
        object["retries"]["ratio"] = document.retries.ratio;
        object["retries"]["minPerSecond"] = document.retries.minPerSecond;
        object["retries"]["maxAttempts"] = document.retries.maxAttempts;
        return object;
    }

}

std::string serviceDocumentJson(const ServiceDocument& document)
{
    constexpr int indent = 4;
    Json object;
    object["name"] = document.name;
    object["routes"] = routesJson(document.routes);
    object["targets"] = targetsJson(document.targets);
    object.update(limitsJson(document));
    object["health"] = healthJson(document.health);
    object["keys"]["retentionMs"] = inMilliseconds(document.keys.retention);
    object["keys"]["clockBoundMs"] = inMilliseconds(document.keys.clockBound);
    object["crashes"]["distinctTargets"] = document.crashes.distinctTargets;
    object["crashes"]["refuseForMs"] = inMilliseconds(document.crashes.refuseFor);
    object["fairness"]["callerHeader"] = document.fairness.callerHeader;
    return object.dump(indent, ' ', false, Json::error_handler_t::replace) + "\n";
}

}
