#pragma once

#include "flamingowick/grants/SplitRotation.h"
#include "flamingowick/model/Clock.h"
#include "flamingowick/organisations/KeyIndex.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The routes, services and limits that a daemon applies.
namespace flamingowick::proxy {

struct RouteSplitPart {
    std::string service;
    double weight { 1 };
};

struct Route {
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    std::string name;
    // Whether a request may be executed more than once.
    bool idempotent { false };
    // Responses are large for the links of VMs, so that their transfer takes a good part of the request's time.
    bool largeResponses { false };
    // Callers need no key of an organisation.
    bool isPublic { false };
    // Priority; 0 is the highest.
    unsigned priority { 0 };
    // Latency objective: responses within this time are worth most. While a pool has few measurements, it
    // assumes a latency of its targets that is derived from the objective.
    Duration latencyObjective { std::chrono::seconds(1) };
    // Upper limit of the time to the response; a caller's own timeout may be shorter.
    Duration timeout { std::chrono::seconds(10) };
    // Maximum number of attempts for one request, not counting those that reached no target.
    unsigned maxAttempts { 1 };
    // The services that share the route's requests. At least one; weights are above 0.
    std::vector<RouteSplitPart> parts;
};

struct CallerLimits {
    std::uint64_t maxHeaderBytes { 16U << 10U };
    std::uint64_t maxBodyBytes { 8U << 20U };
    // From the first byte of a request to the end of its header.
    Duration headerTimeout { std::chrono::seconds(3) };
    // How long an idle connection stays open.
    Duration idleTimeout { std::chrono::seconds(15) };
    std::size_t maxHeaderFields { std::numeric_limits<std::size_t>::max() };
};

// Of requests between daemons, for readiness and for metrics, which have no bodies and few header fields.
inline constexpr CallerLimits internalRequestLimits { .maxHeaderBytes = 4U << 10U, .maxBodyBytes = 1U << 10U, .maxHeaderFields = 64 };

struct Configuration {
    // Increases with every change.
    std::uint64_t version { 0 };
    // Digest of the content as received. Tells contents of the same version apart.
    std::uint64_t digest { 0 };
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<std::string> services;
    // Set if callers identify themselves by the keys of organisations.
    std::optional<organisations::KeyIndex> organisations {};
};

// Finds routes by host and path.
class RouteIndex {
public:
    RouteIndex() = default;
    // Copies the routes. Of several routes with the same host and prefix, the first applies.
    explicit RouteIndex(const Configuration&);

    // Returns the route with the longest prefix of the path, or nullptr. The host is compared without its port and
    // regardless of case, the target without its query. One hash look-up for each segment of the path.
    const Route* find(std::string_view host, std::string_view target) const;

private:
    std::unordered_map<std::string, Route> routes;
};

}
