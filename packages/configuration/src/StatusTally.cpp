#include "flamingowick/configuration/StatusTally.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>

namespace flamingowick::configuration {

namespace {

    void markDirty(ShardTally& shard, TimePoint now)
    {
        if (!shard.dirtySince)
            shard.dirtySince = now;
    }

    void markAllDirty(StatusTally& tally, TimePoint now)
    {
        for (ShardTally& shard : tally.shards)
            markDirty(shard, now);
    }

    bool hasInForce(const DaemonTally& daemon, std::string_view service, const ServiceTally& known)
    {
        if (std::ranges::find(daemon.unreadable, service) != daemon.unreadable.end())
            return false;
        if (daemon.agreedAt && *daemon.agreedAt >= known.since)
            return true;
        const auto confirmed = daemon.confirmed.find(service);
        return confirmed != daemon.confirmed.end() && confirmed->second >= known.version;
    }

    void noteConfirmed(StatusTally& tally, DaemonTally& daemon, const ServiceVersion& recent, TimePoint now)
    {
        const auto confirmed = daemon.confirmed.find(recent.service);
        if (confirmed == daemon.confirmed.end() && daemon.confirmed.size() >= maxConfirmedEntries)
            return;
        if (confirmed != daemon.confirmed.end() && confirmed->second >= recent.version)
            return;
        daemon.confirmed[recent.service] = recent.version;
        markDirty(tally.shards[statusShardOf(recent.service)], now);
    }

    void refill(StatusTally& tally, TimePoint now)
    {
        const double seconds = std::chrono::duration<double>(now - tally.refilledAt).count();
        tally.tokens = std::min(tally.limits.burst, tally.tokens + seconds * tally.limits.writesPerSecond);
        tally.refilledAt = now;
    }

    bool isDue(const StatusTally& tally, const ShardTally& shard, TimePoint now)
    {
        if (!shard.dirtySince)
            return false;
        return !shard.writtenAt || now - *shard.writtenAt >= tally.limits.shardInterval;
    }

    std::optional<std::size_t> longestLagging(const StatusTally& tally, TimePoint now)
    {
        std::optional<std::size_t> chosen;
        for (std::size_t shard = 0; shard < tally.shards.size(); ++shard) {
            if (!isDue(tally, tally.shards[shard], now))
                continue;
            if (!chosen || *tally.shards[shard].dirtySince < *tally.shards[*chosen].dirtySince)
                chosen = shard;
        }
        return chosen;
    }

    // Forgets daemons without a recent report; the counts of all services change with them.
    void dropSilentDaemons(StatusTally& tally, TimePoint now)
    {
        const auto dropped = std::erase_if(tally.daemons,
            [&](const auto& entry) { return now - entry.second.reportedAt > tally.limits.reportAge; });
        if (dropped > 0)
            markAllDirty(tally, now);
    }

    StatusObject makeObject(const StatusTally& tally, std::size_t shard, TimePoint now)
    {
        StatusObject object { shard, {} };
        for (const auto& [service, known] : tally.services) {
            if (statusShardOf(service) == shard)
                object.services.push_back(*statusOf(tally, service, now));
        }
        return object;
    }

}

std::size_t statusShardOf(std::string_view service) noexcept
{
    return stableHash(service) % statusShards;
}

void noteVersion(StatusTally& tally, const AcceptedDocument& document, TimePoint now)
{
    ServiceTally& known = tally.services[document.service];
    if (document.version <= known.version)
        return;
    known = { document.version, document.deleted, now };
    markDirty(tally.shards[statusShardOf(document.service)], now);
}

void noteReport(StatusTally& tally, const InForceReport& report, std::uint64_t ownRoot, TimePoint now)
{
    const auto [entry, added] = tally.daemons.try_emplace(report.vm);
    DaemonTally& daemon = entry->second;
    const bool agrees = report.root == ownRoot;
    // The counts of all services may change when a daemon is new, comes to agree, or reads differently.
    const bool agreedBefore = daemon.agreedAt && *daemon.agreedAt == daemon.reportedAt;
    if (added || agrees != agreedBefore || report.unreadable != daemon.unreadable)
        markAllDirty(tally, now);
    daemon.reportedAt = now;
    daemon.unreadable = report.unreadable;
    if (agrees) {
        daemon.agreedAt = now;
        daemon.confirmed.clear();
        return;
    }
    for (const ServiceVersion& recent : report.recent)
        noteConfirmed(tally, daemon, recent, now);
}

std::optional<ServiceStatus> statusOf(const StatusTally& tally, std::string_view service, TimePoint now)
{
    const auto known = tally.services.find(service);
    if (known == tally.services.end())
        return std::nullopt;
    ServiceStatus status { known->first, known->second.version, known->second.deleted, 0, 0 };
    for (const auto& [vm, daemon] : tally.daemons) {
        if (now - daemon.reportedAt > tally.limits.reportAge)
            continue;
        ++status.daemons;
        if (hasInForce(daemon, service, known->second))
            ++status.inForce;
    }
    return status;
}

std::optional<StatusObject> nextStatusWrite(StatusTally& tally, TimePoint now)
{
    refill(tally, now);
    dropSilentDaemons(tally, now);
    const auto chosen = longestLagging(tally, now);
    if (!chosen || tally.tokens < 1)
        return std::nullopt;
    tally.tokens -= 1;
    ShardTally& shard = tally.shards[*chosen];
    shard.dirtySince.reset();
    shard.writtenAt = now;
    return makeObject(tally, *chosen, now);
}

void noteFailedWrite(StatusTally& tally, std::size_t shard, TimePoint now)
{
    markDirty(tally.shards[shard], now);
}

}
