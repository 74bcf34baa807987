#include "flamingowick/membership/Membership.h"

#include "flamingowick/model/Invariant.h"
#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <bit>

namespace flamingowick::membership {

namespace {

    bool countsAsAlive(Status status) noexcept { return status == Status::Alive || status == Status::Suspect; }

    // The context of one call of handle().
    struct Step {
        State& state;
        TimePoint now;
        std::vector<Action> actions;
    };

    std::uint64_t nextRandom(State& state) noexcept
    {
        state.random = combineHashes(state.random, 1);
        return state.random;
    }

    void enqueueUpdate(State& state, const Update& update)
    {
        state.rumours.insert_or_assign(update.member.id.vm, Rumour { update, 0 });
    }

    unsigned retransmitLimit(const State& state)
    {
        auto bits = static_cast<unsigned>(std::bit_width(state.members.size() + 1));
        return state.limits.retransmitFactor * std::max(1U, bits);
    }

    // Returns the updates for one message: the report on this daemon first, then the pending updates that were sent
    // least often. Counts them as sent, and drops those that have reached the retransmit limit.
    std::vector<Update> selectUpdates(State& state)
    {
        std::vector<Update> updates { state.own };
        std::vector<Rumour*> candidates;
        for (auto& [vm, rumour] : state.rumours)
            candidates.push_back(&rumour);
        std::size_t count = std::min(candidates.size(), state.limits.updatesPerMessage);
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
            [](const Rumour* left, const Rumour* right) { return left->sent < right->sent; });
        for (std::size_t index = 0; index < count; ++index) {
            updates.push_back(candidates[index]->update);
            ++candidates[index]->sent;
        }
        unsigned limit = retransmitLimit(state);
        std::erase_if(state.rumours, [&](const auto& item) { return item.second.sent >= limit; });
        return updates;
    }

    // As selectUpdates(). A suspected receiver always gets the report of its suspicion, so that it can refute it.
    std::vector<Update> selectUpdatesFor(State& state, std::string_view vm)
    {
        std::vector<Update> updates = selectUpdates(state);
        auto found = state.members.find(vm);
        if (found != state.members.end() && found->second.update.status == Status::Suspect)
            updates.push_back(found->second.update);
        return updates;
    }

    std::vector<Update> allUpdates(const State& state)
    {
        std::vector<Update> updates { state.own };
        for (const auto& [vm, record] : state.members)
            updates.push_back(record.update);
        return updates;
    }

    void sendTo(Step& step, const MemberInfo& member, Message message)
    {
        step.actions.emplace_back(Send { member.address, member.id.incarnation, std::move(message) });
    }

    void reportChange(Step& step, const Update* previous, const Update& applied)
    {
        bool wasAlive = previous != nullptr && countsAsAlive(previous->status);
        bool isSameIncarnation = previous != nullptr && previous->member.id == applied.member.id;
        if (previous != nullptr && !isSameIncarnation) {
            if (wasAlive)
                step.actions.emplace_back(Lost { previous->member });
            step.actions.emplace_back(Restarted { previous->member });
            wasAlive = false;
        }
        bool isAliveNow = countsAsAlive(applied.status);
        if (isAliveNow && !wasAlive)
            step.actions.emplace_back(Joined { applied.member });
        if (!isAliveNow && wasAlive)
            step.actions.emplace_back(Lost { applied.member, applied.status == Status::Left });
        if (applied.status == Status::Left)
            step.actions.emplace_back(HasLeft { applied.member });
    }

    // Returns the members that count as alive, without this daemon.
    std::vector<const Update*> alivePeers(const State& state)
    {
        std::vector<const Update*> alive;
        for (const auto& [vm, record] : state.members) {
            if (countsAsAlive(record.update.status))
                alive.push_back(&record.update);
        }
        return alive;
    }

    // Sends the report on this daemon to a few random members immediately, without waiting for the next probes.
    void notifyRandomMembers(Step& step)
    {
        State& state = step.state;
        std::vector<const Update*> peers = alivePeers(state);
        for (unsigned count = 0; count < state.limits.indirectPings && !peers.empty(); ++count) {
            std::size_t chosen = nextRandom(state) % peers.size();
            sendTo(step, peers[chosen]->member, Ping { ++state.sequence, {}, selectUpdates(state) });
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }

    // Refutes a report that this incarnation is not alive: raises the version of the report on this daemon above it,
    // so that the new report supersedes it.
    void refute(Step& step, const Update& report)
    {
        State& state = step.state;
        bool isThisIncarnation = report.member.id == state.own.member.id;
        if (!isThisIncarnation || report.status == Status::Alive || state.leaving)
            return;
        if (state.policy.mustRefute != nullptr && !state.policy.mustRefute(state.own, report))
            return;
        if (report.version < state.own.version)
            return;
        state.own.version = report.version + 1;
        state.localHealth = std::min(state.localHealth + 1, state.limits.maxLocalHealth);
        enqueueUpdate(state, state.own);
        notifyRandomMembers(step);
    }

    void applyUpdate(Step& step, const Update& candidate)
    {
        State& state = step.state;
        const std::string& vm = candidate.member.id.vm;
        if (vm == state.own.member.id.vm) {
            refute(step, candidate);
            return;
        }
        auto found = state.members.find(vm);
        if (found == state.members.end()) {
            // No record is created for an unknown member that is unreachable or has left.
            if (!countsAsAlive(candidate.status))
                return;
            reportChange(step, nullptr, candidate);
            state.members.emplace(vm, Record { candidate, step.now, {} });
            enqueueUpdate(state, candidate);
            return;
        }
        Record& record = found->second;
        bool isSameSuspicion = candidate.status == Status::Suspect && record.update.status == Status::Suspect
            && candidate.member.id == record.update.member.id && candidate.version == record.update.version;
        if (isSameSuspicion && record.accusers.insert(candidate.accuser).second)
            enqueueUpdate(state, candidate);
        if (!state.policy.supersedes(record.update, candidate))
            return;
        checkInvariant(candidate.member.id.incarnation >= record.update.member.id.incarnation, Invariant::MembershipMonotonic,
            "a member would go back to an earlier incarnation");
        reportChange(step, &record.update, candidate);
        record = Record { candidate, step.now, { candidate.accuser } };
        enqueueUpdate(state, candidate);
    }

    void applyUpdates(Step& step, const std::vector<Update>& updates)
    {
        for (const Update& update : updates)
            applyUpdate(step, update);
    }

    Duration scaleByLocalHealth(const State& state, Duration base) { return base * (1 + state.localHealth); }

    void startProbe(Step& step, const MemberInfo& member)
    {
        State& state = step.state;
        state.probe = Probe { ++state.sequence, member.id.vm, step.now, false };
        sendTo(step, member, Ping { state.probe->sequence, {}, selectUpdatesFor(state, member.id.vm) });
    }

    // Probes the next member. Each member is probed once, in random order, before any is probed again.
    void probeNext(Step& step)
    {
        State& state = step.state;
        while (!state.probeOrder.empty()) {
            std::string vm = std::move(state.probeOrder.back());
            state.probeOrder.pop_back();
            auto found = state.members.find(vm);
            if (found == state.members.end() || !countsAsAlive(found->second.update.status))
                continue;
            startProbe(step, found->second.update.member);
            return;
        }
        for (const Update* update : alivePeers(state))
            state.probeOrder.push_back(update->member.id.vm);
        for (std::size_t index = state.probeOrder.size(); index > 1; --index)
            std::swap(state.probeOrder[index - 1], state.probeOrder[nextRandom(state) % index]);
        if (!state.probeOrder.empty())
            probeNext(step);
    }

    void probeIndirectly(Step& step, const Probe& probe)
    {
        State& state = step.state;
        std::vector<const Update*> peers = alivePeers(state);
        std::erase_if(peers, [&](const Update* update) { return update->member.id.vm == probe.vm; });
        for (unsigned count = 0; count < state.limits.indirectPings && !peers.empty(); ++count) {
            std::size_t chosen = nextRandom(state) % peers.size();
            sendTo(step, peers[chosen]->member, PingRequest { probe.sequence, probe.vm, selectUpdates(state) });
            peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }

    void suspectMember(Step& step, const std::string& vm)
    {
        auto found = step.state.members.find(vm);
        if (found == step.state.members.end() || !countsAsAlive(found->second.update.status))
            return;
        Update suspicion = found->second.update;
        suspicion.status = Status::Suspect;
        suspicion.accuser = step.state.own.member.id.vm;
        applyUpdate(step, suspicion);
    }

    void checkProbe(Step& step)
    {
        State& state = step.state;
        if (!state.probe)
            return;
        Duration elapsed = step.now - state.probe->startedAt;
        if (!state.probe->indirect && elapsed >= scaleByLocalHealth(state, state.timing.pingTimeout)) {
            state.probe->indirect = true;
            probeIndirectly(step, *state.probe);
        }
        if (elapsed < scaleByLocalHealth(state, state.timing.pingTimeout + state.timing.indirectTimeout))
            return;
        std::string vm = state.probe->vm;
        state.probe.reset();
        state.localHealth = std::min(state.localHealth + 1, state.limits.maxLocalHealth);
        suspectMember(step, vm);
    }

    Duration suspicionTimeout(const State& state, const Record& record)
    {
        // The first accuser raised the suspicion; only further accusers confirm it.
        auto confirmed = std::min<std::size_t>(record.accusers.size() - 1, state.limits.confirmations);
        Duration range = state.timing.suspicionMax - state.timing.suspicionMin;
        return state.timing.suspicionMax - range * confirmed / state.limits.confirmations;
    }

    void expireSuspicions(Step& step)
    {
        std::vector<Update> expired;
        for (const auto& [vm, record] : step.state.members) {
            bool hasExpired = record.update.status == Status::Suspect && step.now - record.since >= suspicionTimeout(step.state, record);
            if (hasExpired)
                expired.push_back(record.update);
        }
        for (Update& update : expired) {
            update.status = Status::Unreachable;
            update.accuser.clear();
            applyUpdate(step, update);
        }
    }

    void removeExpiredRecords(Step& step)
    {
        std::erase_if(step.state.members, [&](const auto& item) {
            return !countsAsAlive(item.second.update.status) && step.now - item.second.since > step.state.timing.memory;
        });
        std::erase_if(step.state.relays, [&](const auto& item) {
            return step.now - item.second.startedAt > step.state.timing.period * 4;
        });
    }

    // A daemon that was paused could not receive answers or refutations. Cancels the probe, raises the probe timeouts
    // to their maximum and restarts the suspicion timeouts, so that no member is reported as lost because of the
    // pause.
    void resetAfterPause(Step& step)
    {
        State& state = step.state;
        if (step.now - state.lastTick <= state.timing.pauseLimit)
            return;
        state.probe.reset();
        state.localHealth = state.limits.maxLocalHealth;
        for (auto& [vm, record] : state.members) {
            if (record.update.status == Status::Suspect)
                record.since = step.now;
        }
    }

    void joinThroughSeeds(Step& step)
    {
        State& state = step.state;
        bool hasNoAlivePeers = alivePeers(state).empty();
        if (!hasNoAlivePeers || step.now < state.nextJoin)
            return;
        state.nextJoin = step.now + state.timing.joinPeriod;
        for (const std::string& seed : state.seeds)
            step.actions.emplace_back(Send { seed, 0, Sync { false, allUpdates(state) } });
    }

    void syncWithRandomMembers(Step& step)
    {
        State& state = step.state;
        if (step.now < state.nextSync)
            return;
        state.nextSync = step.now + state.syncInterval;
        state.syncInterval = std::min(state.syncInterval * 2, state.timing.syncPeriod);
        // Syncs with a seed as well: after a partition longer than the record retention, the two sides have no
        // records of each other and could not reconnect otherwise.
        if (!state.seeds.empty())
            step.actions.emplace_back(Send { state.seeds[nextRandom(state) % state.seeds.size()], 0, Sync { false, allUpdates(state) } });
        if (state.members.empty())
            return;
        // Unreachable members are chosen as well, so that the two sides of a partition reconnect soon after it ends.
        auto chosen = std::next(state.members.begin(), static_cast<std::ptrdiff_t>(nextRandom(state) % state.members.size()));
        if (chosen->second.update.status != Status::Left)
            step.actions.emplace_back(Send { chosen->second.update.member.address, 0, Sync { false, allUpdates(state) } });
    }

    void handleEvent(Step& step, const Tick&)
    {
        State& state = step.state;
        resetAfterPause(step);
        state.lastTick = step.now;
        if (state.leaving)
            return;
        checkProbe(step);
        expireSuspicions(step);
        joinThroughSeeds(step);
        syncWithRandomMembers(step);
        if (step.now < state.nextProbe)
            return;
        state.nextProbe = step.now + state.timing.period;
        removeExpiredRecords(step);
        if (!state.probe)
            probeNext(step);
    }

    void handleMessage(Step& step, const MemberInfo& from, const Ping& message)
    {
        applyUpdates(step, message.updates);
        sendTo(step, from, Ack { message.sequence, message.onBehalfOf, selectUpdates(step.state) });
    }

    void handleMessage(Step& step, const MemberInfo&, const Ack& message)
    {
        State& state = step.state;
        applyUpdates(step, message.updates);
        auto ping = state.relays.find(message.sequence);
        if (ping != state.relays.end()) {
            auto requester = state.members.find(ping->second.forVm);
            if (requester != state.members.end())
                sendTo(step, requester->second.update.member, Ack { ping->second.theirSequence, ping->second.forVm, message.updates });
            state.relays.erase(ping);
        }
        if (!state.probe || state.probe->sequence != message.sequence)
            return;
        state.probe.reset();
        if (state.localHealth > 0)
            --state.localHealth;
    }

    void handleMessage(Step& step, const MemberInfo& from, const PingRequest& message)
    {
        State& state = step.state;
        applyUpdates(step, message.updates);
        auto target = state.members.find(message.targetVm);
        if (target == state.members.end())
            return;
        std::uint64_t sequence = ++state.sequence;
        state.relays.emplace(sequence, Relay { message.sequence, from.id.vm, step.now });
        sendTo(step, target->second.update.member, Ping { sequence, from.id.vm, selectUpdatesFor(state, message.targetVm) });
    }

    void handleMessage(Step& step, const MemberInfo& from, const Sync& message)
    {
        applyUpdates(step, message.members);
        if (!message.reply)
            sendTo(step, from, Sync { true, allUpdates(step.state) });
    }

    void handleEvent(Step& step, const MessageReceived& event)
    {
        if (event.from.id.vm == step.state.own.member.id.vm)
            return;
        std::visit([&](const auto& message) { handleMessage(step, event.from, message); }, event.message);
    }

    void handleEvent(Step& step, const LinkLost& event)
    {
        for (const Update* update : alivePeers(step.state)) {
            if (update->member.address != event.address || step.state.leaving)
                continue;
            startProbe(step, update->member);
            return;
        }
    }

    void handleEvent(Step& step, const Leave&)
    {
        State& state = step.state;
        state.leaving = true;
        state.own.status = Status::Left;
        for (const Update* update : alivePeers(state))
            sendTo(step, update->member, Ping { ++state.sequence, {}, { state.own } });
    }

}

State makeState(const MemberInfo& self, std::vector<std::string> seeds, std::uint64_t seed, TimePoint now)
{
    State state;
    state.own = { self, Status::Alive, 0, {} };
    std::erase(seeds, self.address);
    state.seeds = std::move(seeds);
    state.random = seed;
    state.nextProbe = now;
    state.syncInterval = state.timing.firstSync;
    state.nextSync = now + state.syncInterval;
    state.nextJoin = now;
    state.lastTick = now;
    return state;
}

std::vector<Action> handle(State& state, const Event& event, TimePoint now)
{
    Step step { state, now, {} };
    std::visit([&](const auto& each) { handleEvent(step, each); }, event);
    return std::move(step.actions);
}

bool isAlive(const State& state, std::string_view vm) noexcept
{
    if (vm == state.own.member.id.vm)
        return true;
    auto found = state.members.find(vm);
    return found != state.members.end() && countsAsAlive(found->second.update.status);
}

std::size_t aliveCount(const State& state) noexcept
{
    std::size_t count = 1;
    for (const auto& [vm, record] : state.members)
        count += countsAsAlive(record.update.status) ? 1 : 0;
    return count;
}

}
