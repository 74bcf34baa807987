#pragma once

#include "flamingowick/gateway/HttpServer.h"
#include "flamingowick/model/Request.h"
#include "flamingowick/model/ServiceDocument.h"

#include <span>
#include <vector>

// Conversions between HTTP messages and the fleet's requests and answers.
namespace flamingowick::daemon {

// Names of the headers that the fleet reads and sets.
inline constexpr std::string_view outcomeHeader = "X-Outcome";
inline constexpr std::string_view requestIdHeader = "X-Request-Id";
inline constexpr std::string_view timeoutHeader = "X-Timeout-Ms";
inline constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view notRunHeader = "X-Not-Run";
inline constexpr std::string_view targetStateHeader = "X-Target-State";

// Returns the headers without those that concern one connection alone (RFC 9110 section 7.6.1) and
// without Content-Length, which each hop sets anew.
std::vector<Header> endToEndHeaders(std::span<const Header>);

// Returns how long the caller is willing to wait: the header X-Timeout-Ms within the document's
// limit, or the document's default.
Duration callerTimeout(std::span<const Header>, const DeadlineLimits&);

// Makes a request of what a caller sent. The id, idempotence and key are left to the entry.
Request makeRequest(gateway::HttpRequest, const ServiceDocument&, TimePoint now);

// Makes the response that a caller gets, with the outcome and the request's identifier.
gateway::HttpResponse makeResponse(Answer, const RequestId&);

}
