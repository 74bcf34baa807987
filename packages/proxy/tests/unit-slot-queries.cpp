#include "ProxyTestBed.h"

#include <set>

using namespace flamingowick;
using namespace flamingowick::proxy;

// What a dispatcher believes of occupied slots agrees with what the entries run, also when messages are lost.

TEST_GROUP(SlotQueries)
{
    static constexpr std::string_view group = "stock/0/1";

    ProxyTestBed testBed;
    // A daemon of which only the datagrams exist.
    std::string peerAddress { freeAddress() };
    std::unique_ptr<PeerLink> peer;
    unsigned granted { 0 };
    // Numbers of the grant requests that the peer has received.
    std::set<std::uint64_t> requested;
    std::set<std::uint64_t> queried;
    std::set<std::uint64_t> ended;

    void startPeer(std::uint64_t incarnation)
    {
        PeerHandlers handlers;
        handlers.onGrantRequest = [this](const PeerSource&, const GrantRequestMessage& message) { requested.insert(message.number); };
        handlers.onGrantReply = [this](const PeerSource&, const GrantReplyMessage& reply) { granted += reply.kind == GrantReplyKind::Granted ? 1 : 0; };
        handlers.onAttemptEnd = [this](const PeerSource&, const AttemptEndMessage& message) { ended.insert(message.number); };
        handlers.onRunningAttempt = [](const PeerSource&, const RunningAttemptMessage&) {};
        handlers.onAttemptQuery = [this](const PeerSource&, const AttemptQueryMessage& message) { queried.insert(message.number); };
        handlers.onPresence = [](const PeerSource&, const PresenceMessage&) {};
        handlers.onCrash = [](const PeerSource&, const CrashMessage&) {};
        handlers.onSurvival = [](const PeerSource&, const SurvivalMessage&) {};
        handlers.onQuarantine = [](const PeerSource&, const quarantine::QuarantineNotice&) {};
        peer.reset();
        peer = std::make_unique<PeerLink>(testBed.io, peerAddress, incarnation, handlers);
    }

    // Adds the peer to the members that the daemons know.
    void joinPeer(const std::string& name)
    {
        std::vector<FleetMember> members { { name, peerAddress, "a" } };
        for (const ProxySettings& known : testBed.settings)
            members.push_back({ known.vm, known.peerAddress, "a" });
        for (const auto& proxy : testBed.proxies)
            proxy->setMembers(members);
    }

    void requestGrant(std::uint64_t number)
    {
        const unsigned before = granted;
        GrantRequestMessage message;
        message.number = number;
        message.group = group;
        message.timeLeft = seconds(10);
        message.request.latencyObjective = seconds(1);
        peer->send(testBed.settings.front().peerAddress, message);
        CHECK(testBed.runUntil([&] { return granted > before; }));
    }

    // Returns the attempt that occupies the only slot.
    grants::AttemptId onlyAttempt() const
    {
        CHECK_EQUAL(1, occupiedSlots());
        return testBed.proxies.front()->dispatcherHost().pools().find(group)->second.instanceByAttempt.begin()->first;
    }

    std::size_t occupiedSlots() const { return testBed.proxies.front()->dispatcherHost().pools().find(group)->second.instanceByAttempt.size(); }

    void startWithTarget(ScriptedTarget::Script script)
    {
        testBed.addTarget(std::move(script));
        testBed.start(1, false, seconds(10));
    }

    static std::optional<std::string> respondWell(const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); }
};

// Guards against slots that stay occupied because the message that an attempt has ended was lost.
TEST(SlotQueries, FreeASlotWhoseEntryNoLongerUsesIt)
{
    startWithTarget(respondWell);
    startPeer(77);
    requestGrant(5);
    CHECK_EQUAL(1, occupiedSlots());
    CHECK(testBed.runUntil([&] { return queried.contains(5); }, seconds(2)));
    peer->send(testBed.settings.front().peerAddress, AttemptEndMessage { 5, {}, grants::AttemptOutcome::Abandoned, Duration::zero() });
    CHECK(testBed.runUntil([&] { return occupiedSlots() == 0; }));
}

TEST(SlotQueries, AreAnsweredWithTheEndOfAttemptsThatDoNotRun)
{
    startWithTarget([](const HttpMessage&) { return std::nullopt; });
    startPeer(77);
    auto caller = testBed.connectCaller();
    caller->send(makeRequest("r1", "POST", "x", "9000"));
    CHECK(testBed.runUntil([&] { return testBed.targets.front()->requests.size() == 1; }));
    const std::uint64_t running = onlyAttempt().number;
    peer->send(testBed.settings.front().peerAddress, AttemptQueryMessage { running });
    peer->send(testBed.settings.front().peerAddress, AttemptQueryMessage { 99 });
    CHECK(testBed.runUntil([&] { return ended.contains(99); }));
    testBed.runFor(milliseconds(100));
    CHECK_FALSE(ended.contains(running));
}

// Guards against the slots of a killed daemon's requests staying occupied.
TEST(SlotQueries, AreNotNeededForAnEntryThatHasRestarted)
{
    startWithTarget(respondWell);
    startPeer(77);
    joinPeer("vm-peer");
    requestGrant(5);
    startPeer(78);
    requestGrant(1);
    CHECK_EQUAL(1, occupiedSlots());
}

// Guards against a dispatcher that was passed over granting a slot that nobody uses.
TEST(SlotQueries, AreNotNeededByADispatcherThatWasPassedOver)
{
    startWithTarget(respondWell);
    startPeer(77);
    std::string name = "vm-peer";
    do {
        name += "x";
        joinPeer(name);
    } while (dispatchersFor(testBed.proxies.front()->fleetState(), group).front() != name);
    auto caller = testBed.connectCaller();
    caller->send(makeRequest("r1", "POST", "x"));
    CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
    CHECK_EQUAL(200, caller->responses.front().status);
    CHECK_EQUAL(1, requested.size());
    CHECK(testBed.runUntil([&] { return ended.contains(*requested.begin()); }));
}
