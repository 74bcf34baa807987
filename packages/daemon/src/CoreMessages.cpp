#include "flamingowick/daemon/Core.h"

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

void Core::receiveMessage(const peers::Envelope& envelope, membership::Message& message, TimePoint now)
{
    this->membershipService.receive(envelope, message, now);
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
    this->keyService.handle(keys::HeartbeatReceived { envelope.from, message.stamp, message.wallMs }, now);
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
