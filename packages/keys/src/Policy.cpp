#include "flamingowick/keys/Policy.h"

namespace flamingowick::keys {

bool mayTakeOver(const RangeRecord&, const OwnerEvidence& evidence) noexcept
{
    return evidence.provenDead;
}

Succession decideSuccession(const SuccessionEvidence& evidence) noexcept
{
    if (evidence.firstOwner || evidence.entriesHere)
        return Succession::ActNow;
    return evidence.previousDead ? Succession::ActAfterWait : Succession::Hold;
}

std::optional<RangeRecord> recordFromPeerCopy(const DaemonId&, const RangeRecord&)
{
    return std::nullopt;
}

bool mayDispatchAgain(const KeyEntry&) noexcept
{
    return false;
}

bool acceptedAfterRefusal(TimePoint stamp, TimePoint refusedAt, Duration hold) noexcept
{
    return stamp > refusedAt + hold;
}

Outcome outcomeWithoutOwner() noexcept
{
    return Outcome::Unknown;
}

}
