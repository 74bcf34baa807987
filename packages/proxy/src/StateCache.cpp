#include "flamingowick/proxy/StateCache.h"

#include <algorithm>
#include <optional>
#include <set>

namespace flamingowick::proxy {

namespace {

    constexpr std::size_t maxChangeLogEntries = 1024;

    void appendToChangeLog(KindCache& cache, std::uint64_t revision, const std::string& name)
    {
        cache.lastChangeRevision = std::max(cache.lastChangeRevision, revision);
        cache.changeLog.emplace_back(revision, name);
        while (cache.changeLog.size() > maxChangeLogEntries) {
            cache.logStartRevision = cache.changeLog.front().first;
            cache.changeLog.pop_front();
        }
    }

    // Whether peers are told of the object's removal already. Linear in the log.
    bool isInChangeLog(const KindCache& cache, const StateObject& removed)
    {
        return std::any_of(cache.changeLog.begin(), cache.changeLog.end(), [&removed](const auto& entry) { return entry.second == removed.name && entry.first >= removed.revision; });
    }

    // Returns the revision that the object had before, 0 if there was none, or nothing if the change was contained already.
    std::optional<std::uint64_t> applyChange(KindCache& cache, std::uint64_t revision, const StateChange& change)
    {
        const auto known = cache.objects.find(change.object.name);
        const std::uint64_t earlierRevision = known == cache.objects.end() ? 0 : known->second.revision;
        if (change.removed) {
            if (known == cache.objects.end()) {
                // A peer may know the object from another sender.
                if (!isInChangeLog(cache, change.object))
                    appendToChangeLog(cache, revision, change.object.name);
                return std::nullopt;
            }
            // A removal older than the known object concerns an earlier object of the same name.
            if (known->second.revision > change.object.revision)
                return std::nullopt;
            cache.objects.erase(known);
        } else {
            if (known != cache.objects.end() && known->second.revision >= change.object.revision)
                return std::nullopt;
            cache.objects.insert_or_assign(change.object.name, change.object);
        }
        appendToChangeLog(cache, revision, change.object.name);
        return earlierRevision;
    }

    // Applies changes of a sender that is not behind the cache.
    std::vector<StateChange> applyCurrentChanges(KindCache& cache, std::uint64_t revision, std::span<const StateChange> changes)
    {
        std::vector<StateChange> applied;
        for (const StateChange& change : changes) {
            if (const std::optional<std::uint64_t> earlierRevision = applyChange(cache, revision, change)) {
                applied.push_back(change);
                applied.back().earlierRevision = *earlierRevision;
            }
        }
        cache.seenRevision = revision;
        return applied;
    }

}

std::vector<StateChange> applySnapshot(KindCache& cache, std::uint64_t revision, std::span<const StateObject> objects)
{
    std::vector<StateChange> noChanges;
    if (cache.hasSnapshot && revision < cache.seenRevision)
        return noChanges;
    std::set<std::string_view> presentNames;
    for (const StateObject& object : objects)
        presentNames.insert(object.name);
    std::vector<StateChange> changes;
    for (const auto& [name, object] : cache.objects) {
        if (presentNames.find(name) == presentNames.end())
            changes.push_back({ { name, revision, {} }, true });
    }
    for (const StateObject& object : objects)
        changes.push_back({ object, false });
    // The log lacks the changes before the snapshot, such as those of objects that came and went, so that a peer that has seen less
    // gets a snapshot as well.
    if (!cache.hasSnapshot || revision > cache.seenRevision) {
        cache.changeLog.clear();
        cache.logStartRevision = revision;
    }
    cache.hasSnapshot = true;
    return applyCurrentChanges(cache, revision, changes);
}

std::vector<StateChange> applyChanges(KindCache& cache, std::uint64_t revision, std::span<const StateChange> changes)
{
    // Of an object that was removed since, a sender that is behind still has the last write, which can't be told from a new one.
    if (revision <= cache.seenRevision)
        return {};
    return applyCurrentChanges(cache, revision, changes);
}

bool hasChangesSince(const KindCache& cache, std::uint64_t seenRevision) noexcept
{
    return cache.hasSnapshot && cache.lastChangeRevision > seenRevision;
}

StateDelta changesSince(const KindCache& cache, std::uint64_t seenRevision)
{
    StateDelta delta;
    delta.revision = cache.seenRevision;
    delta.isSnapshot = seenRevision < cache.logStartRevision || seenRevision == 0;
    if (delta.isSnapshot) {
        for (const auto& [name, object] : cache.objects)
            delta.changes.push_back({ object, false });
        return delta;
    }
    std::set<std::string_view> addedNames;
    for (auto entry = cache.changeLog.rbegin(); entry != cache.changeLog.rend() && entry->first > seenRevision; ++entry) {
        if (!addedNames.insert(entry->second).second)
            continue;
        const auto object = cache.objects.find(entry->second);
        if (object == cache.objects.end())
            delta.changes.push_back({ { entry->second, entry->first, {} }, true });
        else
            delta.changes.push_back({ object->second, false });
    }
    return delta;
}

}
