#include "flamingowick/proxy/Configuration.h"

#include <algorithm>
#include <cctype>

namespace flamingowick::proxy {

namespace {

    // Neither hosts nor paths contain spaces, so a space separates the two unambiguously.
    std::string routeKey(std::string_view host, std::string_view prefix)
    {
        std::string key(host.substr(0, host.find(':')));
        std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        key.push_back(' ');
        key.append(prefix);
        return key;
    }

}

RouteIndex::RouteIndex(const Configuration& configuration)
{
    for (const Route& route : configuration.routes)
        this->routes.emplace(routeKey(route.host, route.pathPrefix), route);
}

const Route* RouteIndex::find(std::string_view host, std::string_view target) const
{
    std::string_view path = target.substr(0, target.find('?'));
    while (true) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found = this->routes.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != this->routes.end())
            return &found->second;
        path = path.substr(0, slash);
    }
}

}
