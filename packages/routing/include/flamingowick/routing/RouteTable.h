#pragma once

#include "flamingowick/model/ServiceDocument.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Finds the service of a request by its host and path.
namespace flamingowick::routing {

struct Route {
    std::string service;
    RouteRule rule;
};

// The routes of all services. A look-up costs one hash probe for each segment of the path, independent of the number
// of routes.
class RouteTable {
public:
    // Replaces all routes of a service. If several services have a rule for the same host and prefix, the service
    // whose name sorts first gets the requests. May throw std::bad_alloc.
    void setRoutes(std::string_view service, std::span<const RouteRule>);

    // Removes all routes of a service. Unknown services are ignored.
    void removeRoutes(std::string_view service);

    // Returns the route with the longest prefix that matches whole segments of the path, or nullptr if there is none.
    // A port in host and a query in path are ignored. The pointer is valid until the next setRoutes or removeRoutes.
    // May throw std::bad_alloc.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // Returns the number of distinct pairs of host and prefix. Constant time; never throws.
    std::size_t size() const noexcept { return this->routes.size(); }

private:
    // The routes of each host and prefix, by service. The key is the host in lower case followed by the prefix.
    std::unordered_map<std::string, std::map<std::string, Route, std::less<>>> routes;
    // For each service, the keys of its routes.
    std::map<std::string, std::vector<std::string>, std::less<>> keysByService;
};

// Returns whether a request by this method on the route is idempotent: as the rule sets it, or else by RFC 9110.
// Never throws.
bool isIdempotent(const RouteRule&, std::string_view method) noexcept;

}
