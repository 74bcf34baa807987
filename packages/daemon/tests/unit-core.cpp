#include "FakePorts.h"

#include "flamingowick/daemon/StoredForms.h"
#include "flamingowick/keys/Placement.h"

#include <algorithm>

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::daemon;

namespace {

constexpr std::string_view documentText = R"({"name": "ledger", "routes": [{"host": "ledger.example", "pathPrefix": "/"}]})";

platform::Object makeSource()
{
    platform::Object object;
    object.plural = platform::Plural::ServiceDocuments;
    object.name = "ledger";
    object.resourceVersion = "1";
    object.specJson = R"({"text": "{\"name\": \"ledger\", \"routes\": [{\"host\": \"ledger.example\", \"pathPrefix\": \"/\"}]}"})";
    return object;
}

platform::Object makeAccepted()
{
    configuration::AcceptedDocument document;
    document.service = "ledger";
    document.version = 1;
    document.revision = 1;
    document.checked = configuration::markOf(readSource(makeSource()));
    document.text = documentText;
    return writeAccepted(document, "2");
}

platform::Object makeTargets()
{
    platform::Object object;
    object.plural = platform::Plural::TargetLists;
    object.name = "ledger";
    object.resourceVersion = "2";
    object.specJson = R"({"targets": [{"address": "127.0.0.1:9001", "failureDomain": "a", "state": "live"}]})";
    return object;
}

DaemonSettings makeSettings()
{
    DaemonSettings settings;
    settings.vm = "vm-1";
    settings.failureDomain = "a";
    settings.peerAddress = "127.0.0.1:1";
    settings.seeds = { "127.0.0.1:2" };
    settings.shutdownGrace = std::chrono::seconds(1);
    return settings;
}

}

TEST_GROUP(Core)
{
    FakePorts ports;
    DaemonId self { "vm-1", 10 };
    std::unique_ptr<Core> core;
    gateway::ExchangeToken tokens { 0 };

    void setup() override
    {
        Clock::pause();
        this->core = std::make_unique<Core>(makeSettings(), this->self, this->ports.make(), 1, Clock::now());
        this->core->tick(Clock::now());
        this->showList(platform::Plural::ServiceDocuments, makeSource());
        this->showList(platform::Plural::AcceptedDocuments, makeAccepted());
        this->showList(platform::Plural::TargetLists, makeTargets());
    }

    // Answers the core's watch of a kind with one object.
    void showList(platform::Plural plural, const platform::Object& object)
    {
        for (const platform::Call& call : std::vector<platform::Call>(this->ports.calls)) {
            const auto* watch = std::get_if<platform::Watch>(&call);
            if (watch != nullptr && watch->plural == plural)
                this->core->handle(platform::Result(platform::WatchSnapshot { watch->id, { object }, "9" }), Clock::now());
        }
    }

    void teardown() override
    {
        this->core.reset();
        Clock::resume();
    }

    gateway::ExchangeToken call(std::string_view method, std::string_view host = "ledger.example")
    {
        gateway::HttpRequest request;
        request.token = ++this->tokens;
        request.method = method;
        request.target = "/x";
        request.headers = { { "Host", std::string(host) }, { "Connection", "keep-alive, X-Private" }, { "X-Private", "1" } };
        request.remoteAddress = "127.0.0.1";
        this->core->handle(CallerRequest { std::move(request) }, Clock::now());
        return this->tokens;
    }

    void endAttempt(gateway::AttemptEnd end, unsigned status)
    {
        gateway::AttemptResult result;
        result.attempt = this->ports.attempts.back().attempt;
        result.end = end;
        result.status = status;
        result.body = "whole answer";
        this->core->handle(std::move(result), Clock::now());
    }

    // Joins as many peers as are needed for one of them to come before this daemon in rank.
    void joinPeers()
    {
        for (int number = 2; number < 10; ++number) {
            std::string vm = "vm-" + std::to_string(number);
            std::string address = "127.0.0.1:" + std::to_string(number);
            membership::Update update { { { vm, 20 }, "b", address }, membership::Status::Alive, 0, {} };
            peers::Envelope envelope { { vm, 20 }, address, 0, 0, membership::Message(membership::Ping { 1, {}, { update } }) };
            this->core->handle(std::move(envelope), Clock::now());
        }
    }

    // Names the peer that joinPeers() gave the address.
    static std::string vmAt(const std::string& address) { return "vm-" + address.substr(address.find(':') + 1); }

    // Lets such a peer say that it leaves.
    void leave(const std::string& address)
    {
        const DaemonId peer { vmAt(address), 20 };
        membership::Update update { { peer, "b", address }, membership::Status::Left, 0, {} };
        this->core->handle(peers::Envelope { peer, address, 0, 0, membership::Message(membership::Ping { 2, {}, { update } }) }, Clock::now());
    }

    void join(const DaemonId& peer)
    {
        membership::Update update { { peer, "b", "127.0.0.1:2" }, membership::Status::Alive, 0, {} };
        this->core->handle(peers::Envelope { peer, "127.0.0.1:2", 0, 0, membership::Message(membership::Ping { 1, {}, { update } }) }, Clock::now());
    }

    // Lets a peer's heartbeats be heard for as long as they need to count.
    void hear(const DaemonId& peer)
    {
        for (int beat = 0; beat < 4; ++beat) {
            this->core->handle(peers::Envelope { peer, "127.0.0.1:2", 0, 0, peers::KeyHeartbeat { Clock::now(), wallClockMilliseconds() } }, Clock::now());
            this->core->handle(peers::Envelope { this->self, "127.0.0.1:1", 0, 0, peers::KeyHeartbeat { Clock::now(), wallClockMilliseconds() } }, Clock::now());
            this->join(peer);
            this->core->tick(Clock::now());
            Clock::advance(std::chrono::milliseconds(600));
        }
    }

    // Hands this daemon a range that the placement would give to the sender, vm-2.
    void takeRangeFrom(const DaemonId& sender)
    {
        std::vector<std::string> vms { this->self.vm, sender.vm };
        keys::RangeRecord record { { "ledger", 0 }, this->self, sender, 2, "change", {} };
        while (keys::preferredOwner(record.id, vms) != sender.vm)
            ++record.id.range;
        this->core->handle(peers::Envelope { sender, "127.0.0.1:2", 0, 0, keys::HandedRange { record.id, sender, 1, {}, {}, false, {}, {}, {}, 0 } }, Clock::now());
        this->core->handle(peers::Envelope { sender, "127.0.0.1:2", 0, 0, keys::OwnerAnnounced { record } }, Clock::now());
        const auto& read = std::get<platform::Get>(this->ports.calls.back());
        this->core->handle(platform::Result(platform::Found { read.id, { writeRecord(record, "5") }, "5" }), Clock::now());
    }

    // Counts the writes of key ranges' records that follow an earlier version.
    std::size_t recordWrites() const
    {
        return static_cast<std::size_t>(std::count_if(this->ports.calls.begin(), this->ports.calls.end(), [](const platform::Call& call) {
            const auto* put = std::get_if<platform::Put>(&call);
            return put != nullptr && put->object.plural == platform::Plural::KeyRanges;
        }));
    }

    const peers::ForwardRequest& lastForward() const
    {
        return std::get<peers::ForwardRequest>(this->ports.last<peers::ForwardRequest>()->message);
    }
};

TEST(Core, PassesATargetsWholeAnswerToTheCaller)
{
    gateway::ExchangeToken token = call("GET");
    CHECK_EQUAL(1U, ports.attempts.size());
    STRCMP_EQUAL("127.0.0.1:9001", ports.attempts[0].target.c_str());
    CHECK(gateway::findHeader(ports.attempts[0].headers, "X-Private") == nullptr);
    endAttempt(gateway::AttemptEnd::Answered, 200);
    CHECK_EQUAL(1U, ports.responses.size());
    CHECK_EQUAL(token, ports.responses[0].token);
    STRCMP_EQUAL("whole answer", ports.responses[0].response.body.c_str());
    STRCMP_EQUAL("answered", headerOf(ports.responses[0].response, "X-Outcome").c_str());
}

TEST(Core, SaysThatARouteIsMissingOnlyWithAllDocuments)
{
    call("GET", "other.example");
    CHECK_EQUAL(503U, ports.responses[0].response.status);
    STRCMP_EQUAL("1", headerOf(ports.responses[0].response, "Retry-After").c_str());
    for (int step = 0; step < 70; ++step) {
        Clock::advance(std::chrono::milliseconds(100));
        core->tick(Clock::now());
    }
    call("GET", "other.example");
    CHECK_EQUAL(404U, ports.responses[1].response.status);
    STRCMP_EQUAL("not-run", headerOf(ports.responses[1].response, "X-Outcome").c_str());
}

TEST(Core, CallsALostPaymentUnknownAndDoesNotSendItAgain)
{
    call("POST");
    endAttempt(gateway::AttemptEnd::ConnectionLost, 0);
    CHECK_EQUAL(1U, ports.attempts.size());
    STRCMP_EQUAL("unknown", headerOf(ports.responses[0].response, "X-Outcome").c_str());
    CHECK(!headerOf(ports.responses[0].response, "Retry-After").empty());
}

TEST(Core, TriesTheNextDispatcherWhenNothingWasSent)
{
    joinPeers();
    call("POST");
    CHECK(ports.last<peers::ForwardRequest>() != nullptr);
    std::string firstAddress = ports.last<peers::ForwardRequest>()->address;
    core->handle(PeerNotSent { firstAddress, lastForward() }, Clock::now());
    CHECK(firstAddress != ports.last<peers::ForwardRequest>()->address);
    CHECK_EQUAL(2U, lastForward().attempt);
}

TEST(Core, CallsAPaymentUnknownWhenItsDispatcherIsLost)
{
    joinPeers();
    call("POST");
    core->handle(PeerLinkLost { ports.last<peers::ForwardRequest>()->address }, Clock::now());
    CHECK_EQUAL(1U, ports.responses.size());
    STRCMP_EQUAL("unknown", headerOf(ports.responses[0].response, "X-Outcome").c_str());
}

TEST(Core, SendsALookUpOnceMoreWhenItsDispatcherIsLost)
{
    joinPeers();
    call("GET");
    std::string firstAddress = ports.last<peers::ForwardRequest>()->address;
    core->handle(PeerLinkLost { firstAddress }, Clock::now());
    CHECK_EQUAL(0U, ports.responses.size());
    CHECK(firstAddress != ports.last<peers::ForwardRequest>()->address);
    // The second dispatcher refuses; the first may have run it all the same.
    peers::ForwardAnswer answer { lastForward().request.id, 2, makeProblem(503, Outcome::NotRun, "queue-full", std::chrono::seconds(1)) };
    core->handle(peers::Envelope { { "vm-9", 20 }, "127.0.0.1:9", 10, 0, answer }, Clock::now());
    STRCMP_EQUAL("unknown", headerOf(ports.responses[0].response, "X-Outcome").c_str());
}

TEST(Core, DropsAnAnswerOfAnEarlierAttempt)
{
    joinPeers();
    call("GET");
    RequestId id = lastForward().request.id;
    core->handle(PeerLinkLost { ports.last<peers::ForwardRequest>()->address }, Clock::now());
    peers::ForwardAnswer late { id, 1, Answer { 200, {}, "late", Outcome::Answered, {}, {}, {} } };
    core->handle(peers::Envelope { { "vm-2", 20 }, "127.0.0.1:2", 10, 0, late }, Clock::now());
    CHECK_EQUAL(0U, ports.responses.size());
    late.attempt = 2;
    core->handle(peers::Envelope { { "vm-3", 20 }, "127.0.0.1:3", 10, 0, late }, Clock::now());
    core->handle(peers::Envelope { { "vm-3", 20 }, "127.0.0.1:3", 10, 0, late }, Clock::now());
    CHECK_EQUAL(1U, ports.responses.size());
}

TEST(Core, CancelsTheAttemptOfACallerThatHangsUp)
{
    gateway::ExchangeToken token = call("GET");
    core->handle(CallerGone { token }, Clock::now());
    CHECK_EQUAL(1U, ports.cancelled.size());
    CHECK_EQUAL(ports.attempts[0].attempt, ports.cancelled[0]);
}

TEST(Core, GivesUpAtTheDeadline)
{
    call("POST");
    Clock::advance(std::chrono::seconds(11));
    core->tick(Clock::now());
    CHECK_EQUAL(504U, ports.responses[0].response.status);
    STRCMP_EQUAL("unknown", headerOf(ports.responses[0].response, "X-Outcome").c_str());
}

TEST(Core, FinishesRequestsInFlightBeforeAShutdownEnds)
{
    call("GET");
    core->handle(ShutdownRequested {}, Clock::now());
    Clock::advance(std::chrono::seconds(2));
    core->tick(Clock::now());
    CHECK(ports.acceptingStopped);
    CHECK(!ports.finished);
    endAttempt(gateway::AttemptEnd::Answered, 200);
    core->tick(Clock::now());
    // Requests may still be on their way from daemons that haven't heard that it leaves.
    CHECK(!ports.finished);
    Clock::advance(std::chrono::milliseconds(500));
    core->tick(Clock::now());
    CHECK(ports.finished);
}

TEST(Core, WaitsForTheAnswerOfADispatcherThatHasLeft)
{
    joinPeers();
    call("POST");
    const std::string address = ports.last<peers::ForwardRequest>()->address;
    leave(address);
    CHECK_EQUAL(0U, ports.responses.size());
    peers::ForwardAnswer answer { lastForward().request.id, 1, Answer { 200, {}, "done", Outcome::Answered, {}, {}, {} } };
    core->handle(peers::Envelope { { vmAt(address), 20 }, address, 10, 0, answer }, Clock::now());
    CHECK_EQUAL(200U, ports.responses[0].response.status);
}

TEST(Core, GivesUpOnADispatcherThatHasLeftWithoutAnAnswer)
{
    joinPeers();
    call("POST");
    leave(ports.last<peers::ForwardRequest>()->address);
    Clock::advance(std::chrono::seconds(3));
    core->tick(Clock::now());
    CHECK_EQUAL(1U, ports.responses.size());
    STRCMP_EQUAL("unknown", headerOf(ports.responses[0].response, "X-Outcome").c_str());
}

TEST(Core, DoesNotHandARangeBackToTheDaemonThatGaveItUp)
{
    join({ "vm-2", 20 });
    hear({ "vm-2", 20 });
    takeRangeFrom({ "vm-2", 20 });
    Clock::advance(std::chrono::seconds(2));
    core->tick(Clock::now());
    CHECK_EQUAL(0U, recordWrites());
}

TEST(Core, HandsARangeToTheNextLifeOfTheDaemonThatGaveItUp)
{
    join({ "vm-2", 21 });
    hear({ "vm-2", 21 });
    takeRangeFrom({ "vm-2", 20 });
    Clock::advance(std::chrono::seconds(2));
    core->tick(Clock::now());
    CHECK_EQUAL(1U, recordWrites());
}

TEST(Core, HandsNoRangeToADaemonWhoseHeartbeatsAreNew)
{
    join({ "vm-2", 21 });
    takeRangeFrom({ "vm-2", 20 });
    Clock::advance(std::chrono::seconds(2));
    core->tick(Clock::now());
    CHECK_EQUAL(0U, recordWrites());
}

TEST(Core, IsReadyOnlyOnceItHearsTheOwnersOfKeys)
{
    for (int second = 0; second < 7; ++second) {
        join({ "vm-2", 20 });
        core->tick(Clock::now());
        Clock::advance(std::chrono::seconds(1));
    }
    CHECK(!core->ready());
    hear({ "vm-2", 20 });
    CHECK(core->ready());
}
