#include "flamingowick/dispatch/Slots.h"

#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::dispatch {

namespace {

    // How long a leaving report is kept for an address that no list has contained yet.
    constexpr Duration earlyLeavingRetention = std::chrono::minutes(10);
    constexpr std::size_t maxEarlyLeaving = 1024;

    void resetForNewIncarnation(TargetState& state, TimePoint now)
    {
        ++state.life;
        state.leaving = false;
        state.listOutdated = false;
        state.ejected = false;
        state.trialShare = 0;
        state.trialCredit = 0;
        state.warmingSince = now;
    }

    void applyListedTarget(TargetTable& table, const Target& target, TimePoint now)
    {
        auto [found, added] = table.byAddress.try_emplace(target.address);
        TargetState& state = found->second;
        if (!state.listed)
            resetForNewIncarnation(state, now);
        if (!table.listSeen)
            state.warmingSince.reset();
        state.listed = true;
        state.failureDomain = target.failureDomain;
        state.listLeaving = target.leaving;
        state.listOutdated = state.listOutdated && target.leaving;
        bool reportedEarly = table.earlyLeaving.erase(target.address) > 0;
        bool listedLeaving = target.leaving && !state.listOutdated;
        state.leaving = state.leaving || listedLeaving || reportedEarly;
    }

    void markUnlistedTargets(TargetTable& table, std::span<const Target> targets)
    {
        std::vector<std::string_view> listedAddresses;
        listedAddresses.reserve(targets.size());
        for (const Target& target : targets)
            listedAddresses.push_back(target.address);
        std::sort(listedAddresses.begin(), listedAddresses.end());
        for (auto& [address, state] : table.byAddress)
            state.listed = std::binary_search(listedAddresses.begin(), listedAddresses.end(), std::string_view(address));
        std::erase_if(table.byAddress, [](const auto& entry) { return !entry.second.listed && entry.second.inFlight == 0; });
    }

    void recordEarlyLeaving(TargetTable& table, const TargetAddress& address, TimePoint now)
    {
        std::erase_if(table.earlyLeaving, [&](const auto& entry) { return now - entry.second > earlyLeavingRetention; });
        if (table.earlyLeaving.size() < maxEarlyLeaving)
            table.earlyLeaving[address] = now;
    }

}

unsigned usableSlots(const TargetLimits& limits, const TargetState& state, TimePoint now) noexcept
{
    unsigned slots = std::min(limits.slots, limits.connections);
    if (state.ejected)
        return state.trialShare > 0 ? std::min(slots, 1U) : 0;
    if (!state.warmingSince || limits.warmUp <= Duration::zero())
        return slots;
    double warmUpProgress = static_cast<double>((now - *state.warmingSince).count()) / static_cast<double>(limits.warmUp.count());
    auto warmUpSlots = static_cast<unsigned>(std::clamp(warmUpProgress, 0.0, 1.0) * slots);
    return std::clamp(warmUpSlots, std::min(slots, 1U), slots);
}

bool takesNewWork(const TargetState& state) noexcept
{
    return state.listed && !state.leaving;
}

unsigned totalSlots(const TargetTable& table, const TargetLimits& limits, TimePoint now) noexcept
{
    unsigned total = 0;
    for (const auto& [address, state] : table.byAddress) {
        if (takesNewWork(state))
            total += usableSlots(limits, state, now);
    }
    return total;
}

void applyList(TargetTable& table, const TargetsChanged& list, TimePoint now)
{
    if (list.version != 0 && list.version < table.listVersion)
        return;
    table.listVersion = std::max(table.listVersion, list.version);
    for (const Target& target : list.targets)
        applyListedTarget(table, target, now);
    markUnlistedTargets(table, list.targets);
    table.listSeen = true;
}

void applyLeaving(TargetTable& table, const TargetLeaving& event, TimePoint now)
{
    auto found = table.byAddress.find(event.address);
    if (found == table.byAddress.end()) {
        recordEarlyLeaving(table, event.address, now);
        return;
    }
    TargetState& state = found->second;
    if (event.start != 0 && event.start < state.start)
        return;
    state.start = std::max(state.start, event.start);
    state.leaving = true;
}

void applyStart(TargetTable& table, const TargetStarted& event, TimePoint now)
{
    auto found = table.byAddress.find(event.address);
    if (found == table.byAddress.end() || event.start <= found->second.start)
        return;
    found->second.start = event.start;
    resetForNewIncarnation(found->second, now);
    found->second.listOutdated = found->second.listLeaving;
}

void applyHealth(TargetTable& table, const TargetHealth& health, TimePoint now)
{
    auto found = table.byAddress.find(health.address);
    if (found == table.byAddress.end())
        return;
    TargetState& state = found->second;
    if (state.ejected && !health.ejected)
        state.warmingSince = now;
    state.ejected = health.ejected;
    state.trialShare = health.ejected ? health.trialShare : 0;
    state.trialCredit = state.trialShare > 0 ? state.trialCredit : 0;
}

void occupySlot(TargetTable& table, std::string_view address, const TargetLimits& limits, TimePoint now)
{
    auto found = table.byAddress.find(address);
    checkInvariant(found != table.byAddress.end(), Invariant::SlotLimit, "an attempt starts at an unknown target");
    TargetState& state = found->second;
    checkInvariant(takesNewWork(state), Invariant::NoWorkForLeaving, "an attempt starts at a leaving target");
    bool free = state.inFlight < usableSlots(limits, state, now);
    checkInvariant(free, Invariant::SlotLimit, "an attempt starts at a target without a free slot");
    ++state.inFlight;
    if (state.ejected)
        state.trialCredit = 0;
}

void releaseSlot(TargetTable& table, std::string_view address)
{
    auto found = table.byAddress.find(address);
    bool inUse = found != table.byAddress.end() && found->second.inFlight > 0;
    checkInvariant(inUse, Invariant::SlotLimit, "an attempt ends at a target without attempts in flight");
    --found->second.inFlight;
    if (found->second.inFlight == 0 && !found->second.listed)
        table.byAddress.erase(found);
}

void creditTrials(TargetTable& table) noexcept
{
    for (auto& [address, state] : table.byAddress) {
        if (state.ejected)
            state.trialCredit = std::min(1.0, state.trialCredit + state.trialShare);
    }
}

}
