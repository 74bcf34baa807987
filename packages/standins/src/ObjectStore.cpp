#include "flamingowick/standins/detail/ObjectStore.h"

#include <algorithm>

namespace flamingowick::standins::detail {

namespace {

    std::size_t sizeOf(const StoredObject& object) noexcept
    {
        return object.name.size() + object.annotations.size() + object.spec.size();
    }

}

StoreWrite ObjectStore::create(std::string_view kind, StoredObject object, TimePoint now)
{
    Kind& entry = this->kindOf(kind);
    if (entry.current.contains(object.name))
        return { StoreStatus::Conflict, {} };
    return this->commit(entry, StoreChange::Added, std::move(object), now);
}

StoreWrite ObjectStore::replace(std::string_view kind, StoredObject object, TimePoint now)
{
    Kind& entry = this->kindOf(kind);
    const auto found = entry.current.find(object.name);
    if (found == entry.current.end())
        return { StoreStatus::NotFound, {} };
    if (found->second.version != object.version)
        return { StoreStatus::Conflict, {} };
    return this->commit(entry, StoreChange::Modified, std::move(object), now);
}

StoreWrite ObjectStore::remove(std::string_view kind, std::string_view name, std::uint64_t version, TimePoint now)
{
    Kind& entry = this->kindOf(kind);
    const auto found = entry.current.find(name);
    if (found == entry.current.end())
        return { StoreStatus::NotFound, {} };
    if (version != 0 && found->second.version != version)
        return { StoreStatus::Conflict, {} };
    return this->commit(entry, StoreChange::Deleted, StoredObject(found->second), now);
}

void ObjectStore::advance(std::string_view kind, TimePoint now, Duration lag)
{
    Kind& entry = this->kindOf(kind);
    while (entry.hidden > 0) {
        const StoreEvent& event = entry.history[entry.history.size() - entry.hidden];
        if (event.at + lag > now)
            return;
        if (event.change == StoreChange::Deleted)
            entry.readable.erase(event.object.name);
        else
            entry.readable.insert_or_assign(event.object.name, event.object);
        entry.readableVersion = event.object.version;
        --entry.hidden;
    }
    entry.readableVersion = this->lastVersion;
}

const StoredObject* ObjectStore::find(std::string_view kind, std::string_view name) const
{
    const Kind* entry = this->findKind(kind);
    if (entry == nullptr)
        return nullptr;
    const auto found = entry->readable.find(name);
    return found == entry->readable.end() ? nullptr : &found->second;
}

std::vector<const StoredObject*> ObjectStore::list(std::string_view kind) const
{
    std::vector<const StoredObject*> objects;
    const Kind* entry = this->findKind(kind);
    if (entry == nullptr)
        return objects;
    objects.reserve(entry->readable.size());
    for (const auto& named : entry->readable)
        objects.push_back(&named.second);
    return objects;
}

std::uint64_t ObjectStore::readableVersion(std::string_view kind) const
{
    const Kind* entry = this->findKind(kind);
    return entry == nullptr ? this->lastVersion : entry->readableVersion;
}

bool ObjectStore::eventsAfter(std::string_view kind, std::uint64_t version, std::vector<const StoreEvent*>& events) const
{
    const Kind* entry = this->findKind(kind);
    if (version > this->lastVersion)
        return false;
    if (entry == nullptr)
        return true;
    if (version < entry->forgotten)
        return false;
    const auto end = entry->history.end() - static_cast<std::ptrdiff_t>(entry->hidden);
    auto event = std::upper_bound(entry->history.begin(), end, version,
        [](std::uint64_t sought, const StoreEvent& candidate) { return sought < candidate.object.version; });
    for (; event != end; ++event)
        events.push_back(&*event);
    return true;
}

ObjectStore::Kind& ObjectStore::kindOf(std::string_view kind)
{
    const auto found = this->kinds.find(kind);
    if (found != this->kinds.end())
        return found->second;
    return this->kinds.emplace(std::string(kind), Kind {}).first->second;
}

const ObjectStore::Kind* ObjectStore::findKind(std::string_view kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? nullptr : &found->second;
}

StoreWrite ObjectStore::commit(Kind& entry, StoreChange change, StoredObject object, TimePoint now)
{
    // An object counts three times at most: current, readable and in the history.
    const std::size_t added = 3 * sizeOf(object);
    if (change != StoreChange::Deleted && this->bytes + added > this->limits.maxBytes)
        return { StoreStatus::Full, {} };
    object.version = ++this->lastVersion;
    if (change == StoreChange::Deleted)
        entry.current.erase(object.name);
    else
        entry.current.insert_or_assign(object.name, object);
    entry.history.push_back({ change, object, now });
    ++entry.hidden;
    this->bytes += added;
    while (entry.history.size() > this->limits.maxHistory && entry.hidden < entry.history.size()) {
        this->bytes -= 3 * sizeOf(entry.history.front().object);
        entry.forgotten = entry.history.front().object.version;
        entry.history.pop_front();
    }
    return { StoreStatus::Done, std::move(object) };
}

}
