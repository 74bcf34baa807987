#include "flamingowick/keys/detail/Parts.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace flamingowick::keys::detail {

namespace {

    HandedEntry makeHandedEntry(const KeyEntry& entry, TimePoint now)
    {
        return { entry.key, entry.digest, entry.caller, entry.state, entry.runner, entry.answer,
            std::max(entry.expiresAt - now, Duration(0)) };
    }

    HandedRange collectRange(const Context& context, const RangeId& id, const Holding& holding)
    {
        const State& state = context.state;
        HandedRange handed;
        handed.id = id;
        handed.from = state.self;
        handed.epochEnded = holding.record.epoch;
        handed.retention = retentionOf(state, id.service);
        handed.oldestUsableMs = std::max(holding.oldestUsableMs, oldestRetainedKeyTimeMs(state, id.service, context.now));
        if (holding.unknownUntil)
            handed.waitRemaining = std::max(*holding.unknownUntil - context.now, Duration(0));
        if (holding.freshAfterWallMs < std::numeric_limits<std::int64_t>::max())
            handed.takeoverAge = std::chrono::milliseconds(latestKeyTimeMs(state, context.now) - holding.freshAfterWallMs);
        auto entries = state.table.ranges.find(id);
        if (entries == state.table.ranges.end())
            return handed;
        for (const auto& entry : entries->second.entries)
            handed.entries.push_back(makeHandedEntry(entry.second, context.now));
        for (const auto& refusal : entries->second.refusals)
            handed.refusals.push_back(refusal.first);
        handed.refusalFloor = entries->second.refusalFloor.has_value();
        return handed;
    }

    bool isSuccessorOf(const Holding& holding, std::uint64_t epochEnded) noexcept
    {
        return holding.status == HoldingStatus::Active && holding.record.epoch == epochEnded + 1;
    }

    // Records the answer in one of the received entries that are not in the table yet.
    void completeReceivedEntry(const State& state, HandedRange& received, const HandedEntryFinished& finished)
    {
        auto sameKey = [&](const HandedEntry& entry) { return entry.key == finished.key; };
        auto entry = std::find_if(received.entries.begin(), received.entries.end(), sameKey);
        bool runs = entry != received.entries.end() && entry->state == EntryState::Running;
        if (!runs || entry->runner != finished.runner)
            return;
        if (finished.answer.outcome != Outcome::Answered) {
            entry->state = EntryState::Unknown;
            return;
        }
        entry->state = EntryState::Finished;
        entry->answer = finished.answer;
        entry->remaining = retentionOf(state, received.id.service);
    }

    // Returns the time of the last takeover by this daemon's wall clock, from the age that the previous owner sent.
    std::int64_t takeoverTimeMs(const Context& context, const HandedRange& handed)
    {
        std::int64_t latest = latestKeyTimeMs(context.state, context.now);
        if (!handed.takeoverAge || latest == std::numeric_limits<std::int64_t>::max())
            return std::numeric_limits<std::int64_t>::max();
        return latest - std::chrono::duration_cast<std::chrono::milliseconds>(*handed.takeoverAge).count();
    }

    // growth is how much longer entries are retained here than by the sender.
    KeyEntry makeEntry(const State& state, const RangeId& range, const HandedEntry& handed, Duration growth, TimePoint now)
    {
        KeyEntry entry;
        entry.key = handed.key;
        entry.digest = handed.digest;
        entry.caller = handed.caller;
        entry.state = handed.state;
        entry.runner = handed.runner;
        entry.answer = handed.answer;
        bool running = handed.state == EntryState::Running;
        Duration remaining = running ? state.limits.longestFlight : handed.remaining + growth;
        if (handed.state == EntryState::Unknown)
            remaining = retentionOf(state, range.service);
        entry.expiresAt = now + remaining;
        return entry;
    }

}

void beginHandOver(Context& context, const RangeId& id, const DaemonId& successor)
{
    State& state = context.state;
    auto found = state.holdings.find(id);
    bool active = found != state.holdings.end() && found->second.status == HoldingStatus::Active;
    if (!active || successor == state.self || successor.vm.empty())
        return;
    Holding& holding = found->second;
    ++state.changeCounter;
    holding.status = HoldingStatus::HandingOver;
    holding.epochFloor = holding.record.epoch;
    holding.successor = successor;
    holding.acknowledged = false;
    holding.received.reset();
    holding.proposed = { id, successor, state.self, holding.record.epoch + 1,
        toString(state.self) + "/" + std::to_string(state.changeCounter), {} };
    holding.retryAt = context.now + state.limits.retryInterval;
    context.actions.emplace_back(WriteRecord { holding.record.resourceVersion, holding.proposed });
    sendEntries(context, id, holding);
}

void handOverAllRanges(Context& context, const DaemonId& keeper)
{
    context.state.stopping = true;
    std::vector<RangeId> active;
    for (const auto& [id, holding] : context.state.holdings) {
        if (holding.status == HoldingStatus::Active)
            active.push_back(id);
    }
    for (const RangeId& id : active)
        beginHandOver(context, id, keeper);
}

void sendEntries(Context& context, const RangeId& id, Holding& holding)
{
    context.actions.emplace_back(SendEntries { holding.successor, collectRange(context, id, holding) });
}

void resolveHandOver(Context& context, Holding& holding, const RangeRecord& record)
{
    if (record.changeId == holding.proposed.changeId) {
        holding.status = HoldingStatus::HandedOver;
        holding.proposed = record;
        context.actions.emplace_back(Announce { record });
        return;
    }
    // Another write created this or a later epoch, so the range already has a later owner, which either has the entries
    // or started without them. They need not be sent again.
    if (record.epoch >= holding.proposed.epoch) {
        holding.status = HoldingStatus::HandedOver;
        holding.acknowledged = true;
        return;
    }
    // The outcome of the last write is not known. Repeating it is safe, because the store applies it at most once: the
    // expected version changes with it.
    context.actions.emplace_back(WriteRecord { holding.record.resourceVersion, holding.proposed });
}

void continueHandOver(Context& context, const RangeId& id, Holding& holding)
{
    bool successorSettled = holding.acknowledged || isProvenDead(context.state, holding.successor);
    bool done = holding.status == HoldingStatus::HandedOver && successorSettled;
    if (done && !hasRunners(context.state.table, id)) {
        eraseRange(context.state.table, id);
        holding.status = HoldingStatus::Idle;
        return;
    }
    if (done || holding.retryAt > context.now)
        return;
    holding.retryAt = context.now + context.state.limits.retryInterval;
    if (holding.status == HoldingStatus::HandingOver)
        context.actions.emplace_back(ReadRecord { id });
    sendEntries(context, id, holding);
}

void handleEntriesReceived(Context& context, const HandedRange& handed)
{
    Holding& holding = context.state.holdings[handed.id];
    bool alreadyHandedOver = handed.epochEnded + 1 <= holding.epochFloor;
    if (alreadyHandedOver || isSuccessorOf(holding, handed.epochEnded)) {
        context.actions.emplace_back(AcknowledgeEntries { handed.from, handed.id, handed.epochEnded });
        return;
    }
    bool handOverInProgress = holding.status == HoldingStatus::HandingOver || holding.status == HoldingStatus::HandedOver;
    bool older = holding.received && holding.received->epochEnded > handed.epochEnded;
    if (handOverInProgress || older || holding.status == HoldingStatus::Active)
        return;
    holding.received = handed;
    holding.receivedAt = context.now;
    if (holding.status == HoldingStatus::AwaitingEntries)
        tryActivate(context, holding);
    else
        claimRange(context, handed.id);
}

void handleEntriesAcknowledged(Context& context, const EntriesAcknowledged& event)
{
    auto found = context.state.holdings.find(event.id);
    if (found == context.state.holdings.end())
        return;
    Holding& holding = found->second;
    bool waiting = holding.status == HoldingStatus::HandingOver || holding.status == HoldingStatus::HandedOver;
    if (!waiting || holding.record.epoch != event.epochEnded)
        return;
    holding.status = HoldingStatus::HandedOver;
    holding.acknowledged = true;
}

void handleHandedEntryFinished(Context& context, const HandedEntryFinished& event)
{
    auto found = context.state.holdings.find(event.id);
    if (found == context.state.holdings.end())
        return;
    Holding& holding = found->second;
    if (isSuccessorOf(holding, event.epochEnded)) {
        KeyEntry* entry = findEntry(context.state.table, event.id, event.key);
        bool open = entry != nullptr && entry->state != EntryState::Finished;
        if (open && entry->runner == event.runner)
            completeEntry(context, event.id, *entry, event.answer);
    } else if (holding.received && holding.received->epochEnded == event.epochEnded) {
        completeReceivedEntry(context.state, *holding.received, event);
    }
}

void installEntries(Context& context, Holding& holding)
{
    State& state = context.state;
    HandedRange handed = std::move(*holding.received);
    holding.received.reset();
    Duration growth = std::max(retentionOf(state, handed.id.service) - handed.retention, Duration(0));
    for (const HandedEntry& entry : handed.entries)
        addEntry(state.table, handed.id, makeEntry(state, handed.id, entry, growth, context.now));
    RangeEntries& entries = state.table.ranges[handed.id];
    for (std::uint64_t refusal : handed.refusals) {
        entries.refusals[refusal] = context.now;
        ++state.table.refusalCount;
    }
    if (handed.refusalFloor)
        entries.refusalFloor = context.now;
    holding.freshAfterWallMs = takeoverTimeMs(context, handed);
    holding.oldestUsableMs = std::max(holding.oldestUsableMs, handed.oldestUsableMs);
    if (handed.waitRemaining > Duration(0))
        holding.unknownUntil = context.now + handed.waitRemaining + growth;
    context.actions.emplace_back(AcknowledgeEntries { handed.from, handed.id, handed.epochEnded });
}

}
