#include "flamingowick/proxy/TargetDirectory.h"

#include <algorithm>
#include <utility>

namespace flamingowick::proxy {

namespace {

    bool isMassLoss(const TargetDirectory& directory, std::string_view service, TimePoint now)
    {
        const auto recent = std::count_if(directory.recentRemovals.lower_bound(now - directory.limits.massLossSpan), directory.recentRemovals.end(), [service](const auto& removal) { return removal.second == service; });
        const std::size_t present = countTargets(directory, service);
        return recent > 1 && static_cast<double>(recent) >= directory.limits.massLossShare * static_cast<double>(present);
    }

    // Returns until when a target is kept whose entry has just been removed; none when it is to be dropped at once. An
    // entry may have expired during a store outage unless the sender of its removal has since been connected to the store
    // for the whole grace period. While this daemon has no contact with the store, the grace counts from the start of the
    // sender's connection, or has no known end when the start isn't known either.
    std::optional<TimePoint> graceEndFor(const TargetDirectory& directory, std::string_view service, TimePoint now, Duration storeConnectedFor)
    {
        const bool mayHaveExpired = storeConnectedFor <= directory.limits.lapseGrace;
        if (mayHaveExpired && directory.storeUnavailable)
            return storeConnectedFor > Duration::zero() ? now + directory.limits.lapseGrace - storeConnectedFor : TimePoint::max();
        if (mayHaveExpired && directory.lastStoreOutageAt && now < *directory.lastStoreOutageAt + directory.limits.lapseGrace)
            return *directory.lastStoreOutageAt + directory.limits.lapseGrace;
        if (isMassLoss(directory, service, now))
            return now + directory.limits.massLossGrace;
        return std::nullopt;
    }

    void recordGone(TargetDirectory& directory, std::string_view instance, const DirectoryEntry& known, TimePoint now)
    {
        directory.gone.insert_or_assign(std::string(instance), GoneTarget { known, now });
    }

    // Returns whether the entry comes from an older copy of the store and its target has gone since.
    bool hasReappeared(const TargetDirectory& directory, const TargetEntry& entry, TimePoint now)
    {
        const auto gone = directory.gone.find(entry.target.instance);
        return directory.leftOutUntil && now < *directory.leftOutUntil && gone != directory.gone.end() && gone->second.known.entry.startedAt == entry.startedAt;
    }

    // Returns what is known of a target that may have gone; nullptr if nothing is. Without a start time, one that returns can't
    // be told from one that has restarted.
    const DirectoryEntry* knownTarget(const TargetDirectory& directory, std::string_view instance)
    {
        if (const auto found = directory.entries.find(instance); found != directory.entries.end())
            return &found->second;
        const auto gone = directory.gone.find(instance);
        return gone == directory.gone.end() || gone->second.known.entry.startedAt == 0 ? nullptr : &gone->second.known;
    }

    // Returns the incarnation of a target, whether it is listed or has gone; nullptr if it isn't known.
    DirectoryEntry* findIncarnation(TargetDirectory& directory, std::string_view instance, std::int64_t startedAt)
    {
        if (const auto found = directory.entries.find(instance); found != directory.entries.end())
            return found->second.entry.startedAt == startedAt ? &found->second : nullptr;
        const auto gone = directory.gone.find(instance);
        return gone != directory.gone.end() && gone->second.known.entry.startedAt == startedAt ? &gone->second.known : nullptr;
    }

    bool isListed(const TargetDirectory& directory, std::string_view instance)
    {
        return directory.entries.find(instance) != directory.entries.end();
    }

    // Returns whether a later start of the target is known: the entry is a write of the earlier one that the store has executed
    // late.
    bool isOutdated(const TargetDirectory& directory, const TargetEntry& entry)
    {
        const DirectoryEntry* known = knownTarget(directory, entry.target.instance);
        return known && entry.startedAt != 0 && known->entry.startedAt > entry.startedAt;
    }

    // Takes over what the target has said of itself. Another start or address means that it has restarted.
    void keepStatements(DirectoryEntry& next, const DirectoryEntry& known)
    {
        next.entry.target.leaving = next.entry.target.leaving || known.entry.target.leaving;
        next.heldOffUntil = known.heldOffUntil;
        next.absentUntil = known.absentUntil;
        next.limitNamedAt = known.limitNamedAt;
        next.entry.target.requestsPerSecond = known.entry.target.requestsPerSecond;
    }

    void useEntry(TargetDirectory& directory, const TargetEntry& entry, DirectoryChange& change)
    {
        const auto found = directory.entries.find(entry.target.instance);
        DirectoryEntry next { entry, std::nullopt, std::nullopt };
        const DirectoryEntry* known = knownTarget(directory, entry.target.instance);
        const bool sameIncarnation = known && known->entry.startedAt == entry.startedAt && known->entry.target.address == entry.target.address;
        if (sameIncarnation)
            keepStatements(next, *known);
        if (found != directory.entries.end()) {
            if (!sameIncarnation)
                change.dropped.push_back(entry.target.instance);
            change.changedServices.insert(found->second.entry.service);
        }
        if (next.entry.target.leaving && (found == directory.entries.end() || !found->second.entry.target.leaving))
            change.leaving.push_back(entry.target.instance);
        change.changedServices.insert(entry.service);
        directory.entries.insert_or_assign(entry.target.instance, std::move(next));
    }

    void putEntry(TargetDirectory& directory, const TargetEntry& entry, TimePoint now, DirectoryChange& change)
    {
        if (hasReappeared(directory, entry, now)) {
            directory.reappeared.insert_or_assign(entry.target.instance, entry);
            return;
        }
        directory.reappeared.erase(entry.target.instance);
        useEntry(directory, entry, change);
    }

    void putListedEntry(TargetDirectory& directory, const TargetEntry& entry, TimePoint now, DirectoryChange& change)
    {
        const auto outdated = directory.outdated.find(entry.target.instance);
        const TimePoint usedAt = outdated == directory.outdated.end() ? now + directory.limits.outdatedDelay : outdated->second.usedAt;
        if (outdated != directory.outdated.end())
            directory.outdated.erase(outdated);
        if (isOutdated(directory, entry))
            directory.outdated.insert_or_assign(entry.target.instance, OutdatedEntry { entry, usedAt });
        else
            putEntry(directory, entry, now, change);
    }

    void removeEntry(TargetDirectory& directory, std::string_view instance, TimePoint now, Duration storeConnectedFor, DirectoryChange& change)
    {
        if (const auto reappeared = directory.reappeared.find(instance); reappeared != directory.reappeared.end())
            directory.reappeared.erase(reappeared);
        directory.outdated.erase(std::string(instance));
        const auto found = directory.entries.find(instance);
        if (found == directory.entries.end())
            return;
        const std::string service = found->second.entry.service;
        const std::optional<TimePoint> graceEnd = found->second.entry.target.leaving ? std::nullopt : graceEndFor(directory, service, now, storeConnectedFor);
        if (graceEnd) {
            if (!found->second.graceEndsAt || *found->second.graceEndsAt == TimePoint::max())
                found->second.graceEndsAt = graceEnd;
            change.inGracePeriod.emplace_back(instance);
            return;
        }
        change.changedServices.insert(service);
        change.dropped.emplace_back(instance);
        recordGone(directory, instance, found->second, now);
        directory.entries.erase(found);
    }

}

std::string incarnationName(std::string_view instance, std::int64_t startedAt)
{
    return startedAt == 0 ? std::string(instance) : std::string(instance).append("@").append(std::to_string(startedAt));
}

DirectoryChange applyEntryChanges(TargetDirectory& directory, std::span<const TargetEntry> written, std::span<const std::string> removed, TimePoint now, Duration storeConnectedFor)
{
    DirectoryChange change;
    std::erase_if(directory.gone, [&directory, now](const auto& item) { return item.second.goneAt + directory.limits.goneMemory <= now; });
    directory.recentRemovals.erase(directory.recentRemovals.begin(), directory.recentRemovals.lower_bound(now - directory.limits.massLossSpan));
    // All removals are counted before the first is handled, so that all targets of a mass loss are treated alike.
    for (const std::string& instance : removed) {
        const auto known = directory.entries.find(instance);
        if (known != directory.entries.end() && !known->second.graceEndsAt && !known->second.entry.target.leaving)
            directory.recentRemovals.emplace(now, known->second.entry.service);
    }
    for (const std::string& instance : removed)
        removeEntry(directory, instance, now, storeConnectedFor, change);
    for (const TargetEntry& entry : written)
        putListedEntry(directory, entry, now, change);
    return change;
}

void markStoreUnavailable(TargetDirectory& directory, std::optional<TimePoint> lastContactAt)
{
    const bool continuesLast = lastContactAt && directory.contactRegainedAt && *lastContactAt - *directory.contactRegainedAt < directory.limits.separateOutageTime;
    if (!continuesLast)
        directory.contactLostAt = lastContactAt;
    directory.storeUnavailable = true;
}

void markStoreAvailable(TargetDirectory& directory, TimePoint now)
{
    if (!directory.storeUnavailable)
        return;
    directory.storeUnavailable = false;
    directory.contactRegainedAt = now;
    const bool mayHaveLapsed = !directory.contactLostAt || now - *directory.contactLostAt >= directory.limits.shortestLapsingOutage;
    if (mayHaveLapsed)
        directory.lastStoreOutageAt = now;
    for (auto& [instance, known] : directory.entries) {
        if (known.graceEndsAt == TimePoint::max())
            known.graceEndsAt = mayHaveLapsed ? now + directory.limits.lapseGrace : now;
    }
}

void markStoreReturned(TargetDirectory& directory, TimePoint now)
{
    directory.leftOutUntil = now + directory.limits.reappearanceDelay;
}

DirectoryChange expireEntries(TargetDirectory& directory, TimePoint now)
{
    DirectoryChange change;
    if (directory.leftOutUntil && *directory.leftOutUntil <= now) {
        directory.leftOutUntil.reset();
        const auto reappeared = std::exchange(directory.reappeared, {});
        for (const auto& [instance, entry] : reappeared)
            putEntry(directory, entry, now, change);
    }
    std::erase_if(directory.outdated, [&directory, &change, now](const auto& item) {
        if (now < item.second.usedAt)
            return false;
        useEntry(directory, item.second.entry, change);
        return true;
    });
    for (auto& [instance, known] : directory.entries) {
        if (known.absentUntil && *known.absentUntil <= now) {
            known.absentUntil.reset();
            change.changedServices.insert(known.entry.service);
        }
        if (!known.limitNamedAt || *known.limitNamedAt + directory.limits.limitMemory > now)
            continue;
        known.limitNamedAt.reset();
        known.entry.target.requestsPerSecond.reset();
        change.changedServices.insert(known.entry.service);
        change.limitsChanged.push_back(instance);
    }
    std::erase_if(directory.entries, [&directory, &change, now](const auto& item) {
        const auto& [instance, known] = item;
        if (!known.graceEndsAt || *known.graceEndsAt > now)
            return false;
        change.changedServices.insert(known.entry.service);
        change.dropped.push_back(instance);
        recordGone(directory, instance, known, now);
        return true;
    });
    return change;
}

std::optional<TimePoint> nextEntryExpiry(const TargetDirectory& directory)
{
    std::optional<TimePoint> next;
    if (!directory.reappeared.empty())
        next = directory.leftOutUntil;
    for (const auto& [instance, outdated] : directory.outdated)
        next = std::min(next.value_or(TimePoint::max()), outdated.usedAt);
    for (const auto& [instance, known] : directory.entries) {
        if (known.graceEndsAt && *known.graceEndsAt != TimePoint::max())
            next = std::min(next.value_or(TimePoint::max()), *known.graceEndsAt);
        if (known.absentUntil)
            next = std::min(next.value_or(TimePoint::max()), *known.absentUntil);
        if (known.limitNamedAt)
            next = std::min(next.value_or(TimePoint::max()), *known.limitNamedAt + directory.limits.limitMemory);
    }
    return next;
}

std::vector<grants::ListedTarget> targetsOf(const TargetDirectory& directory, std::string_view service)
{
    std::vector<grants::ListedTarget> targets;
    for (const auto& [instance, known] : directory.entries) {
        if (known.entry.service != service)
            continue;
        targets.push_back(known.entry.target);
        targets.back().startedAt = known.entry.startedAt;
        targets.back().leaving = targets.back().leaving || known.absentUntil;
    }
    return targets;
}

std::size_t countTargets(const TargetDirectory& directory, std::string_view service)
{
    return static_cast<std::size_t>(std::count_if(directory.entries.begin(), directory.entries.end(), [service](const auto& item) { return item.second.entry.service == service; }));
}

DirectoryChange markLeaving(TargetDirectory& directory, std::string_view instance, std::int64_t startedAt)
{
    DirectoryChange change;
    DirectoryEntry* known = findIncarnation(directory, instance, startedAt);
    if (!known || known->entry.target.leaving)
        return change;
    known->entry.target.leaving = true;
    if (isListed(directory, instance))
        change.changedServices.insert(known->entry.service);
    change.leaving.emplace_back(instance);
    return change;
}

DirectoryChange setRequestLimit(TargetDirectory& directory, std::string_view instance, std::int64_t startedAt, std::optional<double> perSecond, TimePoint now)
{
    DirectoryChange change;
    DirectoryEntry* known = findIncarnation(directory, instance, startedAt);
    if (!known || (!perSecond && (!known->limitNamedAt || now - *known->limitNamedAt < directory.limits.limitReorderSpan)))
        return change;
    if (perSecond)
        perSecond = std::max(*perSecond, directory.limits.minRequestsPerSecond);
    known->limitNamedAt = perSecond ? std::optional<TimePoint>(now) : std::nullopt;
    if (known->entry.target.requestsPerSecond == perSecond)
        return change;
    known->entry.target.requestsPerSecond = perSecond;
    if (!isListed(directory, instance))
        return change;
    change.changedServices.insert(known->entry.service);
    change.limitsChanged.emplace_back(instance);
    return change;
}

void holdOff(TargetDirectory& directory, std::string_view instance, std::int64_t startedAt, TimePoint until)
{
    if (DirectoryEntry* known = findIncarnation(directory, instance, startedAt))
        known->heldOffUntil = std::max(known->heldOffUntil.value_or(until), until);
}

DirectoryChange markAbsent(TargetDirectory& directory, std::string_view instance, std::int64_t startedAt, std::string_view address, TimePoint now)
{
    DirectoryChange change;
    DirectoryEntry* known = findIncarnation(directory, instance, startedAt);
    if (!known || known->entry.target.address != address)
        return change;
    const bool isNew = !known->absentUntil;
    known->absentUntil = now + directory.limits.absenceMemory;
    if (isNew && isListed(directory, instance)) {
        change.changedServices.insert(known->entry.service);
        change.absent.emplace_back(instance);
    }
    return change;
}

bool isHeldOff(const DirectoryEntry& known, TimePoint now) noexcept
{
    return known.heldOffUntil && now < *known.heldOffUntil;
}

bool acceptsRequests(const DirectoryEntry& known, TimePoint now) noexcept
{
    return !known.entry.target.leaving && !(known.absentUntil && now < *known.absentUntil) && !isHeldOff(known, now);
}

bool acceptsRequests(const TargetDirectory& directory, std::string_view instance, TimePoint now)
{
    const auto found = directory.entries.find(instance);
    return found != directory.entries.end() && acceptsRequests(found->second, now);
}

std::optional<TimePoint> soonestHoldOffEnd(const TargetDirectory& directory, std::string_view service, TimePoint now)
{
    std::optional<TimePoint> soonest;
    for (const auto& [instance, known] : directory.entries) {
        if (known.entry.service != service || known.entry.target.leaving || known.absentUntil)
            continue;
        if (!isHeldOff(known, now))
            return std::nullopt;
        soonest = std::min(soonest.value_or(TimePoint::max()), *known.heldOffUntil);
    }
    return soonest;
}

}
