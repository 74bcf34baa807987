#include "flamingowick/routing/RouteTable.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace flamingowick::routing {

namespace {

    std::string canonicalHost(std::string_view host)
    {
        bool isIpv6Literal = host.starts_with('[');
        auto portStart = isIpv6Literal ? host.find(':', host.find(']')) : host.find(':');
        std::string canonical(host.substr(0, portStart));
        std::transform(canonical.begin(), canonical.end(), canonical.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        return canonical;
    }

    std::string_view withoutTrailingSlash(std::string_view path)
    {
        return path.size() > 1 && path.ends_with('/') ? path.substr(0, path.size() - 1) : path;
    }

    std::string makeRouteKey(const std::string& canonicalHost, std::string_view prefix)
    {
        std::string key = canonicalHost;
        key.append(withoutTrailingSlash(prefix));
        return key;
    }

    // Returns the path without its last segment; the parent of the root is the root.
    std::string_view parentOf(std::string_view path)
    {
        auto slash = path.rfind('/');
        return slash == std::string_view::npos || slash == 0 ? "/" : path.substr(0, slash);
    }

}

void RouteTable::setRoutes(std::string_view service, std::span<const RouteRule> rules)
{
    this->removeRoutes(service);
    std::vector<std::string>& keys = this->keysByService[std::string(service)];
    for (const RouteRule& rule : rules) {
        std::string key = makeRouteKey(canonicalHost(rule.host), rule.pathPrefix);
        this->routes[key].insert_or_assign(std::string(service), Route { std::string(service), rule });
        keys.push_back(std::move(key));
    }
}

void RouteTable::removeRoutes(std::string_view service)
{
    auto known = this->keysByService.find(service);
    if (known == this->keysByService.end())
        return;
    for (const std::string& key : known->second) {
        auto candidates = this->routes.find(key);
        if (candidates == this->routes.end())
            continue;
        candidates->second.erase(known->first);
        if (candidates->second.empty())
            this->routes.erase(candidates);
    }
    this->keysByService.erase(known);
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    std::string canonical = canonicalHost(host);
    std::string_view prefix = withoutTrailingSlash(path.substr(0, path.find('?')));
    for (;;) {
        auto candidates = this->routes.find(makeRouteKey(canonical, prefix));
        if (candidates != this->routes.end())
            return &candidates->second.begin()->second;
        if (prefix == "/" || prefix.empty())
            return nullptr;
        prefix = parentOf(prefix);
    }
}

bool isIdempotent(const RouteRule& rule, std::string_view method) noexcept
{
    static constexpr std::array<std::string_view, 6> idempotentMethods { "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE" };
    if (rule.repeatability == Repeatability::Idempotent)
        return true;
    if (rule.repeatability == Repeatability::NonIdempotent)
        return false;
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

}
