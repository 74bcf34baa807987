#pragma once

#include "flamingowick/grants/SplitRotation.h"
#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The routes, services and limits that are in force.
namespace flamingowick::proxy {

struct RoutePart {
    std::string service;
    double weight { 1 };
};

struct Route {
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    std::string name;
    // The request may run more than once.
    bool idempotent { false };
    // 0 is the most urgent.
    unsigned rank { 0 };
    // Answers within this time are worth most.
    Duration objective { std::chrono::seconds(1) };
    // The longest that a caller is kept waiting.
    Duration timeout { std::chrono::seconds(10) };
    // Targets to which one request may be sent.
    unsigned maxAttempts { 1 };
    // At least one; weights are above 0.
    std::vector<RoutePart> parts;
};

struct CallerLimits {
    std::uint64_t maxHeaderBytes { 16U << 10U };
    std::uint64_t maxBodyBytes { 8U << 20U };
    // From the first byte of a request to the end of its header.
    Duration headerTimeout { std::chrono::seconds(3) };
    // How long a connection without a request stays open.
    Duration idleTimeout { std::chrono::seconds(15) };
};

struct Configuration {
    // Grows with every change.
    std::uint64_t version { 0 };
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<std::string> services;
};

// Finds routes by host and path; one hash probe for each segment of the path.
class RouteIndex {
public:
    RouteIndex() = default;
    // Takes the routes over. The first of two routes with the same host and prefix holds.
    explicit RouteIndex(const Configuration&);

    // Returns the route with the longest prefix that begins the path, or nullptr. A port in host and
    // a query in target are ignored.
    const Route* find(std::string_view host, std::string_view target) const;

private:
    std::unordered_map<std::string, Route> routes;
};

}
