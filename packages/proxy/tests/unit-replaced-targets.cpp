#include "ProxyTestBed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// Targets that have ended while the store still lists them, and at whose addresses other instances answer with 421.

TEST_GROUP(ReplacedTargets)
{
    std::unique_ptr<ProxyTestBed> testBed { std::make_unique<ProxyTestBed>() };
    unsigned lastRequest { 0 };

    ScriptedTarget& addReplacedTarget()
    {
        return this->testBed->addTarget([](const HttpMessage& received) {
            return "HTTP/1.1 421 Misdirected Request\r\nX-Id: " + std::string(headerValue(received, "X-Id")) + "\r\nContent-Length: 0\r\n\r\n";
        });
    }

    std::unique_ptr<RawCaller> begin(std::size_t daemon = 0)
    {
        auto caller = this->testBed->connectCaller(daemon);
        caller->send(makeRequest("r" + std::to_string(++this->lastRequest), "POST", "x"));
        return caller;
    }

    HttpMessage send(std::size_t daemon = 0)
    {
        const auto caller = this->begin(daemon);
        CHECK(this->testBed->runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK(!caller->responses.empty());
        return caller->responses.back();
    }
};

// Guards against requests that go to a target again and again although another instance answers at its address.
TEST(ReplacedTargets, GetNoRequestsAfterTheFirst)
{
    const ScriptedTarget& replaced = this->addReplacedTarget();
    this->testBed->start(1, false);
    const TimePoint end = Clock::now() + milliseconds(1500);
    while (Clock::now() < end) {
        const TimePoint before = Clock::now();
        CHECK_EQUAL(503, this->send().status);
        CHECK(Clock::now() - before < milliseconds(500));
        this->testBed->runFor(milliseconds(20));
    }
    CHECK_EQUAL(1, replaced.requests.size());
}

// Guards against such targets being the last resort of requests for which the healthy targets have no room, also when the attempt that has
// shown them to be gone was another daemon's.
TEST(ReplacedTargets, AreNoLastResortWhileTheHealthyTargetsAreFull)
{
    for (const std::size_t daemon : { 0U, 1U, 2U }) {
        this->testBed = std::make_unique<ProxyTestBed>();
        bool holds = false;
        const ScriptedTarget& healthy = this->testBed->addTarget([&holds](const HttpMessage& received) { return holds ? std::nullopt : std::optional<std::string>(ScriptedTarget::healthyResponse(received)); });
        const ScriptedTarget& replaced = this->addReplacedTarget();
        this->testBed->start(3, false);
        // Until the daemons have heard of each other, each decides alone.
        this->testBed->runFor(milliseconds(500));
        for (unsigned count = 0; count < 300 && replaced.requests.empty(); ++count) {
            this->send();
            this->testBed->runFor(milliseconds(10));
        }
        holds = true;
        const std::size_t served = healthy.requests.size();
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (unsigned count = 0; count < 30; ++count)
            callers.push_back(this->begin(daemon));
        this->testBed->runFor(milliseconds(500));
        CHECK_EQUAL(served + 2, healthy.requests.size());
        CHECK_EQUAL(1, replaced.requests.size());
    }
}

// Guards against a target being left out for good because another one was at its address for a while, or because a target that has restarted
// or moved was taken for the earlier one.
TEST(ReplacedTargets, AreTriedAgainAndMayRestartOrMove)
{
    const TimePoint now = Clock::now();
    TargetDirectory directory;
    TargetEntry entry = entryOf("i-1", 2);
    entry.target.address = "127.0.0.1:8001";
    const auto list = [&directory, &entry](TimePoint at) { applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, at, seconds(60)); };
    list(now);
    CHECK_EQUAL(1U, markAbsent(directory, "i-1", 2, "127.0.0.1:8001", now).absent.size());
    CHECK(markAbsent(directory, "i-1", 2, "127.0.0.1:8001", now).absent.empty());
    // Its entry goes and returns, as after an outage of the store.
    const std::vector<std::string> removed { "i-1" };
    applyEntryChanges(directory, {}, removed, now, seconds(60));
    list(now);
    CHECK_FALSE(acceptsRequests(directory, "i-1", now));
    CHECK(targetsOf(directory, "stock").front().leaving);
    const TimePoint end = now + directory.limits.absenceMemory;
    CHECK(nextEntryExpiry(directory) == end);
    CHECK_EQUAL(1U, expireEntries(directory, end).changedServices.size());
    CHECK(acceptsRequests(directory, "i-1", end));
    CHECK_FALSE(targetsOf(directory, "stock").front().leaving);

    markAbsent(directory, "i-1", 2, "127.0.0.1:8001", end);
    entry.target.address = "127.0.0.1:8002";
    list(end);
    CHECK(acceptsRequests(directory, "i-1", end));
    markAbsent(directory, "i-1", 2, "127.0.0.1:8001", end);
    CHECK(acceptsRequests(directory, "i-1", end));
    markAbsent(directory, "i-1", 2, "127.0.0.1:8002", end);
    entry.startedAt = 3;
    list(end);
    CHECK(acceptsRequests(directory, "i-1", end));
}
