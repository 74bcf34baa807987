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

// All routes that one daemon knows. A look-up costs one hash probe for each segment of the path,
// however many routes there are.
class RouteTable {
public:
    // Replaces all routes of a service. Where two services claim the same host and prefix, the one
    // whose name sorts first gets the requests. May throw std::bad_alloc.
    void set(std::string_view service, std::span<const RouteRule>);

    // Removes all routes of a service. Unknown services are ignored.
    void remove(std::string_view service);

    // Returns the route with the longest prefix that matches whole segments of the path, or nullptr.
    // host may carry a port, path a query; both are ignored. Valid until the next change.
    const Route* find(std::string_view host, std::string_view path) const;

    // Returns the number of host and prefix pairs. Constant time; never throws.
    std::size_t size() const noexcept { return this->claims.size(); }

private:
    // Claims of the same host and prefix, by service.
    std::unordered_map<std::string, std::map<std::string, Route, std::less<>>> claims;
    std::map<std::string, std::vector<std::string>, std::less<>> keysByService;
};

// Tells whether a request by this method on the route is idempotent. Never throws.
bool isIdempotent(const RouteRule&, std::string_view method) noexcept;

}
