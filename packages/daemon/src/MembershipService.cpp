#include "flamingowick/daemon/MembershipService.h"

#include "flamingowick/model/StableHash.h"
#include "flamingowick/telemetry/Log.h"

namespace flamingowick::daemon {

namespace {

    // How long a VM must be out of every member's reach, besides being gone from the platform's list,
    // to be taken for dead.
    constexpr std::chrono::seconds deathSilence { 10 };

    membership::MemberInfo selfInfo(const CoreContext& context)
    {
        return { context.self, context.settings.failureDomain, context.settings.peerAddress };
    }

}

MembershipService::MembershipService(CoreContext& shared, MembershipHandlers serviceHandlers, TimePoint now)
    : context(shared)
    , handlers(std::move(serviceHandlers))
    , state(membership::makeState(selfInfo(shared), shared.settings.seeds, stableHash(toString(shared.self)), now))
{
}

void MembershipService::run(const membership::Event& event, TimePoint now)
{
    for (const membership::Action& action : membership::handle(this->state, event, now))
        std::visit([&](const auto& each) { this->carryOut(each, now); }, action);
}

void MembershipService::receive(const peers::Envelope& envelope, const membership::Message& message, TimePoint now)
{
    this->run(membership::MessageReceived { { envelope.from, {}, envelope.fromAddress }, message }, now);
}

void MembershipService::linkLost(const std::string& address, TimePoint now)
{
    this->run(membership::LinkLost { address }, now);
}

void MembershipService::leave(TimePoint now)
{
    this->run(membership::Leave {}, now);
}

void MembershipService::tick(const std::optional<std::set<std::string>>& listedVms, TimePoint now)
{
    this->run(membership::Tick {}, now);
    if (listedVms && !listedVms->empty())
        this->proveDeaths(*listedVms, now);
}

void MembershipService::carryOut(const membership::Send& action, TimePoint)
{
    this->context.ports.sendPeer(action.address, action.incarnation, action.message);
}

void MembershipService::carryOut(const membership::Joined& action, TimePoint)
{
    Member member { action.member.id, action.member.failureDomain, action.member.address };
    this->lost.erase(member.id.vm);
    this->context.members.heard(member);
    this->context.ports.connectPeer(member.peerAddress);
    telemetry::logInfo(telemetry::Part::Membership, "Daemon " + toString(member.id) + " joined.");
    this->handlers.onJoined(member);
}

void MembershipService::carryOut(const membership::Lost& action, TimePoint now)
{
    this->context.members.remove(action.member.id);
    this->lost.insert_or_assign(action.member.id.vm, LostDaemon { action.member.id, now });
    if (action.hasLeft) {
        this->handlers.onLeaving(action.member.id);
        return;
    }
    telemetry::logWarning(telemetry::Part::Membership, "Daemon " + toString(action.member.id) + " is out of reach.");
    this->handlers.onLost(action.member.id);
}

void MembershipService::carryOut(const membership::HasLeft& action, TimePoint)
{
    this->context.ports.disconnectPeer(action.member.address);
    telemetry::logInfo(telemetry::Part::Membership, "Daemon " + toString(action.member.id) + " has left.");
}

void MembershipService::carryOut(const membership::Restarted& action, TimePoint)
{
    this->lost.erase(action.earlier.id.vm);
    this->handlers.onDead(action.earlier.id);
}

// A daemon is dead for certain once the platform no longer lists its VM and no member reaches it.
void MembershipService::proveDeaths(const std::set<std::string>& listedVms, TimePoint now)
{
    for (auto entry = this->lost.begin(); entry != this->lost.end();) {
        bool isGone = !listedVms.contains(entry->first) && now - entry->second.since > deathSilence;
        if (!isGone) {
            ++entry;
            continue;
        }
        telemetry::logInfo(telemetry::Part::Membership, "Daemon " + toString(entry->second.id) + " is dead: its VM is gone.");
        this->handlers.onDead(entry->second.id);
        entry = this->lost.erase(entry);
    }
}

}
