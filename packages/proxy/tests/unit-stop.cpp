#include "ProxyTestBed.h"

#include <thread>

using namespace flamingowick;
using namespace flamingowick::proxy;

// Requests at a daemon that is told to stop: they are served, or answered while they haven't run.

TEST_GROUP(Stop)
{
    ProxyTestBed testBed;
    bool stopped { false };
    // Targets answer the requests that they have received only then.
    bool responds { true };

    // Starts a daemon, with one target of two slots, whose process may go on for so long after it was told to stop.
    ScriptedTarget& start(Duration grace, Duration latencyObjective, bool idempotent = false)
    {
        ScriptedTarget& target = testBed.addTarget([this](const HttpMessage& received) -> std::optional<std::string> { return responds ? std::optional(ScriptedTarget::healthyResponse(received)) : std::nullopt; });
        testBed.start(1, idempotent, seconds(20));
        testBed.configuration.version = 2;
        testBed.configuration.routes.front().latencyObjective = latencyObjective;
        testBed.proxies.front()->setConfiguration(testBed.configuration);
        ProxySettings settings = testBed.settings.front();
        settings.stopGrace = grace;
        testBed.proxies.front()->reload(settings);
        return target;
    }

    // Starts two daemons. The first one, at which callers are, reaches the target through the second one only.
    ScriptedTarget& startWithDetour()
    {
        ScriptedTarget& target = testBed.addTarget([this](const HttpMessage& received) -> std::optional<std::string> { return responds ? std::optional(ScriptedTarget::healthyResponse(received)) : std::nullopt; });
        testBed.start(2, false, seconds(20));
        std::vector<TargetEntry> unreachable = testBed.entries;
        unreachable.front().target.address = freeAddress();
        testBed.proxies.front()->applyTargetChanges(unreachable, {});
        return target;
    }

    void beginStop()
    {
        testBed.proxies.front()->beginStop([this] { stopped = true; });
    }

    std::unique_ptr<RawCaller> sendRequest(std::string_view id)
    {
        auto caller = testBed.connectCaller();
        caller->send(makeRequest(id, "POST", "x", "20000"));
        return caller;
    }

    // Ends the process, which closes all connections.
    void endProcess()
    {
        CHECK(testBed.runUntil([this] { return stopped; }));
        testBed.peerServers.clear();
        testBed.proxies.clear();
        testBed.runFor(milliseconds(50));
    }
};

// Guards against requests that wait for a slot, begin late in the grace and are cut off at its end without an answer.
TEST(Stop, BeginsNoAttemptThatWouldBeCutOff)
{
    ScriptedTarget& target = start(milliseconds(3000), milliseconds(600));
    responds = false;
    auto first = sendRequest("first");
    auto second = sendRequest("second");
    CHECK(testBed.runUntil([&] { return target.requests.size() == 2; }));
    beginStop();
    auto waiting = sendRequest("waiting");
    testBed.runFor(milliseconds(2400));
    // A caller that leaves frees a slot.
    first->close();
    endProcess();
    CHECK_EQUAL(2, target.requests.size());
    CHECK_EQUAL(1, waiting->responses.size());
    CHECK_EQUAL(503, waiting->responses.front().status);
    CHECK_EQUAL(std::string("stopping\n"), waiting->responses.front().body);
}

// Guards against callers that wait for an answer that is known: no attempt may begin any more.
TEST(Stop, AnswersWaitingRequestsOnceTheyCanNoLongerBegin)
{
    ScriptedTarget& target = start(milliseconds(3000), milliseconds(1000));
    responds = false;
    auto first = sendRequest("first");
    auto second = sendRequest("second");
    CHECK(testBed.runUntil([&] { return target.requests.size() == 2; }));
    beginStop();
    const TimePoint begin = Clock::now();
    auto waiting = sendRequest("waiting");
    CHECK(testBed.runUntil([&] { return !waiting->responses.empty(); }));
    CHECK_EQUAL(503, waiting->responses.front().status);
    CHECK(Clock::now() - begin >= milliseconds(1850));
    CHECK(Clock::now() - begin < milliseconds(2200));
}

// Guards against requests that are taken while the daemon closes: on a connection that is still open, or after it has stood still.
TEST(Stop, RejectsRequestsThatArriveLate)
{
    ScriptedTarget& target = start(milliseconds(3000), milliseconds(100));
    auto caller = testBed.connectCaller();
    testBed.runFor(milliseconds(20));
    beginStop();
    const TimePoint end = Clock::now() + milliseconds(1500);
    testBed.runFor(milliseconds(1450));
    // Nothing runs until requests are no longer taken, so that the request is read before the connection is closed.
    while (Clock::now() < end)
        std::this_thread::yield();
    caller->send(makeRequest("late", "POST", "x", "20000"));
    CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
    CHECK_EQUAL(0, target.requests.size());
    if (!caller->responses.empty()) {
        CHECK_EQUAL(503, caller->responses.front().status);
        CHECK_EQUAL(std::string("close"), std::string(headerValue(caller->responses.front(), "Connection")));
    }
}

// Guards against requests that are passed on late because their connection was opened, or their header sent, in time.
TEST(Stop, ReadsNoBodiesAndAcceptsNoConnectionsLate)
{
    ScriptedTarget& target = start(milliseconds(3000), milliseconds(100));
    auto caller = testBed.connectCaller();
    std::string withoutBody = makeRequest("late", "POST", "x", "20000");
    withoutBody.pop_back();
    caller->send(withoutBody);
    testBed.runFor(milliseconds(20));
    beginStop();
    testBed.runFor(milliseconds(1700));
    CHECK(caller->ended);
    CHECK(caller->responses.empty());
    asio::ip::tcp::socket socket(testBed.io);
    asio::error_code error;
    socket.connect(parseTcpEndpoint(testBed.settings.front().callerAddress), error);
    CHECK(error == asio::error::connection_refused);
    CHECK_EQUAL(0, target.requests.size());
}

// Guards against callers whose connection ends without an answer: their targets have not answered by the end of the grace.
TEST(Stop, AnswersTheRequestsThatItHasToBreakOff)
{
    ScriptedTarget& target = start(milliseconds(3000), milliseconds(600));
    responds = false;
    auto caller = sendRequest("first");
    CHECK(testBed.runUntil([&] { return target.requests.size() == 1; }));
    beginStop();
    const TimePoint begin = Clock::now();
    endProcess();
    CHECK(Clock::now() - begin >= milliseconds(2800));
    CHECK(Clock::now() - begin < milliseconds(3000) + milliseconds(100));
    CHECK_EQUAL(1, caller->responses.size());
    CHECK_EQUAL(502, caller->responses.front().status);
    CHECK_EQUAL(std::string("outcome-unknown\n"), caller->responses.front().body);
}

// What arrives early is served as long as it can be: also after a wait, and until shortly before the end.
TEST(Stop, ServesRequestsThatArriveEarly)
{
    ScriptedTarget& target = start(milliseconds(3000), milliseconds(600));
    responds = false;
    auto first = sendRequest("first");
    auto second = sendRequest("second");
    CHECK(testBed.runUntil([&] { return target.requests.size() == 2; }));
    beginStop();
    auto waiting = sendRequest("waiting");
    testBed.runFor(milliseconds(1900));
    responds = true;
    first->close();
    CHECK(testBed.runUntil([&] { return !waiting->responses.empty(); }));
    CHECK_EQUAL(200, waiting->responses.front().status);
}

// Guards against requests of other daemons that are cut off: their connections through the daemon that stops are used again.
TEST(Stop, EndsTheUseOfItsConnectionsByOtherDaemons)
{
    ScriptedTarget& target = startWithDetour();
    responds = false;
    auto caller = sendRequest("first");
    CHECK(testBed.runUntil([&] { return target.requests.size() == 1; }));
    testBed.proxies.back()->beginStop([this] { stopped = true; });
    CHECK(testBed.runUntil([&] { return testBed.proxies.front()->fleetState().members.at("vm-1").leaving; }));
    target.answerHeld();
    CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
    CHECK_EQUAL(200, caller->responses.front().status);
    CHECK(testBed.runUntil([&] { return testBed.proxies.back()->renderMetrics().find("flamingowick_tunnels_open 0") != std::string::npos; }, seconds(1)));
}

// Guards against the same where another daemon hasn't heard of the stop.
TEST(Stop, OpensNoConnectionsForOtherDaemonsLate)
{
    ScriptedTarget& target = startWithDetour();
    ProxySettings settings = testBed.settings.back();
    settings.stopGrace = milliseconds(400);
    testBed.proxies.back()->reload(settings);
    testBed.proxies.back()->beginStop([this] { stopped = true; });
    testBed.runFor(milliseconds(250));
    testBed.proxies.front()->fleetState().members.at("vm-1").leaving = false;
    auto caller = sendRequest("late");
    CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
    CHECK_EQUAL(503, caller->responses.front().status);
    CHECK_EQUAL(0, target.requests.size());
}

TEST(Stop, FollowsItsSchedule)
{
    const TimePoint begin = Clock::now();
    const StopSchedule running { seconds(6), std::nullopt };
    CHECK(takesRequests(running, begin + seconds(100)));
    CHECK(mayBeginAttempt(running, seconds(100), begin + seconds(100)));
    CHECK_FALSE(mustBreakOff(running, begin + seconds(100)));
    CHECK_FALSE(mustExit(running, begin + seconds(100)));
    const StopSchedule stopping { seconds(6), begin };
    CHECK(takesRequests(stopping, begin + milliseconds(2999)));
    CHECK_FALSE(takesRequests(stopping, begin + seconds(3)));
    CHECK(mayBeginAttempt(stopping, seconds(10), begin + milliseconds(2999)));
    CHECK_FALSE(mayBeginAttempt(stopping, seconds(10), begin + seconds(3)));
    CHECK(mayBeginAttempt(stopping, seconds(1), begin + milliseconds(4850)));
    CHECK_FALSE(mayBeginAttempt(stopping, seconds(1), begin + milliseconds(4851)));
    // The responses that end the waits need time to be sent, however short the attempts are.
    CHECK_FALSE(mayBeginAttempt(stopping, Duration::zero(), begin + milliseconds(5501)));
    CHECK(mustBreakOff(stopping, begin + milliseconds(5850)));
    CHECK_FALSE(mustExit(stopping, begin + milliseconds(5949)));
    CHECK(mustExit(stopping, begin + milliseconds(5950)));
    const StopSchedule hasty { seconds(2), begin };
    CHECK(takesRequests(hasty, begin + milliseconds(999)));
    CHECK_FALSE(takesRequests(hasty, begin + seconds(1)));
}
