#include "flamingowick/proxy/StateCache.h"

#include <algorithm>
#include <set>

namespace flamingowick::proxy {

namespace {

    constexpr std::size_t maxLogged = 1024;

    void logChange(KindCache& cache, std::uint64_t revision, const std::string& name)
    {
        cache.changed = std::max(cache.changed, revision);
        cache.log.emplace_back(revision, name);
        while (cache.log.size() > maxLogged) {
            cache.logFrom = cache.log.front().first;
            cache.log.pop_front();
        }
    }

    bool apply(KindCache& cache, std::uint64_t revision, const StateChange& change)
    {
        const auto known = cache.objects.find(change.object.name);
        if (change.removed) {
            // A removal that is older than what is known is about an earlier object of the name.
            if (known == cache.objects.end() || known->second.revision > change.object.revision)
                return false;
            cache.objects.erase(known);
        } else {
            if (known != cache.objects.end() && known->second.revision >= change.object.revision)
                return false;
            cache.objects.insert_or_assign(change.object.name, change.object);
        }
        logChange(cache, revision, change.object.name);
        return true;
    }

}

std::vector<StateChange> takeWhole(KindCache& cache, std::uint64_t revision, std::span<const StateObject> objects)
{
    std::vector<StateChange> news;
    if (cache.known && revision < cache.seen)
        return news;
    std::set<std::string_view> present;
    for (const StateObject& object : objects)
        present.insert(object.name);
    std::vector<StateChange> changes;
    for (const auto& [name, object] : cache.objects) {
        if (present.find(name) == present.end())
            changes.push_back({ { name, revision, {} }, true });
    }
    for (const StateObject& object : objects)
        changes.push_back({ object, false });
    // A peer that knows less has to be told everything that this daemon may not have logged.
    if (!cache.known)
        cache.logFrom = revision;
    cache.known = true;
    return takeChanges(cache, revision, changes);
}

std::vector<StateChange> takeChanges(KindCache& cache, std::uint64_t revision, std::span<const StateChange> changes)
{
    std::vector<StateChange> news;
    const std::uint64_t reached = std::max(cache.seen, revision);
    for (const StateChange& change : changes) {
        if (apply(cache, reached, change))
            news.push_back(change);
    }
    cache.seen = reached;
    return news;
}

bool hasNews(const KindCache& cache, std::uint64_t seen) noexcept
{
    return cache.known && cache.changed > seen;
}

StateDelta changesSince(const KindCache& cache, std::uint64_t seen)
{
    StateDelta delta;
    delta.revision = cache.seen;
    delta.whole = seen < cache.logFrom || seen == 0;
    if (delta.whole) {
        for (const auto& [name, object] : cache.objects)
            delta.changes.push_back({ object, false });
        return delta;
    }
    std::set<std::string_view> named;
    for (auto entry = cache.log.rbegin(); entry != cache.log.rend() && entry->first > seen; ++entry) {
        if (!named.insert(entry->second).second)
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
