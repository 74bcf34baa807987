#include "flamingowick/dispatch/Policy.h"

namespace flamingowick::dispatch {

namespace {

    constexpr unsigned internalServerError = 500;
    constexpr unsigned badGateway = 502;
    constexpr unsigned serviceUnavailable = 503;
    constexpr unsigned gatewayTimeout = 504;

    bool isTransient(unsigned status) noexcept
    {
        return status == internalServerError || status == badGateway || status == serviceUnavailable || status == gatewayTimeout;
    }

}

bool certainlyNotRun(AttemptKind kind) noexcept
{
    return kind == AttemptKind::ConnectFailed || kind == AttemptKind::Shed || kind == AttemptKind::Drained;
}

bool mayRepeat(bool idempotent, const AttemptResult& result) noexcept
{
    if (certainlyNotRun(result.kind))
        return true;
    if (result.kind == AttemptKind::Answered && !isTransient(result.status))
        return false;
    return idempotent;
}

bool isOpenTo(const TargetState& target, const Ticket& ticket) noexcept
{
    if (!target.ejected)
        return true;
    return ticket.idempotent && !ticket.keyDigest && target.trialCredit >= 1;
}

}
