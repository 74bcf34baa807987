#include "flamingowick/daemon/Core.h"
#include "flamingowick/telemetry/Log.h"

// What the core does with each kind of message from its peers.
namespace flamingowick::daemon {

void Core::receiveMessage(const peers::Envelope& envelope, peers::ForwardRequest& message, TimePoint now)
{
    this->dispatch.submit(envelope.from, envelope.fromAddress, std::move(message), now);
}

void Core::receiveMessage(const peers::Envelope&, peers::ForwardAnswer& message, TimePoint)
{
    this->forwards.answered(message);
}

void Core::receiveMessage(const peers::Envelope&, peers::ForwardCancel& message, TimePoint now)
{
    this->dispatch.cancel(message.id, message.attempt, now);
}

void Core::receiveMessage(const peers::Envelope& envelope, peers::Heartbeat& message, TimePoint now)
{
    const Member* known = this->context.members.find(envelope.from.vm);
    bool isRestarted = known != nullptr && known->id.incarnation < envelope.from.incarnation;
    if (isRestarted)
        this->loseMember(*known, now);
    auto lost = this->lostMembers.find(envelope.from.vm);
    if (lost != this->lostMembers.end() && lost->second.id.incarnation <= envelope.from.incarnation) {
        // A newer life on the same VM proves that the earlier process is gone.
        if (lost->second.id.incarnation < envelope.from.incarnation)
            this->keyService.handle(keys::DeathProven { lost->second.id }, now);
        this->lostMembers.erase(lost);
    }
    Member member { envelope.from, message.failureDomain, envelope.fromAddress, now };
    if (!this->context.members.heard(member))
        return;
    telemetry::logInfo(telemetry::Part::Membership, "Daemon " + toString(envelope.from) + " joined.");
    this->keyService.memberJoined(member);
}

void Core::receiveMessage(const peers::Envelope&, keys::KeyedRequest& message, TimePoint now)
{
    message.wall = readWallClock();
    this->keyService.handle(message, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::KeyedAnswer& message, TimePoint now)
{
    this->keyService.handle(keys::ForwardAnswered { message.id, std::move(message.answer), message.heldFor }, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::KeyedRefusal& message, TimePoint now)
{
    this->keyService.handle(keys::ForwardRefused { message.id, message.record }, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::KeyedCancel& message, TimePoint now)
{
    this->keyService.handle(keys::CancelRequested { message.id }, now);
}

void Core::receiveMessage(const peers::Envelope&, keys::HandedRange& message, TimePoint now)
{
    this->keyService.handle(keys::EntriesReceived { std::move(message) }, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::HandedRangeAcknowledged& message, TimePoint now)
{
    this->keyService.handle(keys::EntriesAcknowledged { message.id, message.epochEnded }, now);
}

void Core::receiveMessage(const peers::Envelope&, keys::HandedEntryFinished& message, TimePoint now)
{
    this->keyService.handle(message, now);
}

void Core::receiveMessage(const peers::Envelope&, keys::OwnerAnnounced& message, TimePoint now)
{
    this->keyService.handle(message, now);
}

void Core::receiveMessage(const peers::Envelope& envelope, peers::KeyHeartbeat& message, TimePoint now)
{
    this->keyService.handle(keys::HeartbeatReceived { envelope.from, message.stamp }, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::HealthSummary& message, TimePoint now)
{
    this->dispatch.receive(message, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::ServiceCrashReport& message, TimePoint now)
{
    this->dispatch.receive(message, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::ServiceQuarantine& message, TimePoint now)
{
    this->dispatch.receive(message, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::LeavingNotice& message, TimePoint now)
{
    this->dispatch.receive(message, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::TargetListShare& message, TimePoint)
{
    this->lists.receive(message);
}

void Core::receiveMessage(const peers::Envelope& envelope, configuration::PeerMessage& message, TimePoint now)
{
    this->configurationService.receive(envelope.from.vm, message, now);
}

}
