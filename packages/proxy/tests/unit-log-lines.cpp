#include <nlohmann/json.hpp>

#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// Log lines for operators: each kind of line carries the inputs of the decision that it reports.

namespace {

// A temporary file, deleted when it is closed.
struct LogFile {
    std::FILE* file { std::tmpfile() };

    LogFile() = default;
    LogFile(const LogFile&) = delete;
    LogFile& operator=(const LogFile&) = delete;
    ~LogFile() { std::fclose(this->file); }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> parsed;
        std::rewind(this->file);
        std::string text;
        for (int character = std::fgetc(this->file); character != EOF; character = std::fgetc(this->file)) {
            if (character != '\n') {
                text.push_back(static_cast<char>(character));
                continue;
            }
            parsed.push_back(nlohmann::json::parse(text));
            text.clear();
        }
        return parsed;
    }
};

}

TEST_GROUP(Lines)
{
    LogFile file;
    ProxyTestBed testBed;

    void setup() override { ::dup2(::fileno(file.file), testBed.devNull); }

    // Returns the first line of the event. Fails the test if there is none or if it lacks one of the fields.
    nlohmann::json lineOf(const std::string& part, const std::string& event, const std::vector<std::string>& fields)
    {
        testBed.log.flush();
        for (const nlohmann::json& line : file.lines()) {
            if (line.at("part") != part || line.at("event") != event)
                continue;
            for (const std::string& field : fields) {
                std::string failure = event;
                failure.append(" has no field ").append(field);
                CHECK_TEXT(line.contains(field), failure.c_str());
            }
            return line;
        }
        std::string failure = "no log line ";
        failure.append(part).append(" ").append(event);
        FAIL(failure.c_str());
        return {};
    }

    void serve(std::string_view bytes)
    {
        auto caller = testBed.connectCaller();
        caller->send(bytes);
        CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
    }
};

TEST(Lines, OfAServedRequestReportRouteGrantAttemptAndResponse)
{
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, false);
    serve(makeRequest("r1", "POST", "x"));
    const auto routed = lineOf("entry", "routed", { "request", "fingerprint", "route", "service", "configuration", "configurationAgeMs", "leftMs" });
    CHECK_EQUAL(std::string("r1"), routed.at("request").get<std::string>());
    lineOf("dispatch", "granted", { "request", "target", "failing", "inFlight", "waiting", "repeat", "retryTokens", "targetsAgeMs" });
    lineOf("entry", "sent", { "request", "target", "address", "dispatcher", "failing", "inFlight", "waiting", "attempt", "ageMs" });
    const auto answered = lineOf("entry", "answered", { "request", "service", "status", "reason", "target", "attempts", "tookMs", "leftMs" });
    CHECK_EQUAL(200, answered.at("status").get<int>());
}

TEST(Lines, OfAFailedRequestReportTheOutcomeOfItsAttempt)
{
    ScriptedTarget& target = testBed.addTarget([](const HttpMessage&) { return std::nullopt; });
    target.resetInsteadOfResponse = true;
    testBed.start(1, false);
    serve(makeRequest("r1", "POST", "x"));
    const auto failed = lineOf("entry", "attempt-failed", { "request", "target", "outcome", "status", "reason", "retryAfter", "newConnection", "lastedMs" });
    CHECK_EQUAL(std::string("broken"), failed.at("outcome").get<std::string>());
    CHECK_EQUAL(std::string("outcome-unknown"), lineOf("entry", "answered", {}).at("reason").get<std::string>());
}

TEST(Lines, OfARefusedRequestReportReasonAndRetryDelay)
{
    testBed.addTarget([](const HttpMessage&) { return std::nullopt; });
    testBed.start(1, false, milliseconds(300));
    testBed.entries.front().target.leaving = true;
    testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    serve(makeRequest("r1", "POST", "x"));
    lineOf("dispatch", "refused", { "request", "reason", "waiting" });
    const auto refused = lineOf("entry", "refused", { "request", "group", "reason", "waiting", "retryAfterMs", "repeat" });
    CHECK_EQUAL(std::string("no-target"), refused.at("reason").get<std::string>());
}

TEST(Lines, OfAHedgedRequestReportItsAge)
{
    testBed.addTarget([](const HttpMessage&) { return std::nullopt; });
    testBed.addTarget([](const HttpMessage&) { return std::nullopt; });
    testBed.start(1, true, milliseconds(1500));
    serve(makeRequest("r1"));
    lineOf("entry", "hedged", { "request", "service", "ageMs" });
}

TEST(Lines, OfAnUnknownRouteReportHostPathAndConfigurationVersion)
{
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, false);
    serve("GET /other/ HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n\r\n");
    lineOf("entry", "not-routed", { "request", "reason", "host", "path", "configuration" });
}

TEST(Lines, OfTheProcessReportConfigurationMembersTargetsAndStore)
{
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(2, false);
    serve(makeRequest("r1", "POST", "x"));
    lineOf("configuration", "in-force", { "version", "routes", "services", "first", "digest", "replacesSameVersion" });
    lineOf("fleet", "members", { "count", "before" });
    testBed.entries.front().target.leaving = true;
    testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
    lineOf("targets", "leaving", { "target" });
    testBed.proxies.front()->applyTargetChanges({}, std::vector<std::string> { "i-1" });
    lineOf("targets", "gone", { "target" });
    testBed.proxies.front()->handleStoreUnavailable("test");
    lineOf("store", "lost", { "reason" });
    testBed.proxies.front()->handleStoreAvailable();
    lineOf("store", "regained", {});
    testBed.proxies.front()->handleMemberSilent("vm-1");
    lineOf("fleet", "member-silent", { "member" });
    bool stopped = false;
    testBed.proxies.front()->beginStop([&] { stopped = true; });
    lineOf("daemon", "stopping", { "running" });
    CHECK(testBed.runUntil([&] { return stopped; }));
    lineOf("daemon", "stopped", { "running", "tookMs" });
}

TEST(Lines, OfARefusedRequestReportItsCrashesAndItsFingerprint)
{
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, false);
    RequestQuarantine& quarantine = testBed.proxies.front()->requestQuarantine();
    for (int count = 0; count < 3; ++count)
        quarantine.handleCrash({ { 0xabc, "i-" + std::to_string(count) }, milliseconds(1) }, "r1");
    CHECK_EQUAL(std::string("0000000000000abc"), lineOf("quarantine", "target-crashed", { "fingerprint", "request", "target", "lastedMs" }).at("fingerprint").get<std::string>());
    lineOf("quarantine", "refusal-began", { "fingerprint", "source", "crashes", "remainingMs" });
    quarantine.release(0xabc);
    lineOf("quarantine", "refusal-released", { "fingerprint" });
}

// A full pipe must not block the event loop: requests are served, and log lines stay in the buffer or are dropped.
TEST(Lines, DoNotBlockRequestsWhenThePipeIsFull)
{
    int pipeEnds[2] { -1, -1 };
    CHECK_EQUAL(0, ::pipe2(pipeEnds, O_CLOEXEC));
    ::dup2(pipeEnds[1], testBed.devNull);
    // Fills the pipe before the first log line.
    ::fcntl(pipeEnds[1], F_SETFL, O_NONBLOCK);
    const std::string filler(4096, 'x');
    while (::write(pipeEnds[1], filler.data(), filler.size()) > 0) { }
    ::fcntl(pipeEnds[1], F_SETFL, 0);
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.start(1, true);
    for (int count = 0; count < 200; ++count) {
        auto caller = testBed.connectCaller();
        caller->send(makeRequest("r" + std::to_string(count)));
        CHECK(testBed.runUntil([&] { return !caller->responses.empty(); }));
        CHECK_EQUAL(200, caller->responses.back().status);
        testBed.log.flush();
    }
    CHECK(testBed.log.droppedLines() > 0 || !testBed.log.empty());
    ::close(pipeEnds[0]);
    ::close(pipeEnds[1]);
}
