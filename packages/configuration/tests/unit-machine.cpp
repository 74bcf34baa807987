#include "FakeFleet.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/settings/ServiceDocumentText.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::configuration;
using namespace flamingowick::configuration::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

AcceptedDocument makeDocument(const std::string& service, std::uint64_t revision)
{
    AcceptedDocument document;
    document.service = service;
    document.version = document.revision = revision;
    document.text = service + " " + std::to_string(revision) + " ok";
    document.checked = { true, std::to_string(revision), 0 };
    return document;
}

template <typename Wanted>
std::vector<Wanted> pick(const std::vector<Action>& actions)
{
    std::vector<Wanted> picked;
    for (const Action& action : actions) {
        if (const auto* wanted = std::get_if<Wanted>(&action))
            picked.push_back(*wanted);
    }
    return picked;
}

}

TEST_GROUP(StateMachine)
{
    Policy policy { fakePolicy() };
    TimePoint now { seconds(1000) };
    State state { makeState("vm0", "domain0", 1, 1, now) };

    std::vector<Action> give(const Event& event) { return handle(this->state, this->policy, event, this->now); }

    std::vector<Action> give(const std::string& from, PeerMessage message) { return this->give(MessageReceived { from, std::move(message) }); }

    // Lets the time pass with ticks and returns all that was asked for.
    std::vector<Action> wait(Duration duration)
    {
        std::vector<Action> all;
        for (const TimePoint end = this->now + duration; this->now < end;) {
            this->now += milliseconds(100);
            for (Action& action : this->give(Tick {}))
                all.push_back(std::move(action));
        }
        return all;
    }

    // Makes the daemon one of so many in its failure domain.
    void join(int vms)
    {
        MembersChanged event;
        for (int vm = 0; vm < vms; ++vm)
            event.members.push_back({ "vm" + std::to_string(vm), "domain0" });
        this->give(event);
    }

    // Answers each digest exchange that the daemon opens, as ready peers with this root would.
    bool bootsAgainst(std::uint64_t root, const std::set<std::string>& answering, Duration duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end;) {
            this->now += milliseconds(100);
            const auto actions = this->give(Tick {});
            if (!pick<BecomeReady>(actions).empty())
                return true;
            for (const SendMessage& sent : pick<SendMessage>(actions)) {
                if (answering.contains(sent.to))
                    this->give(sent.to, DigestSummary { std::get<DigestSummary>(sent.message).exchange, root, true, true });
            }
        }
        return false;
    }
};

TEST(StateMachine, becomesReadyOnceTwoReadyPeersAgree)
{
    this->join(5);
    CHECK(this->bootsAgainst(0, { "vm1", "vm2" }, seconds(4)));
}

TEST(StateMachine, makesDoWithOneReadyPeerAfterTheGrace)
{
    this->join(5);
    CHECK(!this->bootsAgainst(0, { "vm1" }, milliseconds(4800)));
    CHECK(this->bootsAgainst(0, { "vm1" }, seconds(5)));
}

TEST(StateMachine, isNeverReadyOnItsOwnDuringAnOutage)
{
    this->join(5);
    CHECK(!this->bootsAgainst(0, {}, std::chrono::hours(1)));
}

TEST(StateMachine, isNotReadyWhileReadyPeersHoldMore)
{
    this->join(5);
    CHECK(!this->bootsAgainst(99, { "vm1", "vm2" }, seconds(60)));
}

TEST(StateMachine, acceptsOnceTheStoreIsBackAndItsAnswersAreLost)
{
    this->join(1);
    this->give(WatchListed {});
    const SourceObject source { "parts", "7", "parts 7 ok", "amal" };
    this->give(SourceNoticed { "parts", markOf(source) });
    const auto reads = pick<ReadAccepted>(this->wait(milliseconds(100)));
    CHECK_EQUAL(1U, reads.size());
    // The read is never answered, and tried again.
    const auto again = pick<ReadAccepted>(this->wait(seconds(4)));
    CHECK_EQUAL(1U, again.size());
    CHECK(this->give(AcceptedRead { "parts", reads[0].ticket, std::nullopt }).empty());
    const auto sources = pick<ReadSource>(this->give(AcceptedRead { "parts", again[0].ticket, std::nullopt }));
    const auto writes = pick<WriteAccepted>(this->give(SourceRead { "parts", sources[0].ticket, source, 1000 }));
    STRCMP_EQUAL("", writes[0].expectedVersion.c_str());
    // The write took effect, but its answer is lost: not in force until it is read back.
    CHECK(this->give(WriteAnswered { "parts", writes[0].ticket, WriteOutcome::Unknown }).empty());
    const auto back = pick<ReadAccepted>(this->wait(seconds(2)));
    const auto applied = pick<ApplyDocument>(this->give(AcceptedRead { "parts", back[0].ticket, StoredDocument { writes[0].document, "o1" } }));
    CHECK_EQUAL(1U, applied[0].version);
}

TEST(StateMachine, leavesTheOldVersionInForceWhenItsProgramCannotReadTheNewOne)
{
    this->give("vm1", DocumentBatch { { makeDocument("parts", 1) } });
    AcceptedDocument newer = makeDocument("parts", 2);
    newer.text = "parts 2 of-a-later-program";
    CHECK(pick<ApplyDocument>(this->give("vm1", DocumentBatch { { newer } })).empty());
    CHECK_EQUAL(1U, findHeld(this->state, "parts")->appliedVersion);
    CHECK_EQUAL(2U, findHeld(this->state, "parts")->document.version);
}

TEST(StateMachine, checksWithTheRealParserInProduction)
{
    this->policy = productionPolicy();
    ServiceDocument document;
    document.name = "parts";
    document.routes = { { .host = "parts.example" } };
    AcceptedDocument accepted = makeDocument("parts", 1);
    accepted.text = settings::serviceDocumentJson(document);
    const auto applied = pick<ApplyDocument>(this->give("vm1", DocumentBatch { { accepted } }));
    CHECK(applied.at(0).document == document);
}

TEST(StateMachine, boundsItsMessages)
{
    this->join(2);
    DocumentRequest request;
    for (int index = 0; index < 10; ++index) {
        AcceptedDocument document = makeDocument("service" + std::to_string(index), 1);
        document.text.append(100'000, '\n');
        document.audit.resize(maxAuditEntries);
        this->give("vm1", DocumentBatch { { document } });
        request.services.push_back(document.service);
    }
    const auto sent = pick<SendMessage>(this->give("vm1", request));
    CHECK_EQUAL(1U, sent.size());
    const auto& batch = std::get<DocumentBatch>(sent[0].message);
    CHECK_EQUAL(2U, batch.documents.size());
    CHECK_EQUAL(peerAuditEntries, batch.documents[0].audit.size());
}

TEST(StateMachine, stopsAtOnceWhenAnOlderVersionWouldReplaceANewerOne)
{
    this->policy.supersedes = [](const AcceptedDocument&, const AcceptedDocument&) noexcept { return true; };
    this->give("vm1", DocumentBatch { { makeDocument("parts", 2) } });
    CHECK_THROWS(InvariantViolation, this->give("vm1", DocumentBatch { { makeDocument("parts", 1) } }));
}
