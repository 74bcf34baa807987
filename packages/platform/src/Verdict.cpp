#include "flamingowick/platform/Verdict.h"

namespace flamingowick::platform {

namespace {

    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusRequestTimeout = 408;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusGone = 410;
    constexpr unsigned statusTooManyRequests = 429;
    constexpr unsigned firstServerError = 500;

    Verdict verdictWithoutResponse(const Exchange& exchange) noexcept
    {
        return exchange.write && exchange.sent ? Verdict::Unknown : Verdict::Unavailable;
    }

}

Verdict judge(const Exchange& exchange) noexcept
{
    if (!exchange.answered)
        return verdictWithoutResponse(exchange);
    if (exchange.status >= 200 && exchange.status < 300)
        return Verdict::Done;
    switch (exchange.status) {
    case statusNotFound:
        return Verdict::NotFound;
    case statusConflict:
        return Verdict::Conflict;
    case statusGone:
        return Verdict::Expired;
    case statusTooManyRequests:
        return Verdict::Unavailable;
    case statusRequestTimeout:
        return verdictWithoutResponse(exchange);
    default:
        break;
    }
    // A 5xx response does not say whether the write was stored.
    return exchange.status >= firstServerError ? verdictWithoutResponse(exchange) : Verdict::Rejected;
}

}
