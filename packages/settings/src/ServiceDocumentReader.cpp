#include "flamingowick/settings/ServiceDocumentText.h"
#include "flamingowick/settings/detail/FieldReader.h"
#include "flamingowick/settings/detail/JsonParser.h"
#include "flamingowick/settings/detail/ServiceDocumentChecks.h"
#include "flamingowick/settings/detail/TextRules.h"

#include <array>

// Reads the fields of a service document, with the range of each.
namespace flamingowick::settings {

namespace {

    using namespace detail;
    using std::chrono::days;
    using std::chrono::hours;
    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    constexpr std::int64_t gibibyte = std::int64_t { 1 } << 30;
    constexpr std::size_t maxRoutes = 1000;

    constexpr std::array<Choice<Repeatability>, 3> repeatabilityChoices { {
        { "byMethod", Repeatability::ByMethod },
        { "idempotent", Repeatability::Idempotent },
        { "nonIdempotent", Repeatability::NonIdempotent },
    } };

    constexpr std::array<Choice<KeyDemand>, 2> keyChoices { {
        { "optional", KeyDemand::Optional },
        { "required", KeyDemand::Required },
    } };

    RouteRule readRoute(const JsonValue& value, std::string_view pointer, FindingList& findings)
    {
        RouteRule route;
        ObjectReader reader = openValue(value, pointer, findings);
        readText(reader, "host", Presence::Required, checkHost, route.host);
        readText(reader, "pathPrefix", Presence::Optional, checkPathPrefix, route.pathPrefix);
        readChoice<Repeatability>(reader, "repeatability", repeatabilityChoices, route.repeatability);
        readChoice<KeyDemand>(reader, "key", keyChoices, route.key);
        finishObject(reader);
        return route;
    }

    void readRoutes(ObjectReader& parent, std::vector<RouteRule>& routes)
    {
        const std::string listPointer = childPointer(parent.pointer, "routes");
        for (const JsonValue& value : readList(parent, "routes", Presence::Required, { 1, maxRoutes })) {
            const std::string pointer = childPointer(listPointer, std::to_string(routes.size()));
            routes.push_back(readRoute(value, pointer, *parent.findings));
        }
    }

    void readTargets(ObjectReader& parent, TargetLimits& targets)
    {
        ObjectReader reader = openMember(parent, "targets");
        readUnsigned(reader, "slots", { 1, 10'000 }, targets.slots);
        readUnsigned(reader, "connections", { 1, 100'000 }, targets.connections);
        readMilliseconds(reader, "warmUpMs", { milliseconds(0), hours(1) }, targets.warmUp);
        readMilliseconds(reader, "connectTimeoutMs", { milliseconds(1), minutes(1) }, targets.connectTimeout);
        finishObject(reader);
    }

    void readQueue(ObjectReader& parent, QueueLimits& queue)
    {
        ObjectReader reader = openMember(parent, "queue");
        readUnsigned(reader, "maxWaiting", { 0, 1'000'000 }, queue.maxWaiting);
        readMilliseconds(reader, "maxWaitMs", { milliseconds(0), minutes(10) }, queue.maxWait);
        finishObject(reader);
    }

    void readDeadlines(ObjectReader& parent, DeadlineLimits& deadlines)
    {
        ObjectReader reader = openMember(parent, "deadlines");
        readMilliseconds(reader, "defaultTimeoutMs", { milliseconds(1), hours(1) }, deadlines.defaultTimeout);
        readMilliseconds(reader, "maxTimeoutMs", { milliseconds(1), hours(1) }, deadlines.maxTimeout);
        finishObject(reader);
    }

    void readBodies(ObjectReader& parent, BodyLimits& bodies)
    {
        ObjectReader reader = openMember(parent, "bodies");
        readBytes(reader, "maxRequestBytes", { 0, gibibyte }, bodies.maxRequestBytes);
        readBytes(reader, "maxAnswerBytes", { 1, gibibyte }, bodies.maxAnswerBytes);
        finishObject(reader);
    }

    void readRetries(ObjectReader& parent, RetryLimits& retries)
    {
        ObjectReader reader = openMember(parent, "retries");
        readNumber(reader, "ratio", { 0.0, 1.0 }, retries.ratio);
        readNumber(reader, "minPerSecond", { 0.0, 10'000.0 }, retries.minPerSecond);
        readUnsigned(reader, "maxAttempts", { 1, 10 }, retries.maxAttempts);
        finishObject(reader);
    }

    void readHealth(ObjectReader& parent, HealthPolicy& health)
    {
        ObjectReader reader = openMember(parent, "health");
        readNumber(reader, "capacityFloor", { 0.0, 1.0 }, health.capacityFloor);
        readNumber(reader, "falseEjectionCost", { 0.001, 1'000'000.0 }, health.falseEjectionCost);
        readNumber(reader, "lateEjectionCost", { 0.001, 1'000'000.0 }, health.lateEjectionCost);
        readNumber(reader, "healthyErrorShare", { 0.0001, 0.9999 }, health.healthyErrorShare);
        readNumber(reader, "failingErrorShare", { 0.0001, 0.9999 }, health.failingErrorShare);
        readNumber(reader, "slowFactor", { 1.1, 1000.0 }, health.slowFactor);
        readMilliseconds(reader, "baseEjectionMs", { milliseconds(100), hours(1) }, health.baseEjection);
        readMilliseconds(reader, "maxEjectionMs", { milliseconds(100), days(1) }, health.maxEjection);
        finishObject(reader);
    }

    void readKeys(ObjectReader& parent, KeyPolicy& keys)
    {
        ObjectReader reader = openMember(parent, "keys");
        readMilliseconds(reader, "retentionMs", { seconds(1), days(7) }, keys.retention);
        readMilliseconds(reader, "clockBoundMs", { milliseconds(0), minutes(10) }, keys.clockBound);
        finishObject(reader);
    }

    void readCrashes(ObjectReader& parent, CrashPolicy& crashes)
    {
        ObjectReader reader = openMember(parent, "crashes");
        readUnsigned(reader, "distinctTargets", { 1, 100 }, crashes.distinctTargets);
        readMilliseconds(reader, "refuseForMs", { seconds(1), days(1) }, crashes.refuseFor);
        finishObject(reader);
    }

    void readFairness(ObjectReader& parent, FairnessPolicy& fairness)
    {
        ObjectReader reader = openMember(parent, "fairness");
        readText(reader, "callerHeader", Presence::Optional, checkHeaderName, fairness.callerHeader);
        finishObject(reader);
    }

    ServiceDocument readDocument(const JsonValue& root, FindingList& findings)
    {
        ServiceDocument document;
        ObjectReader reader = openValue(root, "", findings);
        readText(reader, "name", Presence::Required, checkServiceName, document.name);
        readRoutes(reader, document.routes);
        readTargets(reader, document.targets);
        readQueue(reader, document.queue);
        readDeadlines(reader, document.deadlines);
        readBodies(reader, document.bodies);
        readRetries(reader, document.retries);
        readHealth(reader, document.health);
        readKeys(reader, document.keys);
        readCrashes(reader, document.crashes);
        readFairness(reader, document.fairness);
        finishObject(reader);
        return document;
    }

}

Checked<ServiceDocument> parseServiceDocument(std::string_view text)
{
    Checked<ServiceDocument> result;
    FindingList findings;
    if (const auto root = parseJson(text, findings)) {
        result.value = readDocument(*root, findings);
        checkServiceDocument(result.value, *root, findings);
    }
    result.findings = takeFindings(std::move(findings));
    return result;
}

}
