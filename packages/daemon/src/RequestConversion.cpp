#include "flamingowick/daemon/RequestConversion.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <strings.h>

namespace flamingowick::daemon {

namespace {

    constexpr std::array<std::string_view, 10> hopByHopHeaders { "Connection", "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length" };

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
    }

    std::string_view trim(std::string_view text)
    {
        auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    // Returns the names that the Connection header lists.
    std::vector<std::string_view> connectionOptions(std::span<const Header> headers)
    {
        std::vector<std::string_view> names;
        const std::string* value = gateway::findHeader(headers, "Connection");
        std::string_view rest = value == nullptr ? std::string_view() : std::string_view(*value);
        while (!rest.empty()) {
            auto comma = rest.find(',');
            names.push_back(trim(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
        return names;
    }

    template <typename Names>
    bool contains(const Names& names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(), [&](std::string_view each) { return equalsIgnoringCase(each, name); });
    }

    std::optional<std::int64_t> parseNumber(std::string_view text)
    {
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

}

std::vector<Header> endToEndHeaders(std::span<const Header> headers)
{
    std::vector<std::string_view> options = connectionOptions(headers);
    std::vector<Header> kept;
    for (const Header& header : headers) {
        if (!contains(hopByHopHeaders, header.name) && !contains(options, header.name))
            kept.push_back(header);
    }
    return kept;
}

Duration callerTimeout(std::span<const Header> headers, const DeadlineLimits& limits)
{
    const std::string* value = gateway::findHeader(headers, timeoutHeader);
    auto milliseconds = value == nullptr ? std::nullopt : parseNumber(*value);
    if (!milliseconds || *milliseconds <= 0)
        return limits.defaultTimeout;
    Duration longest = limits.maxTimeout;
    std::int64_t longestMs = std::chrono::duration_cast<std::chrono::milliseconds>(longest).count();
    return *milliseconds >= longestMs ? longest : std::chrono::milliseconds(*milliseconds);
}

Request makeRequest(gateway::HttpRequest http, const ServiceDocument& document, TimePoint now)
{
    Request request;
    request.service = document.name;
    request.method = std::move(http.method);
    request.path = std::move(http.target);
    request.headers = endToEndHeaders(http.headers);
    request.body = std::move(http.body);
    const std::string* host = gateway::findHeader(http.headers, "Host");
    request.host = host == nullptr ? std::string() : *host;
    const std::string* caller = gateway::findHeader(http.headers, document.fairness.callerHeader);
    request.caller = caller == nullptr ? http.remoteAddress : *caller;
    request.deadline = now + callerTimeout(http.headers, document.deadlines);
    return request;
}

gateway::HttpResponse makeResponse(Answer answer, const RequestId& id)
{
    gateway::HttpResponse response;
    response.status = answer.status;
    response.headers = endToEndHeaders(answer.headers);
    response.headers.push_back({ std::string(outcomeHeader), std::string(toString(answer.outcome)) });
    response.headers.push_back({ std::string(requestIdHeader), toString(id) });
    if (answer.retryAfter)
        response.headers.push_back({ "Retry-After", std::to_string(answer.retryAfter->count()) });
    response.body = std::move(answer.body);
    return response;
}

}
