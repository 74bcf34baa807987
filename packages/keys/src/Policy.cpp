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

bool mayActOnPeerCopy(const DaemonId&, const RangeRecord&) noexcept
{
    return false;
}

bool mayDispatchAgain(const KeyEntry&) noexcept
{
    return false;
}

Outcome outcomeWithoutOwner() noexcept
{
    return Outcome::Unknown;
}

}
