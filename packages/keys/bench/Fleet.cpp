#include "FleetState.h"

#include "flamingowick/keys/Placement.h"
#include "flamingowick/model/Error.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace flamingowick::keys::bench {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr microseconds hopLatency { 500 };
    constexpr milliseconds storeLatency { 5 };
    constexpr milliseconds targetLatency { 20 };
    constexpr seconds tickInterval { 1 };
    constexpr seconds drainDuration { 30 };
    constexpr seconds warmUpDuration { 10 };
    constexpr seconds resendDelay { 5 };
    constexpr unsigned maxResends = 3;
    constexpr seconds pauseDuration { 20 };
    constexpr unsigned opaqueKeyPercent = 50;

    void sendAttempt(Fleet& fleet, std::size_t key);

}

void countWrite(Fleet& fleet)
{
    ++fleet.measured.storeWrites;
    ++fleet.writesThisSecond;
}

void deliverTo(Fleet& fleet, const DaemonId& to, const Event& event)
{
    if (fleet.nodes[nodeIndexOf(to)].state.self == to)
        deliver(fleet, nodeIndexOf(to), event);
}

namespace {

    void readRecord(Fleet& fleet, const DaemonId& from, const RangeId& id)
    {
        ++fleet.measured.storeReads;
        RecordRead event { id, ReadResult::Failed, {} };
        auto record = fleet.records.find(id);
        if (!fleet.storeDown)
            event.result = record == fleet.records.end() ? ReadResult::Absent : ReadResult::Found;
        if (event.result == ReadResult::Found)
            event.record = record->second;
        schedule(fleet, storeLatency, [&fleet, from, event] { deliverTo(fleet, from, event); });
    }

    void writeRecord(Fleet& fleet, const DaemonId& from, const WriteRecord& write)
    {
        countWrite(fleet);
        RecordWritten event { write.record.id, write.record.changeId, WriteResult::UnknownOutcome, {} };
        RangeRecord& record = fleet.records[write.record.id];
        bool applied = !fleet.storeDown && record.resourceVersion == write.expectedVersion;
        if (applied) {
            record = write.record;
            record.resourceVersion = std::to_string(record.epoch);
            event.resourceVersion = record.resourceVersion;
        }
        if (!fleet.storeDown)
            event.result = applied ? WriteResult::Applied : WriteResult::Conflict;
        if (record.epoch == 0)
            fleet.records.erase(write.record.id);
        schedule(fleet, storeLatency, [&fleet, from, event] { deliverTo(fleet, from, event); });
    }

    void runAtTarget(Fleet& fleet, const DaemonId& owner, const RequestId& id)
    {
        Key& key = fleet.keys[fleet.attempts[id].key];
        ++key.runs;
        fleet.measured.ranTwice += key.runs > 1 ? 1 : 0;
        Answer answer;
        answer.status = 200;
        schedule(fleet, targetLatency, [&fleet, owner, id, answer] { deliverTo(fleet, owner, DispatchFinished { id, answer }); });
    }

    void resend(Fleet& fleet, std::size_t index)
    {
        Key& key = fleet.keys[index];
        if (!key.answered && key.attempts <= maxResends)
            sendAttempt(fleet, index);
    }

    void closeAttempt(Fleet& fleet, Attempt& attempt, Outcome outcome)
    {
        Key& key = fleet.keys[attempt.key];
        attempt.done = true;
        key.answered = key.answered || outcome == Outcome::Answered;
        fleet.measured.falseNotRun += outcome == Outcome::NotRun && key.runs > 0 ? 1 : 0;
        if (outcome == Outcome::Answered)
            return;
        fleet.measured.refusedFirst += key.attempts == 1 ? 1 : 0;
        schedule(fleet, resendDelay, [&fleet, index = attempt.key] { resend(fleet, index); });
    }

    void answerCaller(Fleet& fleet, const RequestId& id, Outcome outcome)
    {
        Attempt& attempt = fleet.attempts[id];
        if (attempt.done)
            return;
        if (outcome == Outcome::Answered && fleet.keys[attempt.key].attempts == 1)
            fleet.measured.addedMs.push_back(std::chrono::duration<double, std::milli>(fleet.now - attempt.sentAt - targetLatency).count());
        closeAttempt(fleet, attempt, outcome);
    }

    Duration latencyBetween(std::size_t from, const DaemonId& to) { return nodeIndexOf(to) == from ? Duration(0) : Duration(hopLatency); }

}

void broadcast(Fleet& fleet, std::size_t from, const Event& event)
{
    for (std::size_t to = 0; to < nodeCount; ++to) {
        if (to != from)
            deliver(fleet, to, event);
    }
}

namespace {

    // Executes the actions that a daemon returned.
    struct ActionExecutor {
        Fleet& fleet;
        std::size_t from;
        DaemonId self;

        void send(const DaemonId& to, const Event& event) const
        {
            schedule(this->fleet, latencyBetween(this->from, to), [&fleet = this->fleet, to, event] { deliver(fleet, nodeIndexOf(to), event); });
        }
        void operator()(const AnswerCaller& action) const { answerCaller(this->fleet, action.id, action.answer.outcome); }
        void operator()(const Forward& action) const
        {
            if (this->fleet.nodes[nodeIndexOf(action.message.owner)].alive)
                this->send(action.message.owner, action.message);
            else
                deliver(this->fleet, this->from, PeerUnreachable { action.message.request.id });
        }
        void operator()(const ForwardCancel& action) const { this->send(action.to, CancelRequested { action.id }); }
        void operator()(const Dispatch& action) const { runAtTarget(this->fleet, this->self, action.request.id); }
        void operator()(const CancelDispatch&) const { }
        void operator()(const AnswerRequest& action) const { this->send(action.id.origin, ForwardAnswered { action.id, action.answer, action.heldFor }); }
        void operator()(const RefuseRequest& action) const { this->send(action.id.origin, ForwardRefused { action.id, action.record }); }
        void operator()(const ReadRecord& action) const { readRecord(this->fleet, this->self, action.id); }
        void operator()(const WriteRecord& action) const { writeRecord(this->fleet, this->self, action); }
        void operator()(const SendEntries& action) const { this->send(action.to, EntriesReceived { action.handed }); }
        void operator()(const AcknowledgeEntries& action) const { this->send(action.to, EntriesAcknowledged { action.id, action.epochEnded }); }
        void operator()(const SendEntryFinished& action) const { this->send(action.to, action.message); }
        void operator()(const Announce& action) const { broadcast(this->fleet, this->from, OwnerAnnounced { action.record }); }
        void operator()(const SendHeartbeat& action) const { broadcast(this->fleet, this->from, HeartbeatReceived { this->self, action.stamp, action.wallMs }); }
    };

    void handleEvent(Fleet& fleet, std::size_t index, const Event& event)
    {
        Node& node = fleet.nodes[index];
        std::vector<Action> actions;
        try {
            actions = handle(node.state, event, fleet.now);
        } catch (const InvariantViolation&) {
            // The daemon terminates. This happens only with schemes in which an owner can lose an active range.
            node.alive = false;
            return;
        }
        auto isDispatch = [](const Action& action) { return std::holds_alternative<Dispatch>(action); };
        if (node.pauseAtNextDispatch && std::any_of(actions.begin(), actions.end(), isDispatch)) {
            node.pauseAtNextDispatch = false;
            node.pausedUntil = fleet.now + pauseDuration;
            node.delayedActions = std::move(actions);
            return;
        }
        for (const Action& action : actions)
            std::visit(ActionExecutor { fleet, index, node.state.self }, action);
    }

    void resume(Fleet& fleet, std::size_t index)
    {
        Node& node = fleet.nodes[index];
        std::vector<Action> actions = std::move(node.delayedActions);
        std::vector<Event> inbox = std::move(node.inbox);
        node.delayedActions.clear();
        node.inbox.clear();
        for (const Action& action : actions)
            std::visit(ActionExecutor { fleet, index, node.state.self }, action);
        for (const Event& event : inbox)
            deliver(fleet, index, event);
    }

}

void deliver(Fleet& fleet, std::size_t to, const Event& event)
{
    Node& node = fleet.nodes[to];
    if (!node.alive)
        return;
    if (node.pausedUntil > fleet.now) {
        node.inbox.push_back(event);
        return;
    }
    if (!node.inbox.empty() || !node.delayedActions.empty())
        resume(fleet, to);
    const auto* message = std::get_if<KeyedRequest>(&event);
    bool hasLeaseExpired = isLease(fleet) && node.leaseUntil <= fleet.now;
    if (message != nullptr && hasLeaseExpired) {
        schedule(fleet, hopLatency, [&fleet, id = message->request.id] { deliverTo(fleet, id.origin, ForwardRefused { id, std::nullopt }); });
        return;
    }
    handleEvent(fleet, to, event);
}

namespace {

    void sendAttempt(Fleet& fleet, std::size_t index)
    {
        std::size_t entry = fleet.random() % nodeCount;
        while (!fleet.nodes[entry].alive || fleet.nodes[entry].readyAt > fleet.now)
            entry = fleet.random() % nodeCount;
        Node& node = fleet.nodes[entry];
        Key& key = fleet.keys[index];
        Request request;
        request.id = { node.state.self, node.nextCounter++ };
        request.service = key.service;
        request.idempotencyKey = key.text;
        request.caller = "member";
        request.deadline = fleet.now + seconds(5);
        ++key.attempts;
        fleet.attempts[request.id] = { index, fleet.now, false };
        deliver(fleet, entry, CallerRequest { request });
        schedule(fleet, seconds(6), [&fleet, id = request.id] { answerCaller(fleet, id, Outcome::Unknown); });
    }

    void sendNewKey(Fleet& fleet)
    {
        if (fleet.now >= fleet.loadEnd)
            return;
        std::array<char, 48> text {};
        auto time = static_cast<unsigned long long>(wallMs(fleet));
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012llx", time >> 16U, time & 0xffffU, fleet.random() & 0xffffffffffffULL);
        Key key;
        bool isOpaque = fleet.random() % 100 < opaqueKeyPercent;
        key.text = isOpaque ? "opaque-" + std::to_string(fleet.keys.size()) : text.data();
        key.service = fleet.services[fleet.random() % fleet.services.size()];
        fleet.keys.push_back(key);
        sendAttempt(fleet, fleet.keys.size() - 1);
        schedule(fleet, Duration(seconds(1)) / fleet.setup.requestsPerSecond, [&fleet] { sendNewKey(fleet); });
    }

    void tickAll(Fleet& fleet)
    {
        WallReading wall { wallMs(fleet), fleet.now, Duration(0) };
        for (std::size_t index = 0; index < nodeCount; ++index)
            deliver(fleet, index, Tick { wall });
        fleet.measured.peakWritesPerSecond = std::max(fleet.measured.peakWritesPerSecond, fleet.writesThisSecond);
        fleet.writesThisSecond = 0;
        schedule(fleet, tickInterval, [&fleet] { tickAll(fleet); });
    }

    void claimAllRanges(Fleet& fleet)
    {
        std::vector<std::string> live = liveVms(fleet);
        for (std::size_t index = 0; index < nodeCount; ++index) {
            for (const RangeId& id : rangesToClaim(fleet.services, live, fleet.nodes[index].state.self.vm, defaultRangesPerService))
                deliver(fleet, index, ClaimWanted { id });
        }
    }

    void runUntil(Fleet& fleet, TimePoint end)
    {
        while (!fleet.scheduledWork.empty() && fleet.scheduledWork.begin()->first <= end) {
            auto next = fleet.scheduledWork.begin();
            fleet.now = next->first;
            std::function<void()> work = std::move(next->second);
            fleet.scheduledWork.erase(next);
            work();
        }
    }

}

Measurements runFleet(const Setup& setup)
{
    Fleet fleet;
    fleet.setup = setup;
    fleet.random.seed(setup.seed);
    for (std::size_t index = 0; index < nodeCount; ++index)
        start(fleet, index);
    claimAllRanges(fleet);
    tickAll(fleet);
    if (isLease(fleet)) {
        renewLeases(fleet);
        expireLeases(fleet);
    }
    runUntil(fleet, fleet.now + warmUpDuration);
    fleet.measured = Measurements();
    fleet.loadEnd = fleet.now + setup.length;
    sendNewKey(fleet);
    startDisturbance(fleet);
    runUntil(fleet, fleet.loadEnd + drainDuration);
    fleet.measured.keys = fleet.keys.size();
    for (const Key& key : fleet.keys)
        fleet.measured.neverAnswered += key.answered ? 0 : 1;
    return std::move(fleet.measured);
}

}
