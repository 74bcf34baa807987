#include "flamingowick/membership/Membership.h"

#include "flamingowick/model/Invariant.h"
#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <bit>

namespace flamingowick::membership {

namespace {

    bool countsAsAlive(Status status) noexcept { return status == Status::Alive || status == Status::Suspect; }

    // One call of handle().
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

    void spread(State& state, const Update& update)
    {
        state.rumours.insert_or_assign(update.member.id.vm, Rumour { update, 0 });
    }

    unsigned retransmits(const State& state)
    {
        auto bits = static_cast<unsigned>(std::bit_width(state.members.size() + 1));
        return state.limits.retransmitFactor * std::max(1U, bits);
    }

    // Returns the updates for one message: the own report first, then the least often sent ones.
    std::vector<Update> takeUpdates(State& state)
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
        unsigned limit = retransmits(state);
        std::erase_if(state.rumours, [&](const auto& item) { return item.second.sent >= limit; });
        return updates;
    }

    // As takeUpdates(); a suspect is always told, so that it can refute.
    std::vector<Update> updatesFor(State& state, std::string_view vm)
    {
        std::vector<Update> updates = takeUpdates(state);
        auto known = state.members.find(vm);
        if (known != state.members.end() && known->second.update.status == Status::Suspect)
            updates.push_back(known->second.update);
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

    void reportChange(Step& step, const Update* held, const Update& taken)
    {
        bool wasAlive = held != nullptr && countsAsAlive(held->status);
        bool isSameLife = held != nullptr && held->member.id == taken.member.id;
        if (held != nullptr && !isSameLife) {
            if (wasAlive)
                step.actions.emplace_back(Lost { held->member });
            step.actions.emplace_back(Restarted { held->member });
            wasAlive = false;
        }
        bool isAliveNow = countsAsAlive(taken.status);
        if (isAliveNow && !wasAlive)
            step.actions.emplace_back(Joined { taken.member });
        if (!isAliveNow && wasAlive)
            step.actions.emplace_back(Lost { taken.member, taken.status == Status::Left });
        if (taken.status == Status::Left)
            step.actions.emplace_back(HasLeft { taken.member });
    }

    // Returns the members that count as alive, this daemon left out.
    std::vector<const Update*> aliveOthers(const State& state)
    {
        std::vector<const Update*> alive;
        for (const auto& [vm, record] : state.members) {
            if (countsAsAlive(record.update.status))
                alive.push_back(&record.update);
        }
        return alive;
    }

    // Sends the own report to a few members at once, ahead of the next probes.
    void tellSome(Step& step)
    {
        State& state = step.state;
        std::vector<const Update*> others = aliveOthers(state);
        for (unsigned count = 0; count < state.limits.indirectPings && !others.empty(); ++count) {
            std::size_t chosen = nextRandom(state) % others.size();
            sendTo(step, others[chosen]->member, Ping { ++state.sequence, {}, takeUpdates(state) });
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }

    // Raises the own version above that of a report that says less than alive.
    void refute(Step& step, const Update& report)
    {
        State& state = step.state;
        bool isOfThisLife = report.member.id == state.own.member.id;
        if (!isOfThisLife || report.status == Status::Alive || state.leaving)
            return;
        if (state.policy.mustRefute != nullptr && !state.policy.mustRefute(state.own, report))
            return;
        if (report.version < state.own.version)
            return;
        state.own.version = report.version + 1;
        state.localHealth = std::min(state.localHealth + 1, state.limits.maxLocalHealth);
        spread(state, state.own);
        tellSome(step);
    }

    void take(Step& step, const Update& offered)
    {
        State& state = step.state;
        const std::string& vm = offered.member.id.vm;
        if (vm == state.own.member.id.vm) {
            refute(step, offered);
            return;
        }
        auto known = state.members.find(vm);
        if (known == state.members.end()) {
            // A member that is only known to be gone is not taken in anew.
            if (!countsAsAlive(offered.status))
                return;
            reportChange(step, nullptr, offered);
            state.members.emplace(vm, Record { offered, step.now, {} });
            spread(state, offered);
            return;
        }
        Record& record = known->second;
        bool isSameSuspicion = offered.status == Status::Suspect && record.update.status == Status::Suspect
            && offered.member.id == record.update.member.id && offered.version == record.update.version;
        if (isSameSuspicion && record.accusers.insert(offered.accuser).second)
            spread(state, offered);
        if (!state.policy.supersedes(record.update, offered))
            return;
        checkInvariant(offered.member.id.incarnation >= record.update.member.id.incarnation, Invariant::MembershipMonotonic,
            "a member would go back to an earlier incarnation");
        reportChange(step, &record.update, offered);
        record = Record { offered, step.now, { offered.accuser } };
        spread(state, offered);
    }

    void takeAll(Step& step, const std::vector<Update>& updates)
    {
        for (const Update& update : updates)
            take(step, update);
    }

    Duration stretched(const State& state, Duration base) { return base * (1 + state.localHealth); }

    void startProbe(Step& step, const MemberInfo& member)
    {
        State& state = step.state;
        state.probe = Probe { ++state.sequence, member.id.vm, step.now, false };
        sendTo(step, member, Ping { state.probe->sequence, {}, updatesFor(state, member.id.vm) });
    }

    // Probes each member once in a random order before any is probed again.
    void probeNext(Step& step)
    {
        State& state = step.state;
        while (!state.probeOrder.empty()) {
            std::string vm = std::move(state.probeOrder.back());
            state.probeOrder.pop_back();
            auto known = state.members.find(vm);
            if (known == state.members.end() || !countsAsAlive(known->second.update.status))
                continue;
            startProbe(step, known->second.update.member);
            return;
        }
        for (const Update* update : aliveOthers(state))
            state.probeOrder.push_back(update->member.id.vm);
        for (std::size_t index = state.probeOrder.size(); index > 1; --index)
            std::swap(state.probeOrder[index - 1], state.probeOrder[nextRandom(state) % index]);
        if (!state.probeOrder.empty())
            probeNext(step);
    }

    void probeIndirectly(Step& step, const Probe& probe)
    {
        State& state = step.state;
        std::vector<const Update*> others = aliveOthers(state);
        std::erase_if(others, [&](const Update* update) { return update->member.id.vm == probe.vm; });
        for (unsigned count = 0; count < state.limits.indirectPings && !others.empty(); ++count) {
            std::size_t chosen = nextRandom(state) % others.size();
            sendTo(step, others[chosen]->member, PingRequest { probe.sequence, probe.vm, takeUpdates(state) });
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }

    void suspect(Step& step, const std::string& vm)
    {
        auto known = step.state.members.find(vm);
        if (known == step.state.members.end() || !countsAsAlive(known->second.update.status))
            return;
        Update suspicion = known->second.update;
        suspicion.status = Status::Suspect;
        suspicion.accuser = step.state.own.member.id.vm;
        take(step, suspicion);
    }

    void checkProbe(Step& step)
    {
        State& state = step.state;
        if (!state.probe)
            return;
        Duration waited = step.now - state.probe->startedAt;
        if (!state.probe->indirect && waited >= stretched(state, state.timing.pingTimeout)) {
            state.probe->indirect = true;
            probeIndirectly(step, *state.probe);
        }
        if (waited < stretched(state, state.timing.pingTimeout + state.timing.indirectTimeout))
            return;
        std::string vm = state.probe->vm;
        state.probe.reset();
        state.localHealth = std::min(state.localHealth + 1, state.limits.maxLocalHealth);
        suspect(step, vm);
    }

    Duration suspicionTime(const State& state, const Record& record)
    {
        // The first accuser raised the suspicion; only others confirm it.
        auto confirmed = std::min<std::size_t>(record.accusers.size() - 1, state.limits.confirmations);
        Duration spare = state.timing.suspicionMax - state.timing.suspicionMin;
        return state.timing.suspicionMax - spare * confirmed / state.limits.confirmations;
    }

    void checkSuspects(Step& step)
    {
        std::vector<Update> due;
        for (const auto& [vm, record] : step.state.members) {
            bool isDue = record.update.status == Status::Suspect && step.now - record.since >= suspicionTime(step.state, record);
            if (isDue)
                due.push_back(record.update);
        }
        for (Update& update : due) {
            update.status = Status::Unreachable;
            update.accuser.clear();
            take(step, update);
        }
    }

    void forgetOld(Step& step)
    {
        std::erase_if(step.state.members, [&](const auto& item) {
            return !countsAsAlive(item.second.update.status) && step.now - item.second.since > step.state.timing.memory;
        });
        std::erase_if(step.state.relays, [&](const auto& item) {
            return step.now - item.second.startedAt > step.state.timing.period * 4;
        });
    }

    // While this daemon was paused it could not hear answers or refutations.
    void excusePause(Step& step)
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

    void join(Step& step)
    {
        State& state = step.state;
        bool isAlone = aliveOthers(state).empty();
        if (!isAlone || step.now < state.nextJoin)
            return;
        state.nextJoin = step.now + state.timing.joinPeriod;
        for (const std::string& seed : state.seeds)
            step.actions.emplace_back(Send { seed, 0, Sync { false, allUpdates(state) } });
    }

    void syncWithOne(Step& step)
    {
        State& state = step.state;
        if (step.now < state.nextSync)
            return;
        state.nextSync = step.now + state.syncInterval;
        state.syncInterval = std::min(state.syncInterval * 2, state.timing.syncPeriod);
        // A seed is asked too: after a cut longer than the memory the halves know no one else.
        if (!state.seeds.empty())
            step.actions.emplace_back(Send { state.seeds[nextRandom(state) % state.seeds.size()], 0, Sync { false, allUpdates(state) } });
        if (state.members.empty())
            return;
        // Those that are out of reach are asked as well, which ends a cut early.
        auto chosen = std::next(state.members.begin(), static_cast<std::ptrdiff_t>(nextRandom(state) % state.members.size()));
        if (chosen->second.update.status != Status::Left)
            step.actions.emplace_back(Send { chosen->second.update.member.address, 0, Sync { false, allUpdates(state) } });
    }

    void apply(Step& step, const Tick&)
    {
        State& state = step.state;
        excusePause(step);
        state.lastTick = step.now;
        if (state.leaving)
            return;
        checkProbe(step);
        checkSuspects(step);
        join(step);
        syncWithOne(step);
        if (step.now < state.nextProbe)
            return;
        state.nextProbe = step.now + state.timing.period;
        forgetOld(step);
        if (!state.probe)
            probeNext(step);
    }

    void receive(Step& step, const MemberInfo& from, const Ping& message)
    {
        takeAll(step, message.updates);
        sendTo(step, from, Ack { message.sequence, message.onBehalfOf, takeUpdates(step.state) });
    }

    void receive(Step& step, const MemberInfo&, const Ack& message)
    {
        State& state = step.state;
        takeAll(step, message.updates);
        auto relay = state.relays.find(message.sequence);
        if (relay != state.relays.end()) {
            auto asker = state.members.find(relay->second.forVm);
            if (asker != state.members.end())
                sendTo(step, asker->second.update.member, Ack { relay->second.theirSequence, relay->second.forVm, message.updates });
            state.relays.erase(relay);
        }
        if (!state.probe || state.probe->sequence != message.sequence)
            return;
        state.probe.reset();
        if (state.localHealth > 0)
            --state.localHealth;
    }

    void receive(Step& step, const MemberInfo& from, const PingRequest& message)
    {
        State& state = step.state;
        takeAll(step, message.updates);
        auto target = state.members.find(message.targetVm);
        if (target == state.members.end())
            return;
        std::uint64_t sequence = ++state.sequence;
        state.relays.emplace(sequence, Relay { message.sequence, from.id.vm, step.now });
        sendTo(step, target->second.update.member, Ping { sequence, from.id.vm, updatesFor(state, message.targetVm) });
    }

    void receive(Step& step, const MemberInfo& from, const Sync& message)
    {
        takeAll(step, message.members);
        if (!message.reply)
            sendTo(step, from, Sync { true, allUpdates(step.state) });
    }

    void apply(Step& step, const MessageReceived& event)
    {
        if (event.from.id.vm == step.state.own.member.id.vm)
            return;
        std::visit([&](const auto& message) { receive(step, event.from, message); }, event.message);
    }

    void apply(Step& step, const LinkLost& event)
    {
        for (const Update* update : aliveOthers(step.state)) {
            if (update->member.address != event.address || step.state.leaving)
                continue;
            startProbe(step, update->member);
            return;
        }
    }

    void apply(Step& step, const Leave&)
    {
        State& state = step.state;
        state.leaving = true;
        state.own.status = Status::Left;
        for (const Update* update : aliveOthers(state))
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
    std::visit([&](const auto& each) { apply(step, each); }, event);
    return std::move(step.actions);
}

bool isAlive(const State& state, std::string_view vm) noexcept
{
    if (vm == state.own.member.id.vm)
        return true;
    auto known = state.members.find(vm);
    return known != state.members.end() && countsAsAlive(known->second.update.status);
}

std::size_t aliveCount(const State& state) noexcept
{
    std::size_t count = 1;
    for (const auto& [vm, record] : state.members)
        count += countsAsAlive(record.update.status) ? 1 : 0;
    return count;
}

}
