#include "flamingowick/platform/Verdict.h"

namespace flamingowick::platform {

namespace {

    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusRequestTimeout = 408;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusGone = 410;
    constexpr unsigned statusTooManyRequests = 429;
    constexpr unsigned firstServerError = 500;

    Verdict withoutAnswer(const Exchange& exchange) noexcept
    {
        return exchange.write && exchange.sent ? Verdict::Unknown : Verdict::Unavailable;
    }

}

Verdict judge(const Exchange& exchange) noexcept
{
    if (!exchange.answered)
        return withoutAnswer(exchange);
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
        return withoutAnswer(exchange);
    default:
        break;
    }
    // A server error tells nothing about whether the store behind it took the write.
    return exchange.status >= firstServerError ? withoutAnswer(exchange) : Verdict::Rejected;
}

}
