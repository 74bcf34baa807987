#include "ProxyTestBed.h"

#include <numeric>

using namespace flamingowick;
using namespace flamingowick::proxy;

// Requests that crash each target that begins to run them, and that their caller sends again at other daemons.

namespace {

// The number of targets that one request may crash before it is recognised, and the number of further sends that are
// allowed after that.
constexpr unsigned allowedCrashes = 3 + 3;

// Longer than the downtime of a crashed target.
constexpr Duration returnDelay { milliseconds(70) };

// Parts of responses that a target may have sent when it crashes.
std::string startOfResponse(const HttpMessage& request, std::string_view rest)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(headerValue(request, "X-Id")) + "\r\nX-Signature: s\r\n" + std::string(rest);
}

std::optional<std::string> respondWell(const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); }

}

TEST_GROUP(CrashingRequests)
{
    ProxyTestBed testBed;
    unsigned lastRequest { 0 };

    void startFleet(unsigned daemons, bool idempotent)
    {
        for (int index = 0; index < 6; ++index)
            testBed.addTarget(respondWell).crashMark = "poison";
        testBed.start(daemons, idempotent);
    }

    // Sends a request to a daemon on a new connection and returns the response.
    HttpMessage send(std::size_t daemon, std::string_view body)
    {
        auto caller = testBed.connectCaller(daemon);
        caller->send(makeRequest("r" + std::to_string(++lastRequest), "POST", body));
        CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK(!caller->responses.empty());
        return caller->responses.back();
    }

    // Sends the request again and again, at one daemon after the other, each time after the crashed targets are back.
    void sendRepeatedly(std::string_view body, std::size_t times)
    {
        for (std::size_t count = 0; count < times; ++count) {
            send(count % testBed.proxies.size(), body);
            testBed.runFor(returnDelay);
        }
    }

    unsigned crashes() const
    {
        return std::accumulate(testBed.targets.begin(), testBed.targets.end(), 0U, [](unsigned sum, const auto& target) { return sum + target->crashes; });
    }
};

// Guards against a crashing request being sent to targets each time its caller sends it again, at whichever daemon.
TEST(CrashingRequests, AreSentToNoMoreTargetsOnceThreeHaveCrashed)
{
    startFleet(4, false);
    sendRepeatedly("poison", 20);
    CHECK_COMPARE(crashes(), <=, allowedCrashes);
    CHECK_EQUAL(200, send(0, "wholesome").status);
}

// The same for requests that the daemons themselves send again.
TEST(CrashingRequests, ThatAreIdempotentAreSentToNoMoreTargetsEither)
{
    startFleet(4, true);
    sendRepeatedly("poison", 20);
    CHECK_COMPARE(crashes(), <=, allowedCrashes);
    CHECK_EQUAL(200, send(0, "wholesome").status);
}

// Guards against a request that crashes target after target because they have begun to answer it: with an interim response, a part of the
// header, a part of a body with a length, in chunks or without either.
TEST(CrashingRequests, AreRecognisedThoughTheTargetsHaveBegunToAnswer)
{
    const std::vector<std::string> rests { "", "Content-Le", "Content-Length: 4000\r\n\r\n", "Content-Length: 4000\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "\r\npart" };
    for (const bool endsCleanly : { false, true }) {
        for (std::size_t index = 0; index <= rests.size(); ++index) {
            ProxyTestBed bed;
            for (int target = 0; target < 6; ++target) {
                ScriptedTarget& added = bed.addTarget(respondWell);
                added.crashMark = "poison";
                added.crashEndsCleanly = endsCleanly;
                added.responseBeforeCrash = [&rests, index](const HttpMessage& request) { return index == rests.size() ? std::string("HTTP/1.1 103 Early Hints\r\n\r\n") : startOfResponse(request, rests[index]); };
            }
            bed.start(2, false);
            for (std::size_t count = 0; count < 12; ++count) {
                auto caller = bed.connectCaller(count % 2);
                caller->send(makeRequest("r" + std::to_string(count), "POST", "poison"));
                CHECK(bed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
                bed.runFor(returnDelay + milliseconds(20));
            }
            const unsigned crashed = std::accumulate(bed.targets.begin(), bed.targets.end(), 0U, [](unsigned sum, const auto& target) { return sum + target->crashes; });
            CHECK_COMPARE(crashed, <=, allowedCrashes);
            CHECK_COMPARE(crashed, >=, 3U);
        }
    }
}

// Guards against harmless requests being refused because targets that live break their responses off, or end them with the connection.
TEST(CrashingRequests, AreToldFromThoseWhoseTargetsEndTheConnectionAndLive)
{
    for (const std::string_view rest : { "Content-Length: 4000\r\n\r\npart", "\r\nwhole" }) {
        const bool isWhole = rest.ends_with("whole");
        ProxyTestBed bed;
        for (int target = 0; target < 6; ++target)
            bed.addTarget([rest](const HttpMessage& request) { return startOfResponse(request, rest); }).closeAfterResponse = true;
        bed.start(3, false);
        for (std::size_t count = 0; count < 9; ++count) {
            auto caller = bed.connectCaller(count % 3);
            caller->send(makeRequest("r" + std::to_string(count), "POST", "wholesome"));
            CHECK(bed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
            CHECK_EQUAL(isWhole ? 200U : 502U, caller->responses.front().status);
        }
        bed.runFor(milliseconds(600));
        for (const auto& proxy : bed.proxies)
            CHECK(proxy->requestQuarantine().refusedRequests().empty());
    }
}

// Guards against crashes being missed because a dying process still accepts the connection that checks on it.
TEST(CrashingRequests, AreRecognisedThoughTheTargetsListenForAMomentAfterTheirConnectionsEnded)
{
    startFleet(4, false);
    for (const auto& target : testBed.targets) {
        target->acceptTimeAfterCrash = milliseconds(5);
        target->crashDowntime = milliseconds(300);
    }
    sendRepeatedly("poison", 20);
    CHECK_COMPARE(crashes(), <=, allowedCrashes);
    CHECK_EQUAL(200, send(0, "wholesome").status);
}

// Guards against crashes being forgotten because a target failed the request before it began to work on it.
TEST(CrashingRequests, AreRecognisedThoughSomeTargetsAnswerThemWithAnError)
{
    unsigned runs = 0;
    for (int index = 0; index < 6; ++index) {
        ScriptedTarget& target = testBed.addTarget([](const HttpMessage& received) {
            if (received.body != "poison")
                return ScriptedTarget::healthyResponse(received);
            return "HTTP/1.1 500 Internal Server Error\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n";
        });
        target.crashMark = "poison";
        target.survivesCrashMark = [&runs] { return ++runs % 2 == 0; };
    }
    // With three daemons, each counts crashes and each learns of every answer.
    testBed.start(3, false);
    sendRepeatedly("poison", 40);
    CHECK_COMPARE(crashes(), <=, allowedCrashes);
    CHECK_EQUAL(200, send(0, "wholesome").status);
}

TEST(CrashingRequests, AreRefusedAtOnceWithTheTimeLeft)
{
    startFleet(2, false);
    sendRepeatedly("poison", 4);
    const unsigned crashesBefore = crashes();
    const HttpMessage response = send(1, "poison");
    CHECK_EQUAL(503, response.status);
    CHECK_EQUAL(std::string("request-quarantined\n"), response.body);
    const double retryAfter = std::stod(std::string(headerValue(response, "Retry-After")));
    CHECK(retryAfter > 590 && retryAfter <= 600);
    CHECK_EQUAL(crashesBefore, crashes());
}

// Guards against harmless requests being refused because they met targets that reset connections.
TEST(CrashingRequests, AreToldFromThoseWhoseTargetsResetConnectionsAndLive)
{
    startFleet(3, false);
    for (const auto& target : testBed.targets)
        target->resetInsteadOfResponse = true;
    sendRepeatedly("wholesome", 9);
    for (const auto& proxy : testBed.proxies)
        CHECK(proxy->requestQuarantine().refusedRequests().empty());
    for (const auto& target : testBed.targets)
        target->resetInsteadOfResponse = false;
    CHECK_EQUAL(200, send(0, "wholesome").status);
}

TEST(CrashingRequests, AreNoLongerSuspectedOnceATargetHasAnswered)
{
    constexpr std::uint64_t fingerprint = 7;
    startFleet(4, false);
    const auto crash = [&](std::size_t daemon, const std::string& target) {
        testBed.proxies.at(daemon)->requestQuarantine().handleCrash({ { fingerprint, target }, milliseconds(1) }, "r");
        testBed.runFor(milliseconds(20));
    };
    crash(0, "i-1");
    crash(0, "i-2");
    testBed.proxies.front()->requestQuarantine().handleSurvival(fingerprint);
    testBed.runFor(milliseconds(20));
    crash(1, "i-3");
    crash(2, "i-4");
    for (const auto& proxy : testBed.proxies)
        CHECK_FALSE(proxy->requestQuarantine().refusedFor(fingerprint).has_value());
    crash(3, "i-5");
    for (const auto& proxy : testBed.proxies)
        CHECK(proxy->requestQuarantine().refusedFor(fingerprint).has_value());
}

TEST(CrashingRequests, AreRefusedByTheDispatcherForADaemonThatMissedTheNotice)
{
    startFleet(3, false);
    sendRepeatedly("poison", 4);
    const std::string dispatcher = dispatchersFor(testBed.proxies.front()->fleetState(), "stock/0/1").front();
    const std::size_t other = testBed.settings.front().vm == dispatcher ? 1 : 0;
    RequestQuarantine& uninformed = testBed.proxies.at(other)->requestQuarantine();
    const std::uint64_t fingerprint = uninformed.refusedRequests().front().fingerprint;
    uninformed.release(fingerprint);
    const unsigned crashesBefore = crashes();
    CHECK_EQUAL(503, send(other, "poison").status);
    CHECK_EQUAL(crashesBefore, crashes());
    CHECK(uninformed.refusedFor(fingerprint).has_value());
}

TEST(CrashingRequests, AreKnownToADaemonThatJoinsLater)
{
    startFleet(2, false);
    testBed.proxies.front()->requestQuarantine().handleNotice({ 7, seconds(60) });
    ProxySettings joining = testBed.settings.front();
    joining.vm = "vm-late";
    joining.callerAddress = freeAddress();
    joining.readyAddress = freeAddress();
    joining.peerAddress = freeAddress();
    Proxy proxy(testBed.io, joining, 99, testBed.log);
    std::vector<FleetMember> members { { joining.vm, joining.peerAddress, "a" } };
    for (const ProxySettings& known : testBed.settings)
        members.push_back({ known.vm, known.peerAddress, "a" });
    proxy.setMembers(members);
    CHECK(testBed.runUntil([&] { return proxy.requestQuarantine().refusedFor(7).has_value(); }));
}
