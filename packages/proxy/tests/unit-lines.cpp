#include <nlohmann/json.hpp>

#include "ProxyWorld.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// What an engineer on call finds in the log: each kind of line has the inputs that decided.

namespace {

// A file that vanishes with its descriptor.
struct LogFile {
    std::FILE* file { std::tmpfile() };

    LogFile() = default;
    LogFile(const LogFile&) = delete;
    LogFile& operator=(const LogFile&) = delete;
    ~LogFile() { std::fclose(this->file); }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> read;
        std::rewind(this->file);
        std::string text;
        for (int character = std::fgetc(this->file); character != EOF; character = std::fgetc(this->file)) {
            if (character != '\n') {
                text.push_back(static_cast<char>(character));
                continue;
            }
            read.push_back(nlohmann::json::parse(text));
            text.clear();
        }
        return read;
    }
};

}

TEST_GROUP(Lines)
{
    LogFile file;
    ProxyWorld world;

    void setup() override { ::dup2(::fileno(file.file), world.devNull); }

    // Returns the first line of the event, with a failure unless it has all fields.
    nlohmann::json lineOf(const std::string& part, const std::string& event, const std::vector<std::string>& fields)
    {
        world.log.flush();
        for (const nlohmann::json& line : file.lines()) {
            if (line.at("part") != part || line.at("event") != event)
                continue;
            for (const std::string& field : fields) {
                std::string complaint = event;
                complaint.append(" lacks ").append(field);
                CHECK_TEXT(line.contains(field), complaint.c_str());
            }
            return line;
        }
        std::string complaint = "no line ";
        complaint.append(part).append(" ").append(event);
        FAIL(complaint.c_str());
        return {};
    }

    void serve(std::string_view bytes)
    {
        auto caller = world.caller();
        caller->send(bytes);
        CHECK(world.until([&] { return !caller->answers.empty() || caller->ended; }));
    }
};

TEST(Lines, OfAServedRequestNameRouteGrantAttemptAndAnswer)
{
    world.addTarget([](const HttpMessage& got) { return ScriptedTarget::sound(got); });
    world.start(1, false);
    serve(request("r1", "POST", "x"));
    const auto routed = lineOf("entry", "routed", { "request", "route", "service", "configuration", "configurationAgeMs", "leftMs" });
    CHECK_EQUAL(std::string("r1"), routed.at("request").get<std::string>());
    lineOf("dispatch", "granted", { "request", "target", "failing", "inFlight", "waiting", "targetsAgeMs" });
    lineOf("entry", "sent", { "request", "target", "address", "dispatcher", "failing", "inFlight", "waiting", "attempt", "ageMs" });
    const auto answered = lineOf("entry", "answered", { "request", "service", "status", "reason", "target", "attempts", "tookMs", "leftMs" });
    CHECK_EQUAL(200, answered.at("status").get<int>());
}

TEST(Lines, OfAFailedRequestSayHowItsAttemptEnded)
{
    ScriptedTarget& target = world.addTarget([](const HttpMessage&) { return std::nullopt; });
    target.reset = true;
    world.start(1, false);
    serve(request("r1", "POST", "x"));
    const auto failed = lineOf("entry", "attempt-failed", { "request", "target", "outcome", "status", "reason", "newConnection", "lastedMs" });
    CHECK_EQUAL(std::string("broken"), failed.at("outcome").get<std::string>());
    CHECK_EQUAL(std::string("outcome-unknown"), lineOf("entry", "answered", {}).at("reason").get<std::string>());
}

TEST(Lines, OfARefusedRequestSayWhyAndWhenToComeBack)
{
    world.addTarget([](const HttpMessage&) { return std::nullopt; });
    world.start(1, false, milliseconds(300));
    world.entries.front().target.leaving = true;
    world.proxies.front()->changeTargets(world.entries, {});
    serve(request("r1", "POST", "x"));
    lineOf("dispatch", "refused", { "request", "reason", "waiting" });
    const auto refused = lineOf("entry", "refused", { "request", "group", "reason", "waiting", "retryAfterMs", "repeat" });
    CHECK_EQUAL(std::string("no-target"), refused.at("reason").get<std::string>());
}

TEST(Lines, OfAHedgedRequestSayHowLateItWas)
{
    world.addTarget([](const HttpMessage&) { return std::nullopt; });
    world.addTarget([](const HttpMessage&) { return std::nullopt; });
    world.start(1, true, milliseconds(1500));
    serve(request("r1"));
    lineOf("entry", "hedged", { "request", "service", "ageMs" });
}

TEST(Lines, OfAnUnknownRouteNameHostPathAndVersion)
{
    world.addTarget([](const HttpMessage& got) { return ScriptedTarget::sound(got); });
    world.start(1, false);
    serve("GET /other/ HTTP/1.1\r\nHost: x\r\nX-Id: r1\r\n\r\n");
    lineOf("entry", "not-routed", { "request", "reason", "host", "path", "configuration" });
}

TEST(Lines, AboutTheProcessNameWhatItBelieves)
{
    world.addTarget([](const HttpMessage& got) { return ScriptedTarget::sound(got); });
    world.start(2, false);
    serve(request("r1", "POST", "x"));
    lineOf("configuration", "in-force", { "version", "routes", "services", "first" });
    lineOf("fleet", "members", { "count", "before" });
    world.entries.front().target.leaving = true;
    world.proxies.front()->changeTargets(world.entries, {});
    lineOf("targets", "leaving", { "target" });
    world.proxies.front()->changeTargets({}, std::vector<std::string> { "i-1" });
    lineOf("targets", "gone", { "target" });
    world.proxies.front()->storeAway("test");
    lineOf("store", "lost", { "reason" });
    world.proxies.front()->storeBack();
    lineOf("store", "regained", {});
    world.proxies.front()->memberSilent("vm-1");
    lineOf("fleet", "member-silent", { "member" });
    bool stopped = false;
    world.proxies.front()->beginStop([&] { stopped = true; });
    lineOf("daemon", "stopping", { "running" });
    CHECK(world.until([&] { return stopped; }));
    lineOf("daemon", "stopped", { "running", "tookMs" });
}

TEST(Lines, StopNothingWhenNobodyReadsThem)
{
    int ends[2] { -1, -1 };
    CHECK_EQUAL(0, ::pipe2(ends, O_CLOEXEC));
    ::dup2(ends[1], world.devNull);
    // The pipe is full before the first line.
    ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
    const std::string filler(4096, 'x');
    while (::write(ends[1], filler.data(), filler.size()) > 0) { }
    ::fcntl(ends[1], F_SETFL, 0);
    world.addTarget([](const HttpMessage& got) { return ScriptedTarget::sound(got); });
    world.start(1, true);
    for (int count = 0; count < 200; ++count) {
        auto caller = world.caller();
        caller->send(request("r" + std::to_string(count)));
        CHECK(world.until([&] { return !caller->answers.empty(); }));
        CHECK_EQUAL(200, caller->answers.back().status);
        world.log.flush();
    }
    CHECK(world.log.leftOut() > 0 || !world.log.empty());
    ::close(ends[0]);
    ::close(ends[1]);
}
