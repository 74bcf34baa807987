#include "flamingowick/daemon/ListService.h"

#include "flamingowick/daemon/StoredForms.h"
#include "flamingowick/model/StableHash.h"

namespace flamingowick::daemon {

namespace {

    constexpr std::chrono::seconds shareInterval { 2 };

}

ListService::ListService(CoreContext& shared, PlatformCalls& platformCalls, ListHandlers listHandlers)
    : context(shared)
    , calls(platformCalls)
    , handlers(std::move(listHandlers))
    , random(stableHash(toString(shared.self)))
{
}

void ListService::setWatching(bool wanted)
{
    if (wanted == this->watching)
        return;
    this->watching = wanted;
    if (wanted) {
        this->targetWatch = this->calls.make(platform::Watch { 0, platform::Plural::TargetLists }, [this](platform::Result& result) { this->targetResult(result); });
        this->vmWatch = this->calls.make(platform::Watch { 0, platform::Plural::VmLists }, [this](platform::Result& result) { this->vmResult(result); });
        return;
    }
    this->calls.stopWatch(this->targetWatch);
    this->calls.stopWatch(this->vmWatch);
    this->vms.reset();
}

void ListService::targetResult(platform::Result& result)
{
    if (auto* snapshot = std::get_if<platform::WatchSnapshot>(&result)) {
        for (const platform::Object& object : snapshot->objects)
            this->takeTargets(object);
    } else if (auto* events = std::get_if<platform::WatchEvents>(&result)) {
        for (const platform::WatchEvent& event : events->events) {
            if (event.type != platform::ChangeType::Deleted)
                this->takeTargets(event.object);
        }
    }
}

void ListService::takeTargets(const platform::Object& object)
{
    if (!this->context.catalogue.setTargets(object.name, readTargetList(object)))
        return;
    this->handlers.onTargets(object.name);
    const TargetList& list = *this->context.catalogue.targetsOf(object.name);
    for (const auto& [vm, member] : this->context.members.all()) {
        if (member.failureDomain == this->context.settings.failureDomain)
            this->share(member, object.name, list);
    }
}

void ListService::vmResult(platform::Result& result)
{
    std::vector<const platform::Object*> objects;
    if (auto* snapshot = std::get_if<platform::WatchSnapshot>(&result)) {
        this->vms.emplace();
        for (const platform::Object& object : snapshot->objects)
            objects.push_back(&object);
    } else if (auto* events = std::get_if<platform::WatchEvents>(&result)) {
        for (const platform::WatchEvent& event : events->events)
            objects.push_back(&event.object);
    }
    // One object lists all VMs of the fleet.
    for (const platform::Object* object : objects) {
        std::vector<std::string> names = readVmList(*object);
        this->vms.emplace(names.begin(), names.end());
    }
}

void ListService::share(const Member& member, const std::string& service, const TargetList& list)
{
    if (member.id != this->context.self)
        this->context.ports.sendPeer(member.peerAddress, member.id.incarnation, peers::TargetListShare { service, list.version, list.targets });
}

void ListService::receive(const peers::TargetListShare& message)
{
    if (this->context.catalogue.setTargets(message.service, { message.version, message.targets }))
        this->handlers.onTargets(message.service);
}

void ListService::tick(TimePoint now)
{
    if (now < this->nextShare)
        return;
    this->nextShare = now + shareInterval;
    const auto& members = this->context.members.all();
    auto chosen = std::next(members.begin(), static_cast<std::ptrdiff_t>(this->random() % members.size()));
    for (const auto& [service, list] : this->context.catalogue.targetLists())
        this->share(chosen->second, service, list);
}

}
