#include "World.h"

#include "flamingowick/keys/Placement.h"
#include "flamingowick/model/Error.h"

#include <algorithm>

namespace flamingowick::keys::test {

namespace {

    using std::chrono::milliseconds;

    constexpr std::size_t nodeCount = 4;
    constexpr std::uint32_t rangeCount = 2;
    constexpr milliseconds scheduleLength { 45000 };
    constexpr milliseconds tickInterval { 500 };
    constexpr milliseconds longestFlight { 4000 };
    constexpr milliseconds retention { 12000 };
    constexpr milliseconds clockBound { 400 };
    constexpr std::int64_t wallEpochMs = 1764720000000;

    std::uint64_t randomBelow(World& world, std::uint64_t bound) { return world.random() % bound; }
    bool withChance(World& world, unsigned percent) { return randomBelow(world, 100) < percent; }
    milliseconds randomDuration(World& world, std::int64_t low, std::int64_t high)
    {
        return milliseconds(low + static_cast<std::int64_t>(randomBelow(world, static_cast<std::uint64_t>(high - low + 1))));
    }

    std::int64_t trueWallMs(const World& world)
    {
        return wallEpochMs + std::chrono::duration_cast<milliseconds>(world.now.time_since_epoch()).count();
    }
    std::int64_t randomWallSkewMs(World& world) { return randomDuration(world, -clockBound.count() / 2, clockBound.count() / 2).count(); }
    TimePoint localNow(const World& world, const Node& node) { return world.now + node.clockOffset; }
    WallReading readWall(const World& world, const Node& node) { return { trueWallMs(world) + node.wallSkewMs, localNow(world, node), Duration(0) }; }
    void schedule(World& world, Duration delay, std::function<void()> work) { world.scheduledEvents.emplace(world.now + delay, std::move(work)); }

    void recordViolation(World& world, std::string text) { world.ledger.violations.push_back(std::move(text)); }

    // Checks that a key runs at most once, and that no attempt sent before a not-run answer of its key runs after it.
    void recordRun(World& world, const Request& request)
    {
        Ledger& ledger = world.ledger;
        auto& runs = ledger.runs[request.idempotencyKey];
        runs.emplace_back(world.now, request.id);
        if (runs.size() > 1)
            recordViolation(world, "key ran twice: " + request.idempotencyKey);
        for (TimePoint refusedAt : ledger.notRunAnsweredAt[request.idempotencyKey]) {
            if (ledger.attempts.at(request.id).sentAt < refusedAt)
                recordViolation(world, "key ran after not-run: " + request.idempotencyKey);
        }
    }

    void recordCallerAnswer(World& world, const RequestId& id, const Answer& answer)
    {
        Ledger& ledger = world.ledger;
        const std::string& key = ledger.attempts.at(id).key;
        if (answer.outcome == Outcome::Answered && answer.body != key)
            recordViolation(world, "answer of another key: " + key);
        ledger.outcomes.answered += answer.outcome == Outcome::Answered ? 1 : 0;
        ledger.outcomes.unknown += answer.outcome == Outcome::Unknown ? 1 : 0;
        if (answer.outcome != Outcome::NotRun)
            return;
        ++ledger.outcomes.notRun;
        ledger.notRunAnsweredAt[key].push_back(world.now);
        if (ledger.runs.contains(key))
            recordViolation(world, "not-run answered for a key that ran: " + key);
    }

    void deliver(World& world, std::size_t to, const Event& event);
    void perform(World& world, std::size_t from, const Action& action);

    std::size_t nodeIndexOf(const DaemonId& daemon) { return static_cast<std::size_t>(daemon.vm.back() - '0'); }

    // Sends a message between daemons. It may be lost, delayed, reordered, duplicated, or dropped by a one-way
    // partition.
    void send(World& world, std::size_t from, const DaemonId& to, const Event& event)
    {
        std::size_t target = nodeIndexOf(to);
        auto cut = world.partitions.find({ from, target });
        bool cutOff = from != target && cut != world.partitions.end() && cut->second > world.now;
        if (cutOff || withChance(world, 2))
            return;
        int copies = withChance(world, 4) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            Duration delay = withChance(world, 5) ? randomDuration(world, 100, 9000) : randomDuration(world, 1, 20);
            schedule(world, delay, [&world, target, event] { deliver(world, target, event); });
        }
    }

    void broadcast(World& world, std::size_t from, const Event& event)
    {
        for (std::size_t to = 0; to < nodeCount; ++to) {
            if (to != from)
                send(world, from, world.nodes[to].state.self, event);
        }
    }

    void reply(World& world, const DaemonId& to, const Event& event)
    {
        if (world.nodes[nodeIndexOf(to)].state.self == to)
            deliver(world, nodeIndexOf(to), event);
    }

    // Simulates dispatcher and target, which may shed the request, lose the answer after running it, or never answer.
    void runOnTarget(World& world, const DaemonId& owner, const Request& request)
    {
        Answer answer;
        answer.status = 200;
        answer.body = request.idempotencyKey;
        if (withChance(world, 10) || world.cancelled.contains(request.id)) {
            answer = makeProblem(503, Outcome::NotRun, "shed", std::chrono::seconds(1));
        } else {
            recordRun(world, request);
            if (withChance(world, 5))
                answer = makeProblem(502, Outcome::Unknown, "connection lost", std::chrono::seconds(1));
        }
        if (withChance(world, 90))
            schedule(world, randomDuration(world, 1, 1500), [&world, owner, id = request.id, answer] { reply(world, owner, DispatchFinished { id, answer }); });
    }

    void readStore(World& world, const DaemonId& from, const RangeId& id)
    {
        RecordRead event { id, ReadResult::Failed, {} };
        auto records = world.store.history.find(id);
        if (world.store.downUntil <= world.now) {
            event.result = records == world.store.history.end() ? ReadResult::Absent : ReadResult::Found;
            if (event.result == ReadResult::Found)
                event.record = withChance(world, 15) ? records->second[randomBelow(world, records->second.size())] : records->second.back();
        }
        schedule(world, randomDuration(world, 1, 30), [&world, from, event] { reply(world, from, event); });
    }

    bool applyWrite(World& world, const WriteRecord& write)
    {
        auto& records = world.store.history[write.record.id];
        std::string version = records.empty() ? "" : records.back().resourceVersion;
        if (version != write.expectedVersion)
            return false;
        world.ledger.takeovers += write.record.previous.vm.empty() || write.record.changeId.starts_with(toString(write.record.previous) + "/") ? 0 : 1;
        records.push_back(write.record);
        records.back().resourceVersion = std::to_string(records.size());
        return true;
    }

    // A write may fail in an outage, be applied although its answer is lost, or be applied much later.
    void writeStore(World& world, const DaemonId& from, const WriteRecord& write)
    {
        bool down = world.store.downUntil > world.now;
        bool answerLost = down || withChance(world, 15);
        Duration delay = answerLost && withChance(world, 30) ? randomDuration(world, 100, 8000) : randomDuration(world, 1, 30);
        bool dropped = answerLost && withChance(world, 30);
        schedule(world, delay, [&world, from, write, answerLost, dropped] {
            bool applied = !dropped && applyWrite(world, write);
            std::string version = applied ? world.store.history[write.record.id].back().resourceVersion : "";
            if (!answerLost)
                reply(world, from, RecordWritten { write.record.id, write.record.changeId, applied ? WriteResult::Applied : WriteResult::Conflict, version });
        });
        if (answerLost)
            schedule(world, randomDuration(world, 30, 300), [&world, from, write] { reply(world, from, RecordWritten { write.record.id, write.record.changeId, WriteResult::UnknownOutcome, {} }); });
    }

    struct Performer {
        World& world;
        std::size_t from;
        DaemonId self;

        void operator()(const AnswerCaller& action) const
        {
            const Node& node = this->world.nodes[this->from];
            if (this->world.ledger.attempts.at(action.id).sentAt < node.suspendedAt)
                return;
            bool late = action.tellBy && localNow(this->world, node) > *action.tellBy;
            recordCallerAnswer(this->world, action.id, late ? *action.otherwise : action.answer);
        }
        void operator()(const Forward& action) const
        {
            // The message carries the time left, not the deadline, so a delayed message looks recent to the receiver.
            KeyedRequest message = action.message;
            Node& receiver = this->world.nodes[nodeIndexOf(message.owner)];
            message.request.deadline += receiver.clockOffset - this->world.nodes[this->from].clockOffset;
            if (!receiver.alive && withChance(this->world, 50)) {
                deliver(this->world, this->from, PeerUnreachable { message.request.id });
                return;
            }
            send(this->world, this->from, message.owner, message);
        }
        void operator()(const ForwardCancel& action) const { send(this->world, this->from, action.to, CancelRequested { action.id }); }
        void operator()(const Dispatch& action) const
        {
            if (!withChance(this->world, 3))
                schedule(this->world, randomDuration(this->world, 1, withChance(this->world, 10) ? 2400 : 50), [&world = this->world, owner = this->self, request = action.request] { runOnTarget(world, owner, request); });
        }
        void operator()(const CancelDispatch& action) const { this->world.cancelled.insert(action.id); }
        void operator()(const AnswerRequest& action) const { send(this->world, this->from, action.id.origin, ForwardAnswered { action.id, action.answer, action.heldFor }); }
        void operator()(const RefuseRequest& action) const { send(this->world, this->from, action.id.origin, ForwardRefused { action.id, action.record }); }
        void operator()(const ReadRecord& action) const { readStore(this->world, this->self, action.id); }
        void operator()(const WriteRecord& action) const { writeStore(this->world, this->self, action); }
        void operator()(const SendEntries& action) const { send(this->world, this->from, action.to, EntriesReceived { action.handed }); }
        void operator()(const AcknowledgeEntries& action) const
        {
            ++this->world.ledger.handOvers;
            send(this->world, this->from, action.to, EntriesAcknowledged { action.id, action.epochEnded });
        }
        void operator()(const SendEntryFinished& action) const { send(this->world, this->from, action.to, action.message); }
        void operator()(const Announce& action) const { broadcast(this->world, this->from, OwnerAnnounced { action.record }); }
        void operator()(const SendHeartbeat& action) const { broadcast(this->world, this->from, HeartbeatReceived { this->self, action.stamp, action.wallMs }); }
    };

    void perform(World& world, std::size_t from, const Action& action)
    {
        std::visit(Performer { world, from, world.nodes[from].state.self }, action);
    }

    void kill(World& world, std::size_t index);

    void process(World& world, std::size_t index, Event event)
    {
        Node& node = world.nodes[index];
        if (auto* message = std::get_if<KeyedRequest>(&event))
            message->wall = readWall(world, node);
        std::vector<Action> actions;
        try {
            actions = handle(node.state, event, localNow(world, node));
        } catch (const InvariantViolation& broken) {
            recordViolation(world, broken.what());
            kill(world, index);
            return;
        }
        // The process may be paused between a decision and its effects.
        if (withChance(world, 1) && withChance(world, 15)) {
            node.pausedUntil = world.now + randomDuration(world, 500, 25000);
            node.heldActions = std::move(actions);
            return;
        }
        for (const Action& action : actions)
            perform(world, index, action);
    }

    // Ends a pause: performs the delayed actions and delivers the events received meanwhile.
    void resume(World& world, std::size_t index)
    {
        Node& node = world.nodes[index];
        std::vector<Action> delayedActions = std::move(node.heldActions);
        std::vector<Event> inbox = std::move(node.inbox);
        node.heldActions.clear();
        node.inbox.clear();
        for (const Action& action : delayedActions)
            perform(world, index, action);
        // Threads read waiting events in any order, but before any new event.
        std::shuffle(inbox.begin(), inbox.end(), world.random);
        for (const Event& event : inbox)
            deliver(world, index, event);
    }

    void deliver(World& world, std::size_t to, const Event& event)
    {
        Node& node = world.nodes[to];
        if (!node.alive)
            return;
        if (node.pausedUntil > world.now) {
            node.inbox.push_back(event);
            return;
        }
        if (!node.inbox.empty() || !node.heldActions.empty())
            resume(world, to);
        if (node.alive && node.pausedUntil <= world.now)
            process(world, to, event);
    }

    // Sends the owner records known to the peers to a daemon that has just started.
    void gossipViews(World& world, std::size_t to)
    {
        for (std::size_t from = 0; from < nodeCount; ++from) {
            for (const auto& view : world.nodes[from].state.entry.views)
                send(world, from, world.nodes[to].state.self, OwnerAnnounced { view.second });
        }
    }

    void start(World& world, std::size_t index)
    {
        Node& node = world.nodes[index];
        node = Node();
        node.clockOffset = randomDuration(world, 0, 90000000);
        node.wallSkewMs = randomWallSkewMs(world);
        State& state = node.state;
        state.self = { "vm" + std::to_string(index), static_cast<Incarnation>(trueWallMs(world)) };
        state.limits.rangesPerService = rangeCount;
        state.limits.longestFlight = longestFlight;
        state.limits.stampSettle = milliseconds(300);
        state.limits.retryInterval = milliseconds(500);
        if (world.scenario.seed % 3 == 0)
            state.limits.entries = { 8, 1U << 20U, 2 };
        state.policy = world.scenario.policy;
        state.issued.secret = world.random();
        schedule(world, milliseconds(100), [&world, index] { gossipViews(world, index); });
        deliver(world, index, PolicyChanged { "pay", { retention, clockBound } });
        deliver(world, index, Tick { readWall(world, node) });
    }

    void kill(World& world, std::size_t index)
    {
        Node& node = world.nodes[index];
        node.alive = false;
        node.inbox.clear();
        node.heldActions.clear();
        DaemonId dead = node.state.self;
        for (std::size_t peer = 0; peer < nodeCount; ++peer)
            schedule(world, randomDuration(world, 200, 6000), [&world, peer, dead] { deliver(world, peer, DeathProven { dead }); });
        schedule(world, randomDuration(world, 100, 8000), [&world, index] { start(world, index); });
    }

    void tick(World& world, std::size_t index)
    {
        Node& node = world.nodes[index];
        if (node.pausedUntil <= world.now)
            deliver(world, index, Tick { readWall(world, node) });
        schedule(world, tickInterval, [&world, index] { tick(world, index); });
    }

    std::string makeUuidV7(World& world)
    {
        std::int64_t keyMs = trueWallMs(world) + randomWallSkewMs(world);
        std::array<char, 40> text {};
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx", static_cast<unsigned long long>(keyMs >> 16),
            static_cast<unsigned long long>(keyMs & 0xffff), static_cast<unsigned long long>(randomBelow(world, 0x1000)),
            static_cast<unsigned long long>(randomBelow(world, 0x1000)), static_cast<unsigned long long>(randomBelow(world, 1ULL << 48U)));
        return text.data();
    }

    Key& chooseKey(World& world)
    {
        bool fresh = world.keys.empty() || withChance(world, 35);
        if (!fresh)
            return world.keys[world.keys.size() - 1 - randomBelow(world, std::min<std::size_t>(world.keys.size(), 12))];
        unsigned kind = static_cast<unsigned>(randomBelow(world, 10));
        Node& issuer = world.nodes[randomBelow(world, nodeCount)];
        Key key { "opaque" + std::to_string(world.keys.size()), world.now, kind < 4 };
        if (kind >= 6 || (kind >= 4 && !issuer.alive))
            key = { makeUuidV7(world), world.now, false };
        else if (kind >= 4)
            key = { issueKey(issuer.state.issued, issuer.state.self, localNow(world, issuer)), world.now, false };
        world.keys.push_back(key);
        return world.keys.back();
    }

    void sendCallerRequest(World& world)
    {
        Key& key = chooseKey(world);
        Node& entry = world.nodes[randomBelow(world, nodeCount)];
        bool mayResend = !key.opaque || world.now - key.firstSentAt < retention - longestFlight - milliseconds(500);
        if (entry.alive && mayResend) {
            Request request;
            request.id = { entry.state.self, entry.nextCounter++ };
            request.service = "pay";
            request.idempotencyKey = key.text;
            request.caller = "member";
            request.idempotent = false;
            request.deadline = localNow(world, entry) + randomDuration(world, 500, 3500);
            world.ledger.attempts[request.id] = { key.text, world.now };
            // A request may wait in the entry's socket before it is read.
            schedule(world, randomDuration(world, 0, 250), [&world, request] { reply(world, request.id.origin, CallerRequest { request }); });
            if (withChance(world, 10))
                schedule(world, randomDuration(world, 300, 1000), [&world, id = request.id] { reply(world, id.origin, CallerGone { id }); });
        }
        schedule(world, randomDuration(world, 1, 500), [&world] { sendCallerRequest(world); });
    }

    void claimRanges(World& world)
    {
        std::vector<std::string> live;
        for (const Node& node : world.nodes) {
            if (node.alive || withChance(world, 30))
                live.push_back(node.state.self.vm);
        }
        std::vector<std::string> services { "pay" };
        for (std::size_t index = 0; index < nodeCount; ++index) {
            for (const RangeId& id : rangesToClaim(services, live, world.nodes[index].state.self.vm, rangeCount))
                deliver(world, index, ClaimWanted { id });
            if (withChance(world, 25))
                deliver(world, index, ClaimWanted { { "pay", static_cast<std::uint32_t>(randomBelow(world, rangeCount)) } });
        }
        schedule(world, milliseconds(700), [&world] { claimRanges(world); });
    }

    // Drops all messages of a daemon to one other, or to all except that one.
    void cutOff(World& world, std::size_t from, std::size_t other)
    {
        bool allButOne = withChance(world, 50);
        TimePoint end = world.now + randomDuration(world, 500, 15000);
        for (std::size_t to = 0; to < nodeCount; ++to) {
            if ((to == other) != allButOne)
                world.partitions[{ from, to }] = end;
        }
    }

    // Suspends the whole machine: its clocks stop, and its wall clock is corrected some time after it resumes.
    void suspend(World& world, std::size_t index)
    {
        Node& node = world.nodes[index];
        milliseconds length = randomDuration(world, 5000, 20000);
        milliseconds correction = withChance(world, 50) ? milliseconds(0) : randomDuration(world, 0, 1500);
        node.pausedUntil = world.now + length;
        node.suspendedAt = world.now;
        node.clockOffset -= length;
        node.wallSkewMs -= length.count();
        schedule(world, length + correction, [&world, index, length, self = node.state.self] {
            if (world.nodes[index].state.self == self)
                world.nodes[index].wallSkewMs += length.count();
        });
    }

    // Changes the retention at all daemons, at different times.
    void changePolicy(World& world)
    {
        KeyPolicy policy { retention + randomDuration(world, 0, 8000), clockBound };
        for (std::size_t index = 0; index < nodeCount; ++index)
            schedule(world, randomDuration(world, 1, 3000), [&world, index, policy] { deliver(world, index, PolicyChanged { "pay", policy }); });
    }

    void injectFault(World& world)
    {
        std::size_t index = randomBelow(world, nodeCount);
        Node& node = world.nodes[index];
        DaemonId other = world.nodes[randomBelow(world, nodeCount)].state.self;
        switch (randomBelow(world, 9)) {
        case 0:
            world.store.downUntil = world.now + randomDuration(world, 500, 9000);
            break;
        case 1:
            cutOff(world, index, nodeIndexOf(other));
            break;
        case 2:
            node.pausedUntil = world.now + randomDuration(world, 500, 25000);
            break;
        case 3:
            if (node.alive)
                kill(world, index);
            break;
        case 4:
            if (node.alive && node.pausedUntil <= world.now)
                suspend(world, index);
            break;
        case 5:
            changePolicy(world);
            break;
        case 6:
            deliver(world, index, Stopping { other });
            schedule(world, randomDuration(world, 50, 5000), [&world, index, self = node.state.self] {
                if (world.nodes[index].alive && world.nodes[index].state.self == self)
                    kill(world, index);
            });
            break;
        default:
            deliver(world, index, HandOverWanted { { "pay", static_cast<std::uint32_t>(randomBelow(world, rangeCount)) }, other });
        }
        schedule(world, randomDuration(world, 100, 2500), [&world] { injectFault(world); });
    }

}

Ledger runSchedule(const Scenario& scenario)
{
    World world;
    world.scenario = scenario;
    world.random.seed(scenario.seed);
    world.nodes.resize(nodeCount);
    for (std::size_t index = 0; index < nodeCount; ++index)
        world.nodes[index].state.self.vm = "vm" + std::to_string(index);
    for (std::size_t index = 0; index < nodeCount; ++index) {
        start(world, index);
        schedule(world, randomDuration(world, 0, tickInterval.count()), [&world, index] { tick(world, index); });
    }
    schedule(world, milliseconds(0), [&world] { claimRanges(world); });
    schedule(world, milliseconds(0), [&world] { sendCallerRequest(world); });
    schedule(world, milliseconds(3000), [&world] { injectFault(world); });
    TimePoint end = world.now + scheduleLength;
    while (world.now < end) {
        auto next = world.scheduledEvents.begin();
        world.now = next->first;
        std::function<void()> work = std::move(next->second);
        world.scheduledEvents.erase(next);
        work();
    }
    return std::move(world.ledger);
}

}
