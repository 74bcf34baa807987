#include "FleetState.h"

#include "flamingowick/keys/Placement.h"

namespace flamingowick::keys::bench {

namespace {

    using std::chrono::seconds;

    // Times from the end of a process to the proof of it, and to the restart of the VM.
    constexpr seconds proofDelay { 10 };
    constexpr seconds restartDelay { 20 };
    constexpr seconds leaseRenewalInterval { 3 };
    constexpr seconds replacementInterval { 15 };
    constexpr seconds handOverTime { 3 };
    constexpr seconds pauseInterval { 30 };

    Succession activateNow(const SuccessionEvidence&) noexcept { return Succession::ActNow; }

}

std::vector<std::string> liveVms(const Fleet& fleet)
{
    std::vector<std::string> live;
    for (const Node& node : fleet.nodes) {
        bool hasLeaseExpired = isLease(fleet) && node.leaseUntil <= fleet.now && !fleet.storeDown;
        if (node.alive && !hasLeaseExpired)
            live.push_back(node.state.self.vm);
    }
    return live;
}

namespace {

    // Lets the live daemons claim the ranges of a dead one.
    void claimRangesOf(Fleet& fleet, const DaemonId& dead)
    {
        std::vector<std::string> live = liveVms(fleet);
        for (const auto& [id, record] : fleet.records) {
            if (record.owner == dead && !live.empty())
                deliver(fleet, nodeIndexOf({ std::string(preferredOwner(id, live)), 0 }), ClaimWanted { id });
        }
    }

    void proveDeath(Fleet& fleet, const DaemonId& dead)
    {
        broadcast(fleet, nodeCount, DeathProven { dead });
        claimRangesOf(fleet, dead);
        if (fleet.storeDown)
            schedule(fleet, seconds(30), [&fleet, dead] { claimRangesOf(fleet, dead); });
    }

}

void start(Fleet& fleet, std::size_t index)
{
    Node& node = fleet.nodes[index];
    node = Node();
    node.alive = true;
    node.readyAt = fleet.now + readyDelay;
    node.leaseUntil = fleet.now + leaseTime;
    node.state.self = { "vm" + std::to_string(index), static_cast<Incarnation>(wallMs(fleet)) };
    if (fleet.setup.scheme == OwnershipScheme::Lease)
        node.state.policy.decideSuccession = activateNow;
    for (const auto& record : fleet.records)
        node.state.entry.views[record.first] = record.second;
}

namespace {

    void kill(Fleet& fleet, std::size_t index)
    {
        fleet.nodes[index].alive = false;
        DaemonId dead = fleet.nodes[index].state.self;
        schedule(fleet, proofDelay, [&fleet, dead] { proveDeath(fleet, dead); });
        schedule(fleet, restartDelay, [&fleet, index] { start(fleet, index); });
    }

    // Hands every range of the daemon over to the VM that the placement prefers among the others.
    void handOverAllRanges(Fleet& fleet, std::size_t index)
    {
        DaemonId self = fleet.nodes[index].state.self;
        std::vector<std::string> others = liveVms(fleet);
        std::erase(others, self.vm);
        for (const auto& [id, record] : std::map<RangeId, RangeRecord>(fleet.records)) {
            std::size_t successor = nodeIndexOf({ std::string(preferredOwner(id, others)), 0 });
            if (record.owner == self)
                deliver(fleet, index, HandOverWanted { id, fleet.nodes[successor].state.self });
        }
    }

    // Hands the ranges that the placement assigns to a new daemon over to it.
    void handOverPreferredRanges(Fleet& fleet, std::size_t index)
    {
        std::vector<std::string> live = liveVms(fleet);
        const DaemonId& self = fleet.nodes[index].state.self;
        for (const auto& [id, record] : std::map<RangeId, RangeRecord>(fleet.records)) {
            if (preferredOwner(id, live) == self.vm && record.owner != self)
                deliverTo(fleet, record.owner, HandOverWanted { id, self });
        }
    }

    void replaceNext(Fleet& fleet, std::size_t index)
    {
        if (index >= nodeCount)
            return;
        handOverAllRanges(fleet, index);
        schedule(fleet, handOverTime, [&fleet, index] {
            fleet.nodes[index].alive = false;
            DaemonId dead = fleet.nodes[index].state.self;
            schedule(fleet, proofDelay, [&fleet, dead] { proveDeath(fleet, dead); });
        });
        schedule(fleet, 2 * handOverTime, [&fleet, index] { start(fleet, index); });
        schedule(fleet, 3 * handOverTime, [&fleet, index] { handOverPreferredRanges(fleet, index); });
        schedule(fleet, replacementInterval, [&fleet, index] { replaceNext(fleet, index + 1); });
    }

    void pauseOne(Fleet& fleet)
    {
        fleet.nodes[fleet.random() % nodeCount].pauseAtNextDispatch = true;
        schedule(fleet, pauseInterval, [&fleet] { pauseOne(fleet); });
    }

    // Owners renew their leases as soon as the store is available, before expired leases are checked.
    void endOutage(Fleet& fleet)
    {
        fleet.storeDown = false;
        for (Node& node : fleet.nodes) {
            if (node.alive)
                node.leaseUntil = fleet.now + leaseTime;
        }
    }

}

void startDisturbance(Fleet& fleet)
{
    bool hasOutage = fleet.setup.disturbance == Disturbance::StoreOutage || fleet.setup.disturbance == Disturbance::StoreOutageWithDeath;
    if (hasOutage) {
        fleet.storeDown = true;
        schedule(fleet, std::chrono::hours(2), [&fleet] { endOutage(fleet); });
    }
    if (fleet.setup.disturbance == Disturbance::StoreOutageWithDeath)
        schedule(fleet, std::chrono::hours(1), [&fleet] { kill(fleet, 0); });
    if (fleet.setup.disturbance == Disturbance::KillOne || fleet.setup.disturbance == Disturbance::KillTwo)
        kill(fleet, 0);
    if (fleet.setup.disturbance == Disturbance::KillTwo)
        kill(fleet, 1);
    for (std::size_t index = 0; index < nodeCount && fleet.setup.disturbance == Disturbance::KillFailureDomain; index += failureDomains)
        kill(fleet, index);
    if (fleet.setup.disturbance == Disturbance::RollingReplacement)
        replaceNext(fleet, 0);
    if (fleet.setup.disturbance == Disturbance::Pauses)
        pauseOne(fleet);
}

void renewLeases(Fleet& fleet)
{
    for (Node& node : fleet.nodes) {
        if (!node.alive || node.pausedUntil > fleet.now)
            continue;
        countWrite(fleet);
        if (!fleet.storeDown)
            node.leaseUntil = fleet.now + leaseTime;
    }
    schedule(fleet, leaseRenewalInterval, [&fleet] { renewLeases(fleet); });
}

// Expired leases are modelled as proof of the owner's end, as if each daemon had read them from the store.
void expireLeases(Fleet& fleet)
{
    for (const Node& node : fleet.nodes) {
        if (node.leaseUntil <= fleet.now && !fleet.storeDown && !node.state.self.vm.empty()) {
            DaemonId owner = node.state.self;
            for (std::size_t to = 0; to < nodeCount; ++to) {
                if (to != nodeIndexOf(owner))
                    deliver(fleet, to, DeathProven { owner });
            }
            claimRangesOf(fleet, owner);
        }
    }
    schedule(fleet, seconds(1), [&fleet] { expireLeases(fleet); });
}

}
