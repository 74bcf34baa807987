#include "flamingowick/keys/detail/Parts.h"
#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::keys::detail {

namespace {

    void requestRecord(Context& context, const RangeId& id, Holding& holding)
    {
        holding.retryAt = context.now + context.state.limits.retryInterval;
        context.actions.emplace_back(ReadRecord { id });
    }

    void startReading(Context& context, const RangeId& id, Holding& holding)
    {
        holding.status = HoldingStatus::Reading;
        holding.announcedEpoch = 0;
        requestRecord(context, id, holding);
    }

    // Writes the record that follows current, with this daemon as owner. current is null when no record exists yet.
    void proposeSelf(Context& context, const RangeId& id, Holding& holding, const RangeRecord* current)
    {
        State& state = context.state;
        ++state.changeCounter;
        RangeRecord proposed;
        proposed.id = id;
        proposed.owner = state.self;
        proposed.previous = current != nullptr ? current->owner : DaemonId();
        proposed.epoch = current != nullptr ? current->epoch + 1 : 1;
        proposed.changeId = toString(state.self) + "/" + std::to_string(state.changeCounter);
        holding.expectedVersion = current != nullptr ? current->resourceVersion : std::string();
        holding.proposed = std::move(proposed);
        holding.status = HoldingStatus::Writing;
        holding.retryAt = context.now + state.limits.retryInterval;
        context.actions.emplace_back(WriteRecord { holding.expectedVersion, holding.proposed });
    }

    void acceptRecord(Context& context, Holding& holding, const RangeRecord& record)
    {
        holding.record = record;
        holding.status = HoldingStatus::AwaitingEntries;
        tryActivate(context, holding);
    }

    // Evaluates a record that was read from the store to claim the range.
    void evaluateRecord(Context& context, Holding& holding, const RangeRecord& record)
    {
        const State& state = context.state;
        bool stale = record.epoch <= holding.epochFloor;
        bool namesSelf = record.owner == state.self;
        if (namesSelf && !stale) {
            acceptRecord(context, holding, record);
            return;
        }
        if (record.epoch < holding.announcedEpoch) {
            // The read returned a record older than the announced one, so it is read again.
            startReading(context, record.id, holding);
            return;
        }
        bool canTakeOver = !namesSelf && !stale && state.policy.mayTakeOver(record, ownerEvidenceFor(state, record.owner, context.now));
        if (canTakeOver)
            proposeSelf(context, record.id, holding, &record);
        else
            holding.status = HoldingStatus::Idle;
    }

    // Checks the SingleOwner invariant: no record of a later epoch names another daemon while this one is active.
    void checkStillOwner(const State& state, const Holding& holding, const RangeRecord& record)
    {
        bool replaced = record.epoch > holding.record.epoch && record.owner != state.self;
        checkInvariant(!replaced, Invariant::SingleOwner, "another daemon took over a range that is active here");
    }

    SuccessionEvidence successionEvidenceFor(const State& state, const Holding& holding)
    {
        const RangeRecord& record = holding.record;
        SuccessionEvidence evidence;
        evidence.firstOwner = record.previous.vm.empty();
        evidence.entriesHere = holding.received && holding.received->from == record.previous
            && holding.received->epochEnded + 1 == record.epoch;
        evidence.previousDead = !evidence.firstOwner && isProvenDead(state, record.previous);
        return evidence;
    }

    void startUnknownPeriod(Context& context, Holding& holding)
    {
        State& state = context.state;
        holding.unknownUntil = context.now + retentionOf(state, holding.record.id.service);
        holding.freshAfterWallMs = latestKeyTimeMs(state, context.now);
    }

}

void claimRange(Context& context, const RangeId& id)
{
    Holding& holding = context.state.holdings[id];
    if (holding.status == HoldingStatus::Idle && !context.state.stopping)
        startReading(context, id, holding);
}

void handleRecordRead(Context& context, const RecordRead& event)
{
    auto found = context.state.holdings.find(event.id);
    if (found == context.state.holdings.end() || event.result == ReadResult::Failed)
        return;
    Holding& holding = found->second;
    bool absent = event.result == ReadResult::Absent;
    if (holding.status == HoldingStatus::Active && !absent)
        checkStillOwner(context.state, holding, event.record);
    else if (holding.status == HoldingStatus::HandingOver && !absent)
        resolveHandOver(context, holding, event.record);
    else if (holding.status == HoldingStatus::Reading && !absent)
        evaluateRecord(context, holding, event.record);
    else if (holding.status == HoldingStatus::Reading && holding.epochFloor == 0)
        proposeSelf(context, event.id, holding, nullptr);
}

void handleRecordWritten(Context& context, const RecordWritten& event)
{
    auto found = context.state.holdings.find(event.id);
    if (found == context.state.holdings.end() || found->second.proposed.changeId != event.changeId)
        return;
    Holding& holding = found->second;
    bool applied = event.result == WriteResult::Applied;
    RangeRecord written = holding.proposed;
    written.resourceVersion = event.resourceVersion;
    if (holding.status == HoldingStatus::Writing && applied)
        acceptRecord(context, holding, written);
    else if (holding.status == HoldingStatus::Writing)
        startReading(context, event.id, holding);
    else if (holding.status == HoldingStatus::HandingOver && applied)
        resolveHandOver(context, holding, written);
    else if (holding.status == HoldingStatus::HandingOver)
        requestRecord(context, event.id, holding);
}

void handlePeerRecord(Context& context, const RangeRecord& record)
{
    State& state = context.state;
    if (auto adopted = state.policy.recordFromPeerCopy(state.self, record)) {
        acceptRecord(context, state.holdings[record.id], *adopted);
        return;
    }
    if (record.owner != state.self)
        return;
    Holding& holding = state.holdings[record.id];
    if (record.epoch <= holding.epochFloor)
        return;
    if (holding.status == HoldingStatus::Idle)
        startReading(context, record.id, holding);
    else if (holding.status == HoldingStatus::Reading)
        holding.announcedEpoch = std::max(holding.announcedEpoch, record.epoch);
}

void tryActivate(Context& context, Holding& holding)
{
    State& state = context.state;
    SuccessionEvidence evidence = successionEvidenceFor(state, holding);
    Succession succession = state.policy.decideSuccession(evidence);
    if (succession == Succession::Hold)
        return;
    bool ownsRange = holding.record.owner == state.self && holding.record.epoch > holding.epochFloor;
    checkInvariant(ownsRange, Invariant::SingleOwner, "a daemon would act on a record that does not name it");
    holding.status = HoldingStatus::Active;
    holding.unknownUntil.reset();
    eraseRange(state.table, holding.record.id);
    if (evidence.entriesHere)
        installEntries(context, holding);
    else if (succession == Succession::ActAfterWait)
        startUnknownPeriod(context, holding);
    updateOwnerView(context, holding.record);
    context.actions.emplace_back(Announce { holding.record });
}

void handleDeathProven(Context& context, const DaemonId& daemon)
{
    State& state = context.state;
    Incarnation& proven = state.provenDead[daemon.vm];
    proven = std::max(proven, daemon.incarnation);
    for (auto& [id, holding] : state.holdings) {
        if (holding.status == HoldingStatus::AwaitingEntries)
            tryActivate(context, holding);
    }
}

void retryOwnership(Context& context)
{
    for (auto& [id, holding] : context.state.holdings) {
        if (holding.unknownUntil && *holding.unknownUntil <= context.now)
            holding.unknownUntil.reset();
        if (holding.received && context.now - holding.receivedAt > retentionOf(context.state, id.service))
            holding.received.reset();
        if (holding.status == HoldingStatus::HandingOver || holding.status == HoldingStatus::HandedOver)
            continueHandOver(context, id, holding);
        else if (holding.status == HoldingStatus::Reading && holding.retryAt <= context.now)
            requestRecord(context, id, holding);
        else if (holding.status == HoldingStatus::Writing && holding.retryAt <= context.now)
            startReading(context, id, holding);
    }
    std::erase_if(context.state.holdings, [](const auto& item) {
        const Holding& holding = item.second;
        return holding.status == HoldingStatus::Idle && holding.epochFloor == 0 && !holding.received;
    });
}

}
