#include "ProxyTestBed.h"

#include <set>

using namespace flamingowick;
using namespace flamingowick::proxy;

// Messages of or for a daemon's process that has ended, and grants from an outdated list of targets, have no effect on the requests of
// the processes that run.

TEST_GROUP(StaleMessages)
{
    // Another daemon of which only the datagrams exist.
    struct Peer {
        std::unique_ptr<PeerLink> link;
        std::vector<GrantRequestMessage> grantRequests;
        std::set<std::uint64_t> grantedNumbers;
    };

    ProxyTestBed testBed;
    std::string peerAddress { freeAddress() };
    std::string peerName { "vm-peer" };
    Peer peer;

    void startPeer(std::uint64_t incarnation)
    {
        PeerHandlers handlers;
        // A dispatcher that queues each request.
        handlers.onGrantRequest = [this](const PeerSource& source, const GrantRequestMessage& message) {
            peer.grantRequests.push_back(message);
            GrantReplyMessage reply;
            reply.decision.attemptId = { 0, message.number };
            peer.link->send(source.address, reply);
        };
        handlers.onGrantReply = [this](const PeerSource&, const GrantReplyMessage& reply) {
            if (reply.kind == GrantReplyKind::Granted)
                peer.grantedNumbers.insert(reply.decision.attemptId.number);
        };
        handlers.onAttemptEnd = [](const PeerSource&, const AttemptEndMessage&) {};
        handlers.onRunningAttempt = [](const PeerSource&, const RunningAttemptMessage&) {};
        handlers.onAttemptQuery = [](const PeerSource&, const AttemptQueryMessage&) {};
        handlers.onPresence = [](const PeerSource&, const PresenceMessage&) {};
        handlers.onCrash = [](const PeerSource&, const CrashMessage&) {};
        handlers.onSurvival = [](const PeerSource&, const SurvivalMessage&) {};
        handlers.onQuarantine = [](const PeerSource&, const quarantine::QuarantineNotice&) {};
        peer.link.reset();
        peer.link = std::make_unique<PeerLink>(testBed.io, peerAddress, incarnation, handlers);
    }

    void joinPeer()
    {
        const ProxySettings& settings = testBed.settings.front();
        testBed.proxies.front()->setMembers(std::vector<FleetMember> { { peerName, peerAddress, "a" }, { settings.vm, settings.peerAddress, "a" } });
    }

    // Gives the peer a name by which it is the dispatcher of the groups.
    void joinPeerAsDispatcherOf(std::span<const std::string_view> groups)
    {
        const auto dispatches = [this](std::string_view group) { return dispatchersFor(testBed.proxies.front()->fleetState(), group).front() == peerName; };
        for (joinPeer(); !std::all_of(groups.begin(), groups.end(), dispatches); joinPeer())
            peerName += "x";
    }

    // Adds a route and a target of a second service.
    void addSecondService()
    {
        testBed.addTarget(respondWell);
        testBed.entries.back().service = "orders";
        Route route = testBed.configuration.routes.front();
        route.pathPrefix = "/orders/";
        route.name = "orders";
        route.parts = { { "orders", 1 } };
        testBed.configuration.routes.push_back(route);
        ++testBed.configuration.version;
        testBed.proxies.front()->setConfiguration(testBed.configuration);
        testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    }

    void restartDaemon()
    {
        // Requests outlive the daemon in a test, where the event loop goes on without it.
        CHECK(testBed.runUntil([this] { return testBed.proxies.front()->renderMetrics().find("flamingowick_requests_running 0") != std::string::npos; }));
        testBed.peerServers.clear();
        testBed.proxies.front().reset();
        testBed.proxies.front() = std::make_unique<Proxy>(testBed.io, testBed.settings.front(), 4711, testBed.log);
        testBed.proxies.front()->setConfiguration(testBed.configuration);
        testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
        joinPeer();
    }

    void grant(std::uint64_t number, const std::string& instance)
    {
        GrantReplyMessage reply;
        reply.kind = GrantReplyKind::Granted;
        reply.decision.attemptId = { 0, number };
        reply.decision.instance = instance;
        peer.link->send(testBed.settings.front().peerAddress, reply);
    }

    void requestGrant(std::uint64_t number)
    {
        GrantRequestMessage message;
        message.number = number;
        message.group = "stock/0/1";
        message.timeLeft = seconds(10);
        message.request.latencyObjective = seconds(1);
        peer.link->send(testBed.settings.front().peerAddress, message);
    }

    std::size_t occupiedSlots()
    {
        const auto& pools = testBed.proxies.front()->dispatcherHost().pools();
        const auto pool = pools.find("stock/0/1");
        return pool == pools.end() ? 0 : pool->second.instanceByAttempt.size();
    }

    // Waits until the daemon has handled all that the peer has sent.
    void awaitHandled()
    {
        peer.link->flush();
        testBed.runFor(milliseconds(50));
    }

    static std::string orderOf(std::string_view id)
    {
        std::string bytes = makeRequest(id, "POST", "x", "9000");
        bytes.replace(bytes.find("/stock/"), std::string_view("/stock/").size(), "/orders/");
        return bytes;
    }

    static std::optional<std::string> respondWell(const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); }
};

// Guards against requests that run at the service of an ended process's request: a dispatcher, also one of an earlier release, grants
// a slot after the restart, and the request with the same number takes it.
TEST(StaleMessages, GrantNothingToTheNextProcess)
{
    ScriptedTarget& stock = testBed.addTarget(respondWell);
    testBed.start(1, false, seconds(10));
    addSecondService();
    startPeer(77);
    joinPeerAsDispatcherOf(std::array<std::string_view, 2> { "stock/0/1", "orders/0/1" });
    auto firstCaller = testBed.connectCaller();
    firstCaller->send(makeRequest("r1", "POST", "x", "9000"));
    CHECK(testBed.runUntil([&] { return !peer.grantRequests.empty(); }));
    const std::uint64_t endedNumber = peer.grantRequests.front().number;
    firstCaller.reset();
    restartDaemon();
    peer.grantRequests.clear();
    auto caller = testBed.connectCaller();
    caller->send(orderOf("r2"));
    CHECK(testBed.runUntil([&] { return !peer.grantRequests.empty(); }));
    grant(endedNumber, "i-1");
    awaitHandled();
    CHECK_EQUAL(0, stock.requests.size());
    CHECK(caller->responses.empty());
    grant(peer.grantRequests.front().number, "i-2");
    CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
    CHECK_EQUAL(200, caller->responses.front().status);
    CHECK_EQUAL(1, testBed.targets.at(1)->requests.size());
}

// Guards against slots that stay occupied because a grant request of an ended process arrives after the first message of the next.
TEST(StaleMessages, OccupyNoSlots)
{
    testBed.addTarget(respondWell);
    testBed.start(1, false, seconds(10));
    startPeer(77);
    joinPeer();
    requestGrant(5);
    CHECK(testBed.runUntil([&] { return peer.grantedNumbers.contains(5); }));
    startPeer(78);
    requestGrant(5001);
    CHECK(testBed.runUntil([&] { return peer.grantedNumbers.contains(5001); }));
    CHECK_EQUAL(1, occupiedSlots());
    startPeer(77);
    requestGrant(6);
    peer.link->send(testBed.settings.front().peerAddress, RunningAttemptMessage { 7, "stock/0/1", "i-1", milliseconds(1), 0, 0 });
    awaitHandled();
    CHECK_EQUAL(1, occupiedSlots());
}

// Guards against a daemon that gets no slots any more because the first messages of its process and of the one before arrived in the wrong
// order.
TEST(StaleMessages, AreNotThoseOfAProcessThatGoesOn)
{
    testBed.addTarget(respondWell);
    testBed.start(1, false, seconds(10));
    startPeer(78);
    joinPeer();
    requestGrant(5001);
    CHECK(testBed.runUntil([&] { return peer.grantedNumbers.contains(5001); }));
    startPeer(77);
    requestGrant(5);
    CHECK(testBed.runUntil([&] { return peer.grantedNumbers.contains(5); }));
    startPeer(78);
    requestGrant(5002);
    awaitHandled();
    CHECK_FALSE(peer.grantedNumbers.contains(5002));
    testBed.runFor(seconds(2));
    requestGrant(5003);
    CHECK(testBed.runUntil([&] { return peer.grantedNumbers.contains(5003); }));
}

// Guards against a daemon that is passed over because the last message of its ended process arrives late.
TEST(StaleMessages, DoNotMarkTheNextProcessAsLeaving)
{
    testBed.addTarget(respondWell);
    testBed.start(1, false, seconds(10));
    const auto isLeaving = [this] { return testBed.proxies.front()->fleetState().members.at(peerName).leaving; };
    const auto announce = [this](bool leaving) { peer.link->send(testBed.settings.front().peerAddress, PresenceMessage { peerName, peerAddress, leaving, false, "a", 0 }); };
    startPeer(77);
    joinPeer();
    announce(false);
    awaitHandled();
    startPeer(78);
    announce(false);
    awaitHandled();
    startPeer(77);
    announce(true);
    awaitHandled();
    CHECK_FALSE(isLeaving());
    startPeer(78);
    announce(true);
    awaitHandled();
    CHECK(isLeaving());
}

// Guards against requests that run at another service because their dispatcher believes a target to be of their own.
TEST(StaleMessages, GrantNoTargetOfAnotherService)
{
    ScriptedTarget& stock = testBed.addTarget(respondWell);
    testBed.start(1, false, seconds(10));
    addSecondService();
    startPeer(77);
    joinPeerAsDispatcherOf(std::array<std::string_view, 1> { "orders/0/1" });
    auto caller = testBed.connectCaller();
    caller->send(orderOf("r1"));
    CHECK(testBed.runUntil([&] { return !peer.grantRequests.empty(); }));
    const std::uint64_t number = peer.grantRequests.back().number;
    grant(number, "i-1");
    CHECK(testBed.runUntil([&] { return peer.grantRequests.back().number != number || !stock.requests.empty(); }));
    CHECK_EQUAL(0, stock.requests.size());
    grant(peer.grantRequests.back().number, "i-2");
    CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
    CHECK_EQUAL(200, caller->responses.front().status);
}
