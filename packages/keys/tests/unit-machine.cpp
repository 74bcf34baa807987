#include "flamingowick/keys/KeyMachine.h"

#include "flamingowick/model/Error.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace flamingowick;
using namespace flamingowick::keys;

namespace {

constexpr std::int64_t wallStartMs = 1764720000000;

// A daemon that can own the only range of keys, with the actions of the last event.
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
    void handleEvent(const Event& event) { this->actions = handle(this->state, event, this->now); }
    void tick() { this->handleEvent(Tick { this->wall() }); }
    void advance(Duration duration)
    {
        this->now += duration;
        this->tick();
    }
    void claimRange()
    {
        this->handleEvent(ClaimWanted { { "pay", 0 } });
        this->handleEvent(RecordRead { { "pay", 0 }, ReadResult::Absent, {} });
        this->confirmWrite();
    }
    // Takes the range over from a daemon whose process is proven to have ended.
    void takeOver()
    {
        RangeRecord record { { "pay", 0 }, { "vm0", 90 }, {}, 1, "other/1", "7" };
        this->handleEvent(DeathProven { record.owner });
        this->handleEvent(ClaimWanted { record.id });
        this->handleEvent(RecordRead { record.id, ReadResult::Found, record });
        this->confirmWrite();
    }
    void confirmWrite()
    {
        const auto& write = std::get<WriteRecord>(this->actions.front());
        this->handleEvent(RecordWritten { write.record.id, write.record.changeId, WriteResult::Applied, "8" });
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
    void send(const std::string& key) { this->handleEvent(this->message(key)); }
    void finish(Outcome outcome)
    {
        Answer answer;
        answer.status = 200;
        answer.outcome = outcome;
        this->handleEvent(DispatchFinished { { { "entry", 1 }, this->counter }, answer });
    }
    template <typename Kind>
    const Kind* findAction() const
    {
        for (const Action& action : this->actions) {
            if (const auto* found = std::get_if<Kind>(&action))
                return found;
        }
        return nullptr;
    }
    Answer lastAnswer() const
    {
        const auto* answer = this->findAction<AnswerRequest>();
        return answer != nullptr ? answer->answer : Answer { 0, {}, {}, Outcome::Answered, {}, "no answer", {} };
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
    owner.claimRange();
    owner.send("k");
    CHECK(owner.findAction<Dispatch>() != nullptr);
    owner.send("k");
    CHECK_EQUAL(409U, owner.lastAnswer().status);
    CHECK(owner.lastAnswer().retryAfter.has_value());
    CHECK(owner.lastAnswer().outcome == Outcome::Unknown);
    owner.counter = 1;
    owner.finish(Outcome::Answered);
    owner.send("k");
    CHECK_EQUAL(200U, owner.lastAnswer().status);
    CHECK(owner.findAction<Dispatch>() == nullptr);
}

TEST(KeyMachine, RefusesAKeyThatIsUsedForAnotherRequestOrByAnotherCaller)
{
    owner.claimRange();
    owner.send("k");
    owner.finish(Outcome::Answered);
    KeyedRequest other = owner.message("k");
    other.request.body = "another amount";
    owner.handleEvent(other);
    CHECK_EQUAL(422U, owner.lastAnswer().status);
    other = owner.message("k");
    other.request.caller = "somebody else";
    owner.handleEvent(other);
    CHECK_EQUAL(422U, owner.lastAnswer().status);
}

TEST(KeyMachine, AnswersNotRunWhenFullAndErasesNoEntry)
{
    owner.state.limits.entries.maxEntries = 1;
    owner.claimRange();
    owner.send("first");
    owner.send("second");
    CHECK_EQUAL(503U, owner.lastAnswer().status);
    CHECK(owner.lastAnswer().outcome == Outcome::NotRun);
    owner.send("first");
    CHECK_EQUAL(409U, owner.lastAnswer().status);
}

TEST(KeyMachine, ReleasesAllCountedMemoryAfterExpiry)
{
    owner.claimRange();
    for (int key = 0; key < 100; ++key) {
        owner.send("k" + std::to_string(key));
        owner.finish(key % 3 == 0 ? Outcome::NotRun : Outcome::Answered);
    }
    CHECK(owner.state.table.byteCount > 0);
    owner.advance(std::chrono::hours(1));
    CHECK_EQUAL(0U, owner.state.table.byteCount);
    CHECK_EQUAL(0U, owner.state.table.entryCount);
    CHECK_EQUAL(0U, owner.state.table.refusalCount);
    CHECK(owner.state.table.expiries.empty());
}

TEST(KeyMachine, AKeyThatIsResentBeyondTheUnknownPeriodNeverRuns)
{
    owner.takeOver();
    for (int minute = 0; minute < 60; ++minute) {
        owner.send("opaque");
        CHECK(owner.findAction<Dispatch>() == nullptr);
        CHECK(owner.lastAnswer().outcome == Outcome::Unknown);
        owner.advance(std::chrono::seconds(59));
    }
}

TEST(KeyMachine, AfterATakeoverOnlyKeysThatAreNewerRunAtOnce)
{
    owner.takeOver();
    std::int64_t takenOverAt = owner.wallMs();
    owner.advance(std::chrono::seconds(20));
    owner.send(uuidAt(takenOverAt + 4000));
    CHECK(owner.findAction<Dispatch>() == nullptr);
    owner.send(uuidAt(takenOverAt + 6000));
    CHECK(owner.findAction<Dispatch>() != nullptr);
}

TEST(KeyMachine, AKeyOlderThanTheRetentionIsNeverRunAlsoAfterTheRetentionHasGrown)
{
    owner.claimRange();
    std::string key = uuidAt(owner.wallMs());
    owner.send(key);
    owner.finish(Outcome::Answered);
    owner.advance(std::chrono::minutes(11));
    owner.send(key);
    CHECK(owner.findAction<Dispatch>() == nullptr);
    KeyPolicy longer;
    longer.retention = std::chrono::hours(2);
    owner.handleEvent(PolicyChanged { "pay", longer });
    owner.send(key);
    CHECK(owner.findAction<Dispatch>() == nullptr);
    CHECK_EQUAL(422U, owner.lastAnswer().status);
}

TEST(KeyMachine, RefusesRequestsThatWereInFlightWhenTheMachineWasSuspended)
{
    owner.claimRange();
    KeyedRequest old = owner.message("k");
    // During a suspension the steady clock stops while the wall clock advances.
    owner.now += std::chrono::milliseconds(5);
    old.wall = { owner.wallMs() + 3600000, owner.now, Duration(0) };
    owner.handleEvent(old);
    CHECK(owner.findAction<Dispatch>() == nullptr);
    CHECK(owner.findAction<RefuseRequest>() != nullptr);
}

TEST(KeyMachine, RefusesOldAndUnstampedMessagesBeforeAnyEntryIsMade)
{
    owner.claimRange();
    KeyedRequest message = owner.message("k");
    message.ownerStamp = owner.now - owner.state.limits.longestFlight - std::chrono::seconds(1);
    owner.handleEvent(message);
    CHECK(owner.findAction<RefuseRequest>() != nullptr);
    message.ownerStamp.reset();
    owner.handleEvent(message);
    CHECK(owner.findAction<RefuseRequest>() != nullptr);
    message = owner.message("k");
    ++message.epoch;
    owner.handleEvent(message);
    CHECK(owner.findAction<RefuseRequest>() != nullptr);
    CHECK_EQUAL(0U, owner.state.table.entryCount);
}

TEST(KeyMachine, ACancellationIsAnsweredOnlyAfterTheDispatcherConfirmsIt)
{
    owner.claimRange();
    owner.send("k");
    owner.handleEvent(CancelRequested { { { "entry", 1 }, owner.counter } });
    CHECK(owner.findAction<CancelDispatch>() != nullptr);
    CHECK(owner.findAction<AnswerRequest>() == nullptr);
    owner.finish(Outcome::NotRun);
    CHECK(owner.lastAnswer().outcome == Outcome::NotRun);
}

TEST(KeyMachine, AStartDuringAnOutageWaitsForTheStore)
{
    owner.handleEvent(ClaimWanted { { "pay", 0 } });
    for (int second = 0; second < 100; ++second) {
        owner.handleEvent(RecordRead { { "pay", 0 }, ReadResult::Failed, {} });
        owner.advance(std::chrono::seconds(1));
        CHECK(owner.findAction<ReadRecord>() != nullptr);
        CHECK(owner.findAction<WriteRecord>() == nullptr);
    }
}

TEST(KeyMachine, ForwardsARequestToEachOwnerOfARangeThatIsHandedOverTwice)
{
    const std::array<DaemonId, 3> owners { DaemonId { "vm2", 1 }, DaemonId { "vm3", 1 }, DaemonId { "vm4", 1 } };
    for (int beat = 0; beat < 40; ++beat) {
        for (const DaemonId& each : owners)
            owner.handleEvent(HeartbeatReceived { each, owner.now, owner.wallMs() });
        owner.advance(std::chrono::seconds(1));
    }
    const auto record = [&owners](std::uint64_t epoch) { return RangeRecord { { "pay", 0 }, owners.at(epoch - 1), {}, epoch, "other", "7" }; };
    owner.handleEvent(OwnerAnnounced { record(1) });
    Request request = owner.message("key").request;
    owner.handleEvent(CallerRequest { request });
    for (std::uint64_t epoch = 1; epoch <= 3; ++epoch) {
        const auto* forward = owner.findAction<Forward>();
        CHECK(forward != nullptr);
        CHECK_EQUAL(epoch, forward->message.epoch);
        // Each owner has handed over the range before the request arrives, so it refuses and makes no entry.
        if (epoch < 3)
            owner.handleEvent(ForwardRefused { request.id, record(epoch + 1) });
    }
}

TEST(KeyMachine, SendsARequestAgainOnceTheNewOwnerIsReady)
{
    const DaemonId next { "vm2", 1 };
    for (int beat = 0; beat < 40; ++beat) {
        owner.handleEvent(HeartbeatReceived { next, owner.now, owner.wallMs() });
        owner.advance(std::chrono::seconds(1));
    }
    const RangeRecord record { { "pay", 0 }, next, {}, 2, "former/2", "7" };
    // The previous owner announces the new one, which has not received the entries yet and refuses.
    owner.handleEvent(OwnerAnnounced { record });
    Request request = owner.message("key").request;
    owner.handleEvent(CallerRequest { request });
    CHECK(owner.findAction<Forward>() != nullptr);
    owner.handleEvent(ForwardRefused { request.id, std::nullopt });
    owner.handleEvent(RecordRead { record.id, ReadResult::Found, record });
    CHECK(owner.findAction<Forward>() == nullptr);
    // The new owner announces itself in the same epoch once it is active.
    owner.handleEvent(OwnerAnnounced { record });
    CHECK(owner.findAction<Forward>() != nullptr);
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
    owner.handleEvent(EntriesReceived { handed });
    CHECK(owner.findAction<ReadRecord>() != nullptr);
    // The new record is written and announced after the store has read the previous one.
    owner.handleEvent(OwnerAnnounced { after });
    owner.handleEvent(RecordRead { before.id, ReadResult::Found, before });
    CHECK(owner.findAction<ReadRecord>() != nullptr);
    owner.handleEvent(RecordRead { after.id, ReadResult::Found, after });
    CHECK(owner.state.holdings[after.id].status == HoldingStatus::Active);
}

TEST(KeyMachine, DoesNotKeepReadingARecordThatStaysBehindItsAnnouncement)
{
    const DaemonId former { "vm2", 1 };
    const RangeRecord before { { "pay", 0 }, former, {}, 1, "former/1", "7" };
    const RangeRecord after { { "pay", 0 }, owner.state.self, former, 2, "former/2", "8" };
    owner.handleEvent(OwnerAnnounced { after });
    owner.handleEvent(OwnerAnnounced { after });
    owner.handleEvent(RecordRead { before.id, ReadResult::Found, before });
    CHECK(owner.findAction<ReadRecord>() != nullptr);
    owner.handleEvent(RecordRead { before.id, ReadResult::Found, before });
    CHECK(owner.findAction<ReadRecord>() == nullptr);
}

TEST(KeyMachine, StopsWhenTheStoreNamesAnotherOwner)
{
    owner.claimRange();
    RangeRecord record { { "pay", 0 }, { "vm9", 1 }, owner.state.self, 2, "vm9/1/1", "9" };
    CHECK_THROWS(InvariantViolation, owner.handleEvent(RecordRead { record.id, ReadResult::Found, record }));
}
