#include "flamingowick/keys/KeyMachine.h"

#include "flamingowick/model/Error.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::keys;

namespace {

constexpr std::int64_t wallStartMs = 1764720000000;

// One daemon that owns the range of every key, and what it did last.
struct Owner {
    State state;
    TimePoint now { std::chrono::hours(10) };
    std::vector<Action> actions;
    std::uint64_t counter { 0 };

    Owner()
    {
        this->state.self = { "vm1", 100 };
        this->state.limits.rangesPerService = 1;
        this->tick();
    }
    std::int64_t wallMs() const
    {
        return wallStartMs + std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch()).count();
    }
    WallReading wall() const { return { this->wallMs(), this->now, Duration(0) }; }
    void take(const Event& event) { this->actions = handle(this->state, event, this->now); }
    void tick() { this->take(Tick { this->wall() }); }
    void pass(Duration duration)
    {
        this->now += duration;
        this->tick();
    }
    void own()
    {
        this->take(ClaimWanted { { "pay", 0 } });
        this->take(RecordRead { { "pay", 0 }, ReadResult::Absent, {} });
        this->written();
    }
    // Takes over from a daemon that is proven dead.
    void takeOver()
    {
        RangeRecord record { { "pay", 0 }, { "vm0", 90 }, {}, 1, "other/1", "7" };
        this->take(DeathProven { record.owner });
        this->take(ClaimWanted { record.id });
        this->take(RecordRead { record.id, ReadResult::Found, record });
        this->written();
    }
    void written()
    {
        const auto& write = std::get<WriteRecord>(this->actions.front());
        this->take(RecordWritten { write.record.id, write.record.changeId, WriteResult::Applied, "8" });
    }
    KeyedRequest message(const std::string& key)
    {
        KeyedRequest message;
        message.request.id = { { "entry", 1 }, ++this->counter };
        message.request.service = "pay";
        message.request.caller = "member";
        message.request.idempotencyKey = key;
        message.request.deadline = this->now + std::chrono::seconds(10);
        message.range = { "pay", 0 };
        message.epoch = this->state.holdings[message.range].record.epoch;
        message.owner = this->state.self;
        message.ownerStamp = this->now;
        message.wall = this->wall();
        return message;
    }
    void send(const std::string& key) { this->take(this->message(key)); }
    void finish(Outcome outcome)
    {
        Answer answer;
        answer.status = 200;
        answer.outcome = outcome;
        this->take(DispatchFinished { { { "entry", 1 }, this->counter }, answer });
    }
    template <typename Kind>
    const Kind* did() const
    {
        for (const Action& action : this->actions) {
            if (const auto* found = std::get_if<Kind>(&action))
                return found;
        }
        return nullptr;
    }
    Answer told() const
    {
        const auto* answer = this->did<AnswerRequest>();
        return answer != nullptr ? answer->answer : Answer { 0, {}, {}, Outcome::Answered, {}, "nothing told", {} };
    }
};

std::string uuidAt(std::int64_t milliseconds)
{
    std::array<char, 40> text {};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-000000000000",
        static_cast<unsigned long long>(milliseconds >> 16), static_cast<unsigned long long>(milliseconds & 0xffff));
    return text.data();
}

}

TEST_GROUP(KeyMachine)
{
    Owner owner;
};

TEST(KeyMachine, RunsAKeyOnceAndReplaysItsAnswer)
{
    owner.own();
    owner.send("k");
    CHECK(owner.did<Dispatch>() != nullptr);
    owner.send("k");
    CHECK_EQUAL(409U, owner.told().status);
    CHECK(owner.told().retryAfter.has_value());
    CHECK(owner.told().outcome == Outcome::Unknown);
    owner.counter = 1;
    owner.finish(Outcome::Answered);
    owner.send("k");
    CHECK_EQUAL(200U, owner.told().status);
    CHECK(owner.did<Dispatch>() == nullptr);
}

TEST(KeyMachine, RefusesAKeyThatIsUsedForAnotherRequestOrByAnotherCaller)
{
    owner.own();
    owner.send("k");
    owner.finish(Outcome::Answered);
    KeyedRequest other = owner.message("k");
    other.request.body = "another amount";
    owner.take(other);
    CHECK_EQUAL(422U, owner.told().status);
    other = owner.message("k");
    other.request.caller = "somebody else";
    owner.take(other);
    CHECK_EQUAL(422U, owner.told().status);
}

TEST(KeyMachine, SaysNotRunWhenFullAndForgetsNothing)
{
    owner.state.limits.entries.maxEntries = 1;
    owner.own();
    owner.send("first");
    owner.send("second");
    CHECK_EQUAL(503U, owner.told().status);
    CHECK(owner.told().outcome == Outcome::NotRun);
    owner.send("first");
    CHECK_EQUAL(409U, owner.told().status);
}

TEST(KeyMachine, CountsItsMemoryBackToNothing)
{
    owner.own();
    for (int key = 0; key < 100; ++key) {
        owner.send("k" + std::to_string(key));
        owner.finish(key % 3 == 0 ? Outcome::NotRun : Outcome::Answered);
    }
    CHECK(owner.state.table.byteCount > 0);
    owner.pass(std::chrono::hours(1));
    CHECK_EQUAL(0U, owner.state.table.byteCount);
    CHECK_EQUAL(0U, owner.state.table.entryCount);
    CHECK_EQUAL(0U, owner.state.table.refusalCount);
    CHECK(owner.state.table.expiries.empty());
}

TEST(KeyMachine, ARetryLoopAcrossTheEndOfTheWaitNeverRuns)
{
    owner.takeOver();
    for (int minute = 0; minute < 60; ++minute) {
        owner.send("opaque");
        CHECK(owner.did<Dispatch>() == nullptr);
        CHECK(owner.told().outcome == Outcome::Unknown);
        owner.pass(std::chrono::seconds(59));
    }
}

TEST(KeyMachine, AfterATakeoverOnlyKeysThatAreNewerRunAtOnce)
{
    owner.takeOver();
    std::int64_t takenOverAt = owner.wallMs();
    owner.pass(std::chrono::seconds(20));
    owner.send(uuidAt(takenOverAt + 4000));
    CHECK(owner.did<Dispatch>() == nullptr);
    owner.send(uuidAt(takenOverAt + 6000));
    CHECK(owner.did<Dispatch>() != nullptr);
}

TEST(KeyMachine, AKeyOlderThanTheRetentionIsNeverRunAlsoAfterTheRetentionHasGrown)
{
    owner.own();
    std::string key = uuidAt(owner.wallMs());
    owner.send(key);
    owner.finish(Outcome::Answered);
    owner.pass(std::chrono::minutes(11));
    owner.send(key);
    CHECK(owner.did<Dispatch>() == nullptr);
    KeyPolicy longer;
    longer.retention = std::chrono::hours(2);
    owner.take(PolicyChanged { "pay", longer });
    owner.send(key);
    CHECK(owner.did<Dispatch>() == nullptr);
    CHECK_EQUAL(422U, owner.told().status);
}

TEST(KeyMachine, RefusesWhatWasUnderWayWhenTheMachineWasSuspended)
{
    owner.own();
    KeyedRequest old = owner.message("k");
    // The steady clock stood still; the wall clock went on.
    owner.now += std::chrono::milliseconds(5);
    old.wall = { owner.wallMs() + 3600000, owner.now, Duration(0) };
    owner.take(old);
    CHECK(owner.did<Dispatch>() == nullptr);
    CHECK(owner.did<RefuseRequest>() != nullptr);
}

TEST(KeyMachine, RefusesOldAndUndatedMessagesBeforeAnyEntryIsMade)
{
    owner.own();
    KeyedRequest message = owner.message("k");
    message.ownerStamp = owner.now - owner.state.limits.longestFlight - std::chrono::seconds(1);
    owner.take(message);
    CHECK(owner.did<RefuseRequest>() != nullptr);
    message.ownerStamp.reset();
    owner.take(message);
    CHECK(owner.did<RefuseRequest>() != nullptr);
    message = owner.message("k");
    ++message.epoch;
    owner.take(message);
    CHECK(owner.did<RefuseRequest>() != nullptr);
    CHECK_EQUAL(0U, owner.state.table.entryCount);
}

TEST(KeyMachine, ACancelIsAConfirmationOnlyOnTheDispatchersWord)
{
    owner.own();
    owner.send("k");
    owner.take(CancelRequested { { { "entry", 1 }, owner.counter } });
    CHECK(owner.did<CancelDispatch>() != nullptr);
    CHECK(owner.did<AnswerRequest>() == nullptr);
    owner.finish(Outcome::NotRun);
    CHECK(owner.told().outcome == Outcome::NotRun);
}

TEST(KeyMachine, ABootDuringAnOutageWaitsForTheStore)
{
    owner.take(ClaimWanted { { "pay", 0 } });
    for (int second = 0; second < 100; ++second) {
        owner.take(RecordRead { { "pay", 0 }, ReadResult::Failed, {} });
        owner.pass(std::chrono::seconds(1));
        CHECK(owner.did<ReadRecord>() != nullptr);
        CHECK(owner.did<WriteRecord>() == nullptr);
    }
}

TEST(KeyMachine, SendsARequestAfterARangeThatMovesTwiceInQuickSuccession)
{
    const std::array<DaemonId, 3> owners { DaemonId { "vm2", 1 }, DaemonId { "vm3", 1 }, DaemonId { "vm4", 1 } };
    for (int beat = 0; beat < 40; ++beat) {
        for (const DaemonId& each : owners)
            owner.take(HeartbeatReceived { each, owner.now, owner.wallMs() });
        owner.pass(std::chrono::seconds(1));
    }
    const auto record = [&owners](std::uint64_t epoch) { return RangeRecord { { "pay", 0 }, owners.at(epoch - 1), {}, epoch, "other", "7" }; };
    owner.take(OwnerAnnounced { record(1) });
    Request request = owner.message("key").request;
    owner.take(CallerRequest { request });
    for (std::uint64_t epoch = 1; epoch <= 3; ++epoch) {
        const auto* forward = owner.did<Forward>();
        CHECK(forward != nullptr);
        CHECK_EQUAL(epoch, forward->message.epoch);
        // Each owner made no entry: it has handed the range on meanwhile.
        if (epoch < 3)
            owner.take(ForwardRefused { request.id, record(epoch + 1) });
    }
}

TEST(KeyMachine, SendsARequestAgainOnceTheNewOwnerIsReady)
{
    const DaemonId next { "vm2", 1 };
    for (int beat = 0; beat < 40; ++beat) {
        owner.take(HeartbeatReceived { next, owner.now, owner.wallMs() });
        owner.pass(std::chrono::seconds(1));
    }
    const RangeRecord record { { "pay", 0 }, next, {}, 2, "former/2", "7" };
    // The former owner announces the next one, which has yet to take the entries and refuses.
    owner.take(OwnerAnnounced { record });
    Request request = owner.message("key").request;
    owner.take(CallerRequest { request });
    CHECK(owner.did<Forward>() != nullptr);
    owner.take(ForwardRefused { request.id, std::nullopt });
    owner.take(RecordRead { record.id, ReadResult::Found, record });
    CHECK(owner.did<Forward>() == nullptr);
    // It announces itself when it acts, in the same epoch.
    owner.take(OwnerAnnounced { record });
    CHECK(owner.did<Forward>() != nullptr);
}

TEST(KeyMachine, ReadsTheRecordAgainWhenItsNewOwnerIsAnnouncedDuringARead)
{
    const DaemonId former { "vm2", 1 };
    const RangeRecord before { { "pay", 0 }, former, {}, 1, "former/1", "7" };
    const RangeRecord after { { "pay", 0 }, owner.state.self, former, 2, "former/2", "8" };
    HandedRange handed;
    handed.id = after.id;
    handed.from = former;
    handed.epochEnded = 1;
    owner.take(EntriesReceived { handed });
    CHECK(owner.did<ReadRecord>() != nullptr);
    // The record is written and announced after the store has read the one before.
    owner.take(OwnerAnnounced { after });
    owner.take(RecordRead { before.id, ReadResult::Found, before });
    CHECK(owner.did<ReadRecord>() != nullptr);
    owner.take(RecordRead { after.id, ReadResult::Found, after });
    CHECK(owner.state.holdings[after.id].status == HoldingStatus::Active);
}

TEST(KeyMachine, DoesNotKeepReadingARecordThatStaysBehindItsAnnouncement)
{
    const DaemonId former { "vm2", 1 };
    const RangeRecord before { { "pay", 0 }, former, {}, 1, "former/1", "7" };
    const RangeRecord after { { "pay", 0 }, owner.state.self, former, 2, "former/2", "8" };
    owner.take(OwnerAnnounced { after });
    owner.take(OwnerAnnounced { after });
    owner.take(RecordRead { before.id, ReadResult::Found, before });
    CHECK(owner.did<ReadRecord>() != nullptr);
    owner.take(RecordRead { before.id, ReadResult::Found, before });
    CHECK(owner.did<ReadRecord>() == nullptr);
}

TEST(KeyMachine, StopsWhenTheStoreNamesAnotherOwner)
{
    owner.own();
    RangeRecord record { { "pay", 0 }, { "vm9", 1 }, owner.state.self, 2, "vm9/1/1", "9" };
    CHECK_THROWS(InvariantViolation, owner.take(RecordRead { record.id, ReadResult::Found, record }));
}
