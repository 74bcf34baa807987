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

    constexpr microseconds hop { 500 };
    constexpr milliseconds storeLatency { 5 };
    constexpr milliseconds targetTime { 20 };
    constexpr seconds tickInterval { 1 };
    constexpr seconds drainTime { 30 };
    constexpr seconds warmUp { 10 };
    constexpr seconds resendPause { 5 };
    constexpr unsigned maxResends = 3;
    constexpr seconds pauseLength { 20 };
    constexpr unsigned opaquePercent = 50;

    void attempt(Fleet& fleet, std::size_t key);

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

    void readStore(Fleet& fleet, const DaemonId& from, const RangeId& id)
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

    void writeStore(Fleet& fleet, const DaemonId& from, const WriteRecord& write)
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
        schedule(fleet, targetTime, [&fleet, owner, id, answer] { deliverTo(fleet, owner, DispatchFinished { id, answer }); });
    }

    void resend(Fleet& fleet, std::size_t index)
    {
        Key& key = fleet.keys[index];
        if (!key.answered && key.attempts <= maxResends)
            attempt(fleet, index);
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
        schedule(fleet, resendPause, [&fleet, index = attempt.key] { resend(fleet, index); });
    }

    void answerCaller(Fleet& fleet, const RequestId& id, Outcome outcome)
    {
        Attempt& attempt = fleet.attempts[id];
        if (attempt.done)
            return;
        if (outcome == Outcome::Answered && fleet.keys[attempt.key].attempts == 1)
            fleet.measured.addedMs.push_back(std::chrono::duration<double, std::milli>(fleet.now - attempt.sentAt - targetTime).count());
        closeAttempt(fleet, attempt, outcome);
    }

    Duration hopBetween(std::size_t from, const DaemonId& to) { return nodeIndexOf(to) == from ? Duration(0) : Duration(hop); }

}

void broadcast(Fleet& fleet, std::size_t from, const Event& event)
{
    for (std::size_t to = 0; to < nodeCount; ++to) {
        if (to != from)
            deliver(fleet, to, event);
    }
}

namespace {

    struct Performer {
        Fleet& fleet;
        std::size_t from;
        DaemonId self;

        void post(const DaemonId& to, const Event& event) const
        {
            schedule(this->fleet, hopBetween(this->from, to), [&fleet = this->fleet, to, event] { deliver(fleet, nodeIndexOf(to), event); });
        }
        void operator()(const AnswerCaller& action) const { answerCaller(this->fleet, action.id, action.answer.outcome); }
        void operator()(const Forward& action) const
        {
            if (this->fleet.nodes[nodeIndexOf(action.message.owner)].alive)
                this->post(action.message.owner, action.message);
            else
                deliver(this->fleet, this->from, PeerUnreachable { action.message.request.id });
        }
        void operator()(const ForwardCancel& action) const { this->post(action.to, CancelRequested { action.id }); }
        void operator()(const Dispatch& action) const { runAtTarget(this->fleet, this->self, action.request.id); }
        void operator()(const CancelDispatch&) const { }
        void operator()(const AnswerRequest& action) const { this->post(action.id.origin, ForwardAnswered { action.id, action.answer, action.heldFor }); }
        void operator()(const RefuseRequest& action) const { this->post(action.id.origin, ForwardRefused { action.id, action.record }); }
        void operator()(const ReadRecord& action) const { readStore(this->fleet, this->self, action.id); }
        void operator()(const WriteRecord& action) const { writeStore(this->fleet, this->self, action); }
        void operator()(const SendEntries& action) const { this->post(action.to, EntriesReceived { action.handed }); }
        void operator()(const AcknowledgeEntries& action) const { this->post(action.to, EntriesAcknowledged { action.id, action.epochEnded }); }
        void operator()(const SendEntryFinished& action) const { this->post(action.to, action.message); }
        void operator()(const Announce& action) const { broadcast(this->fleet, this->from, OwnerAnnounced { action.record }); }
        void operator()(const SendHeartbeat& action) const { broadcast(this->fleet, this->from, HeartbeatReceived { this->self, action.stamp, action.wallMs }); }
    };

    void process(Fleet& fleet, std::size_t index, const Event& event)
    {
        Node& node = fleet.nodes[index];
        std::vector<Action> actions;
        try {
            actions = handle(node.state, event, fleet.now);
        } catch (const InvariantViolation&) {
            // The process terminates. Only schemes that can lose ownership while the range is active get here.
            node.alive = false;
            return;
        }
        auto isDispatch = [](const Action& action) { return std::holds_alternative<Dispatch>(action); };
        if (node.pauseAtNextDispatch && std::any_of(actions.begin(), actions.end(), isDispatch)) {
            node.pauseAtNextDispatch = false;
            node.pausedUntil = fleet.now + pauseLength;
            node.heldActions = std::move(actions);
            return;
        }
        for (const Action& action : actions)
            std::visit(Performer { fleet, index, node.state.self }, action);
    }

    void wake(Fleet& fleet, std::size_t index)
    {
        Node& node = fleet.nodes[index];
        std::vector<Action> delayedActions = std::move(node.heldActions);
        std::vector<Event> inbox = std::move(node.inbox);
        node.heldActions.clear();
        node.inbox.clear();
        for (const Action& action : delayedActions)
            std::visit(Performer { fleet, index, node.state.self }, action);
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
    if (!node.inbox.empty() || !node.heldActions.empty())
        wake(fleet, to);
    const auto* message = std::get_if<KeyedRequest>(&event);
    bool lapsed = isLease(fleet) && node.leaseUntil <= fleet.now;
    if (message != nullptr && lapsed) {
        schedule(fleet, hop, [&fleet, id = message->request.id] { deliverTo(fleet, id.origin, ForwardRefused { id, std::nullopt }); });
        return;
    }
    process(fleet, to, event);
}

namespace {

    void attempt(Fleet& fleet, std::size_t index)
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

    void newKey(Fleet& fleet)
    {
        if (fleet.now >= fleet.loadEnd)
            return;
        std::array<char, 48> text {};
        auto time = static_cast<unsigned long long>(wallMs(fleet));
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012llx", time >> 16U, time & 0xffffU, fleet.random() & 0xffffffffffffULL);
        Key key;
        bool opaque = fleet.random() % 100 < opaquePercent;
        key.text = opaque ? "opaque-" + std::to_string(fleet.keys.size()) : text.data();
        key.service = fleet.services[fleet.random() % fleet.services.size()];
        fleet.keys.push_back(key);
        attempt(fleet, fleet.keys.size() - 1);
        schedule(fleet, Duration(seconds(1)) / fleet.setup.requestsPerSecond, [&fleet] { newKey(fleet); });
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

    void claimAll(Fleet& fleet)
    {
        std::vector<std::string> live = liveVms(fleet);
        for (std::size_t index = 0; index < nodeCount; ++index) {
            for (const RangeId& id : rangesToClaim(fleet.services, live, fleet.nodes[index].state.self.vm, defaultRangesPerService))
                deliver(fleet, index, ClaimWanted { id });
        }
    }

    void runUntil(Fleet& fleet, TimePoint end)
    {
        while (!fleet.agenda.empty() && fleet.agenda.begin()->first <= end) {
            auto next = fleet.agenda.begin();
            fleet.now = next->first;
            std::function<void()> work = std::move(next->second);
            fleet.agenda.erase(next);
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
    claimAll(fleet);
    tickAll(fleet);
    if (isLease(fleet)) {
        renewLeases(fleet);
        expireLeases(fleet);
    }
    runUntil(fleet, fleet.now + warmUp);
    fleet.measured = Measurements();
    fleet.loadEnd = fleet.now + setup.length;
    newKey(fleet);
    startDisturbance(fleet);
    runUntil(fleet, fleet.loadEnd + drainTime);
    fleet.measured.keys = fleet.keys.size();
    for (const Key& key : fleet.keys)
        fleet.measured.neverAnswered += key.answered ? 0 : 1;
    return std::move(fleet.measured);
}

}
