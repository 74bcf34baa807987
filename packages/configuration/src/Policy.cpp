#include "flamingowick/configuration/Policy.h"

#include "flamingowick/settings/ServiceDocumentText.h"

namespace flamingowick::configuration {

bool isReady(const BootView& view) noexcept
{
    constexpr std::size_t enoughPeers = 2;
    if (view.agreeingPeers >= enoughPeers)
        return true;
    if (!view.graceOver || view.disagreeingPeers > 0)
        return false;
    return view.agreeingPeers > 0 || view.listedStore;
}

AttemptStep stepAfterWrite(WriteOutcome outcome) noexcept
{
    return outcome == WriteOutcome::Done ? AttemptStep::Finish : AttemptStep::Reread;
}

std::string expectedVersion(const StoredDocument& base)
{
    return base.objectVersion;
}

bool digestDue(TimePoint lastExchange, Duration period, TimePoint now) noexcept
{
    return now - lastExchange >= period;
}

bool needsDecision(const AcceptedDocument& current, const SourceMark& mark) noexcept
{
    return current.checked != mark;
}

Policy productionPolicy()
{
    Policy policy;
    policy.check = settings::parseServiceDocument;
    return policy;
}

}
