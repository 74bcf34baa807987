#include "flamingowick/telemetry/EventLog.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::telemetry;
using std::chrono::seconds;

TEST_GROUP(EventLogs)
{
    int pipeEnds[2] { -1, -1 };

    void setup() override
    {
        Clock::pause();
        CHECK_EQUAL(0, ::pipe2(pipeEnds, O_CLOEXEC));
    }

    void teardown() override
    {
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
        Clock::resume();
    }

    std::vector<nlohmann::json> lines() const
    {
        std::string text(1U << 20U, '\0');
        const ssize_t size = ::read(pipeEnds[0], text.data(), text.size());
        std::istringstream stream(text.substr(0, static_cast<std::size_t>(std::max<ssize_t>(size, 0))));
        std::vector<nlohmann::json> parsed;
        for (std::string line; std::getline(stream, line);)
            parsed.push_back(nlohmann::json::parse(line));
        return parsed;
    }
};

TEST(EventLogs, WriteOneObjectPerLineWithTimePartAndEvent)
{
    EventLog log(pipeEnds[1], 100, "vm-1");
    log.write(EventScope::Request, "entry", "routed", EventFields().text("request", "r1").number("leftMs", 20).real("failing", 0.125).flag("first", true).milliseconds("ageMs", std::chrono::milliseconds(7)));
    log.flush();
    const nlohmann::json line = lines().front();
    CHECK_EQUAL(std::string("vm-1"), line.at("vm").get<std::string>());
    CHECK_EQUAL(std::string("entry"), line.at("part").get<std::string>());
    CHECK_EQUAL(std::string("routed"), line.at("event").get<std::string>());
    CHECK_EQUAL(std::string("r1"), line.at("request").get<std::string>());
    CHECK_EQUAL(20, line.at("leftMs").get<int>());
    CHECK_EQUAL(7, line.at("ageMs").get<int>());
    DOUBLES_EQUAL(0.125, line.at("failing").get<double>(), 0.001);
    CHECK_EQUAL('Z', line.at("time").get<std::string>().back());
}

TEST(EventLogs, WriteValidJsonForAnyBytesOfAValue)
{
    EventLog log(pipeEnds[1], 100);
    std::string allBytes;
    for (int byte = 0; byte < 256; ++byte)
        allBytes.push_back(static_cast<char>(byte));
    log.write(EventScope::Request, "entry", "routed", EventFields().text("path", allBytes));
    log.flush();
    CHECK_EQUAL(1, lines().size());
}

TEST(EventLogs, LimitTheLinesPerSecondAndCountDroppedLines)
{
    EventLog log(pipeEnds[1], 10);
    for (int count = 0; count < 100; ++count)
        log.write(EventScope::Request, "entry", "routed", EventFields());
    CHECK_EQUAL(80, log.droppedLines());
    Clock::advance(seconds(1));
    log.write(EventScope::Request, "entry", "routed", EventFields());
    log.flush();
    const auto written = lines();
    CHECK_EQUAL(22, written.size());
    CHECK_EQUAL(std::string("lines-left-out"), written.at(20).at("event").get<std::string>());
    CHECK_EQUAL(80, written.at(20).at("count").get<int>());
}

TEST(EventLogs, ReportDroppedLinesAtMostOncePerSecond)
{
    EventLog log(pipeEnds[1], 10);
    for (int step = 0; step < 3000; ++step) {
        log.write(EventScope::Request, "entry", "routed", EventFields());
        Clock::advance(std::chrono::milliseconds(1));
    }
    log.flush();
    const auto written = lines();
    const auto reports = std::count_if(written.begin(), written.end(), [](const auto& line) { return line.at("event") == "lines-left-out"; });
    CHECK(reports >= 1);
    CHECK(reports <= 3);
}

TEST(EventLogs, LinesAboutRequestsDisplaceNoneAboutTheProcess)
{
    EventLog log(pipeEnds[1], 10);
    for (int count = 0; count < 100; ++count)
        log.write(EventScope::Request, "entry", "routed", EventFields());
    const std::uint64_t before = log.droppedLines();
    log.write(EventScope::Process, "daemon", "stopping", EventFields());
    CHECK_EQUAL(before, log.droppedLines());
}

TEST(EventLogs, NeverBlockOnAFullPipe)
{
    EventLog log(pipeEnds[1], 1'000'000);
    const std::string filler(200, 'x');
    // More than the capacity of the pipe and the buffer: a blocking write would never return.
    for (int count = 0; count < 10'000; ++count)
        log.write(EventScope::Request, "entry", "routed", EventFields().text("filler", filler));
    log.flush();
    CHECK(log.droppedLines() > 0);
    // lines() parses each line, so an incomplete one fails the test.
    CHECK(lines().size() > 10);
}

TEST(EventLogs, ContinueAfterTheReaderClosedThePipe)
{
    ::signal(SIGPIPE, SIG_IGN);
    EventLog log(pipeEnds[1], 1000);
    ::close(pipeEnds[0]);
    pipeEnds[0] = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    for (int count = 0; count < 1000; ++count)
        log.write(EventScope::Request, "entry", "routed", EventFields().text("filler", std::string(200, 'x')));
    log.flush();
    CHECK(log.droppedLines() > 0);
}
