#include "flamingowick/daemon/ConfigurationService.h"

#include "flamingowick/daemon/StoredForms.h"
#include "flamingowick/model/StableHash.h"
#include "flamingowick/telemetry/Log.h"

namespace flamingowick::daemon {

namespace {

    using configuration::WriteOutcome;

    WriteOutcome writeOutcome(const platform::Result& result)
    {
        if (std::holds_alternative<platform::Applied>(result))
            return WriteOutcome::Done;
        bool isConflict = std::holds_alternative<platform::Conflict>(result) || std::holds_alternative<platform::Absent>(result);
        return isConflict ? WriteOutcome::Conflict : WriteOutcome::Unknown;
    }

    configuration::SourceNoticed noticeOf(const platform::Object& object)
    {
        return { object.name, configuration::markOf(readSource(object)) };
    }

}

ConfigurationService::ConfigurationService(CoreContext& shared, PlatformCalls& platformCalls, std::function<void(const std::string&)> changed, TimePoint now)
    : context(shared)
    , calls(platformCalls)
    , onChange(std::move(changed))
    , policy(configuration::productionPolicy())
    , state(configuration::makeState(shared.self.vm, shared.settings.failureDomain, shared.self.incarnation, stableHash(toString(shared.self)), now))
{
}

void ConfigurationService::run(const configuration::Event& event, TimePoint now)
{
    for (const configuration::Action& action : configuration::handle(this->state, this->policy, event, now))
        std::visit([&](const auto& each) { this->carryOut(each, now); }, action);
}

void ConfigurationService::membersChanged(TimePoint now)
{
    if (this->membersSeen == this->context.members.generation())
        return;
    this->membersSeen = this->context.members.generation();
    configuration::MembersChanged event;
    for (const auto& [vm, member] : this->context.members.all())
        event.members.push_back({ vm, member.failureDomain });
    this->run(event, now);
}

void ConfigurationService::receive(std::string_view fromVm, const configuration::PeerMessage& message, TimePoint now)
{
    this->run(configuration::MessageReceived { std::string(fromVm), message }, now);
}

void ConfigurationService::tick(TimePoint now)
{
    this->run(configuration::Tick {}, now);
}

void ConfigurationService::carryOut(const configuration::StartWatch&, TimePoint)
{
    this->listedSources.reset();
    this->listedAccepted.reset();
    this->sourceWatch = this->calls.make(platform::Watch { 0, platform::Plural::ServiceDocuments },
        [this](platform::Result& result) { this->watchResult(platform::Plural::ServiceDocuments, result); });
    this->acceptedWatch = this->calls.make(platform::Watch { 0, platform::Plural::AcceptedDocuments },
        [this](platform::Result& result) { this->watchResult(platform::Plural::AcceptedDocuments, result); });
}

void ConfigurationService::carryOut(const configuration::StopWatch&, TimePoint)
{
    this->calls.stopWatch(this->sourceWatch);
    this->calls.stopWatch(this->acceptedWatch);
}

void ConfigurationService::watchResult(platform::Plural plural, platform::Result& result)
{
    if (auto* snapshot = std::get_if<platform::WatchSnapshot>(&result)) {
        this->takeSnapshot(plural, *snapshot);
    } else if (auto* events = std::get_if<platform::WatchEvents>(&result)) {
        for (const platform::WatchEvent& event : events->events)
            this->takeEvent(plural, event);
    } else {
        this->run(configuration::WatchBroken {}, Clock::now());
    }
}

void ConfigurationService::takeSnapshot(platform::Plural plural, const platform::WatchSnapshot& snapshot)
{
    if (plural == platform::Plural::ServiceDocuments) {
        this->listedSources.emplace();
        for (const platform::Object& object : snapshot.objects)
            this->listedSources->push_back(noticeOf(object));
    } else {
        this->listedAccepted.emplace();
        for (const platform::Object& object : snapshot.objects) {
            if (auto stored = readAccepted(object))
                this->listedAccepted->push_back(std::move(*stored));
        }
    }
    if (this->listedSources && this->listedAccepted)
        this->run(configuration::WatchListed { *this->listedSources, *this->listedAccepted }, Clock::now());
}

void ConfigurationService::takeEvent(platform::Plural plural, const platform::WatchEvent& event)
{
    if (plural == platform::Plural::ServiceDocuments) {
        bool isGone = event.type == platform::ChangeType::Deleted;
        configuration::SourceNoticed noticed = isGone ? configuration::SourceNoticed { event.object.name, {} } : noticeOf(event.object);
        this->run(noticed, Clock::now());
        return;
    }
    if (event.type == platform::ChangeType::Deleted)
        return;
    if (auto stored = readAccepted(event.object))
        this->run(configuration::AcceptedNoticed { std::move(*stored) }, Clock::now());
}

void ConfigurationService::carryOut(const configuration::ReadAccepted& action, TimePoint)
{
    this->calls.make(platform::Get { 0, platform::Plural::AcceptedDocuments, action.service }, [this, action](platform::Result& result) {
        configuration::AcceptedRead read { action.service, action.ticket, std::nullopt };
        if (auto* found = std::get_if<platform::Found>(&result))
            read.stored = readAccepted(found->objects.front());
        else if (!std::holds_alternative<platform::Absent>(result)) {
            this->run(configuration::CallFailed { action.service, action.ticket }, Clock::now());
            return;
        }
        this->run(read, Clock::now());
    });
}

void ConfigurationService::carryOut(const configuration::ReadSource& action, TimePoint)
{
    this->calls.make(platform::Get { 0, platform::Plural::ServiceDocuments, action.service }, [this, action](platform::Result& result) {
        configuration::SourceRead read { action.service, action.ticket, std::nullopt, wallClockMilliseconds() };
        if (auto* found = std::get_if<platform::Found>(&result))
            read.source = readSource(found->objects.front());
        else if (!std::holds_alternative<platform::Absent>(result)) {
            this->run(configuration::CallFailed { action.service, action.ticket }, Clock::now());
            return;
        }
        this->run(read, Clock::now());
    });
}

void ConfigurationService::carryOut(const configuration::WriteAccepted& action, TimePoint)
{
    platform::Object object = writeAccepted(action.document, action.expectedVersion);
    object.changedBy = toString(this->context.self);
    auto onResult = [this, service = action.document.service, ticket = action.ticket](platform::Result& result) {
        this->run(configuration::WriteAnswered { service, ticket, writeOutcome(result) }, Clock::now());
    };
    if (action.expectedVersion.empty())
        this->calls.make(platform::Create { 0, std::move(object) }, onResult);
    else
        this->calls.make(platform::Put { 0, std::move(object) }, onResult);
}

void ConfigurationService::carryOut(const configuration::WriteArchive& action, TimePoint)
{
    platform::Object object = writeArchive(action.archive);
    object.changedBy = toString(this->context.self);
    this->calls.make(platform::Create { 0, std::move(object) }, [this, service = action.archive.service, ticket = action.ticket](platform::Result& result) {
        // That the object exists already is a success: its content never changes.
        if (writeOutcome(result) == WriteOutcome::Unknown)
            this->run(configuration::CallFailed { service, ticket }, Clock::now());
        else
            this->run(configuration::ArchiveWritten { service, ticket }, Clock::now());
    });
}

void ConfigurationService::carryOut(const configuration::SendMessage& action, TimePoint)
{
    const Member* member = this->context.members.find(action.to);
    if (member != nullptr)
        this->context.ports.sendPeer(member->peerAddress, member->id.incarnation, action.message);
}

void ConfigurationService::carryOut(const configuration::ApplyDocument& action, TimePoint)
{
    if (action.deleted)
        this->context.catalogue.withdraw(action.service, action.version);
    else
        this->context.catalogue.apply(action.service, action.version, action.document);
    std::string verb = action.deleted ? " is withdrawn at version " : " is in force at version ";
    telemetry::logInfo(telemetry::Part::Configuration, "Service " + action.service + verb + std::to_string(action.version) + ".");
    this->onChange(action.service);
}

void ConfigurationService::carryOut(const configuration::BecomeReady&, TimePoint)
{
    this->becameReady = true;
    telemetry::logInfo(telemetry::Part::Configuration, "Documents are complete enough to serve traffic.");
}

}
