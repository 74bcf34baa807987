#include "flamingowick/dispatch/Slots.h"

#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::dispatch {

namespace {

    constexpr Duration earlyLeavingKept = std::chrono::minutes(10);
    constexpr std::size_t maxEarlyLeaving = 1024;

    void makeFresh(TargetState& state, TimePoint now)
    {
        ++state.life;
        state.leaving = false;
        state.listOutdated = false;
        state.ejected = false;
        state.trialShare = 0;
        state.trialCredit = 0;
        state.warmingSince = now;
    }

    void show(TargetTable& table, const Target& target, TimePoint now)
    {
        auto [place, added] = table.byAddress.try_emplace(target.address);
        TargetState& state = place->second;
        if (!state.listed)
            makeFresh(state, now);
        if (!table.listSeen)
            state.warmingSince.reset();
        state.listed = true;
        state.failureDomain = target.failureDomain;
        state.listLeaving = target.leaving;
        state.listOutdated = state.listOutdated && target.leaving;
        bool foretold = table.earlyLeaving.erase(target.address) > 0;
        bool listedLeaving = target.leaving && !state.listOutdated;
        state.leaving = state.leaving || listedLeaving || foretold;
    }

    void hideMissing(TargetTable& table, std::span<const Target> targets)
    {
        std::vector<std::string_view> shown;
        shown.reserve(targets.size());
        for (const Target& target : targets)
            shown.push_back(target.address);
        std::sort(shown.begin(), shown.end());
        for (auto& [address, state] : table.byAddress)
            state.listed = std::binary_search(shown.begin(), shown.end(), std::string_view(address));
        std::erase_if(table.byAddress, [](const auto& entry) { return !entry.second.listed && entry.second.inFlight == 0; });
    }

    void rememberEarly(TargetTable& table, const TargetAddress& address, TimePoint now)
    {
        std::erase_if(table.earlyLeaving, [&](const auto& entry) { return now - entry.second > earlyLeavingKept; });
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
    double warmed = static_cast<double>((now - *state.warmingSince).count()) / static_cast<double>(limits.warmUp.count());
    auto ramped = static_cast<unsigned>(std::clamp(warmed, 0.0, 1.0) * slots);
    return std::clamp(ramped, std::min(slots, 1U), slots);
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
        show(table, target, now);
    hideMissing(table, list.targets);
    table.listSeen = true;
}

void applyLeaving(TargetTable& table, const TargetLeaving& word, TimePoint now)
{
    auto place = table.byAddress.find(word.address);
    if (place == table.byAddress.end()) {
        rememberEarly(table, word.address, now);
        return;
    }
    TargetState& state = place->second;
    if (word.start != 0 && word.start < state.start)
        return;
    state.start = std::max(state.start, word.start);
    state.leaving = true;
}

void applyStart(TargetTable& table, const TargetStarted& proof, TimePoint now)
{
    auto place = table.byAddress.find(proof.address);
    if (place == table.byAddress.end() || proof.start <= place->second.start)
        return;
    place->second.start = proof.start;
    makeFresh(place->second, now);
    place->second.listOutdated = place->second.listLeaving;
}

void applyHealth(TargetTable& table, const TargetHealth& health, TimePoint now)
{
    auto place = table.byAddress.find(health.address);
    if (place == table.byAddress.end())
        return;
    TargetState& state = place->second;
    if (state.ejected && !health.ejected)
        state.warmingSince = now;
    state.ejected = health.ejected;
    state.trialShare = health.ejected ? health.trialShare : 0;
    state.trialCredit = state.trialShare > 0 ? state.trialCredit : 0;
}

void occupySlot(TargetTable& table, std::string_view address, const TargetLimits& limits, TimePoint now)
{
    auto place = table.byAddress.find(address);
    checkInvariant(place != table.byAddress.end(), Invariant::SlotLimit, "an attempt starts at an unknown target");
    TargetState& state = place->second;
    checkInvariant(takesNewWork(state), Invariant::NoWorkForLeaving, "an attempt starts at a leaving target");
    bool free = state.inFlight < usableSlots(limits, state, now);
    checkInvariant(free, Invariant::SlotLimit, "an attempt starts at a target without a free slot");
    ++state.inFlight;
    if (state.ejected)
        state.trialCredit = 0;
}

void releaseSlot(TargetTable& table, std::string_view address)
{
    auto place = table.byAddress.find(address);
    bool inUse = place != table.byAddress.end() && place->second.inFlight > 0;
    checkInvariant(inUse, Invariant::SlotLimit, "an attempt ends at a target that works on none");
    --place->second.inFlight;
    if (place->second.inFlight == 0 && !place->second.listed)
        table.byAddress.erase(place);
}

void creditTrials(TargetTable& table) noexcept
{
    for (auto& [address, state] : table.byAddress) {
        if (state.ejected)
            state.trialCredit = std::min(1.0, state.trialCredit + state.trialShare);
    }
}

}
