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

    std::string makeKey(const std::string& canonicalHost, std::string_view prefix)
    {
        std::string key = canonicalHost;
        key.append(withoutTrailingSlash(prefix));
        return key;
    }

    // Returns the path without its last segment; the root stands for itself.
    std::string_view parentOf(std::string_view path)
    {
        auto slash = path.rfind('/');
        return slash == std::string_view::npos || slash == 0 ? "/" : path.substr(0, slash);
    }

}

void RouteTable::set(std::string_view service, std::span<const RouteRule> rules)
{
    this->remove(service);
    std::vector<std::string>& keys = this->keysByService[std::string(service)];
    for (const RouteRule& rule : rules) {
        std::string key = makeKey(canonicalHost(rule.host), rule.pathPrefix);
        this->claims[key].insert_or_assign(std::string(service), Route { std::string(service), rule });
        keys.push_back(std::move(key));
    }
}

void RouteTable::remove(std::string_view service)
{
    auto known = this->keysByService.find(service);
    if (known == this->keysByService.end())
        return;
    for (const std::string& key : known->second) {
        auto claim = this->claims.find(key);
        if (claim == this->claims.end())
            continue;
        claim->second.erase(known->first);
        if (claim->second.empty())
            this->claims.erase(claim);
    }
    this->keysByService.erase(known);
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    std::string canonical = canonicalHost(host);
    std::string_view prefix = withoutTrailingSlash(path.substr(0, path.find('?')));
    for (;;) {
        auto claim = this->claims.find(makeKey(canonical, prefix));
        if (claim != this->claims.end())
            return &claim->second.begin()->second;
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
