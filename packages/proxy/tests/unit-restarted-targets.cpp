#include "ProxyTestBed.h"

#include "flamingowick/quarantine/CrashLedger.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

// A target that starts again under its instance name, and reports of its earlier start that come late.
TEST_GROUP(RestartedTargets)
{
    TargetDirectory directory;
    TimePoint now { seconds(1000) };

    DirectoryChange write(std::int64_t startedAt, bool leaving = false)
    {
        TargetEntry entry = entryOf("i-1", startedAt);
        entry.target.leaving = leaving;
        return applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now, seconds(60));
    }
    std::int64_t knownStart() const { return directory.entries.at("i-1").entry.startedAt; }
};

TEST(RestartedTargets, LoseWhatTheEarlierStartHasSaid)
{
    write(1, true);
    holdOff(directory, "i-1", 1, now + seconds(60));
    setRequestLimit(directory, "i-1", 1, 3, now);
    CHECK_EQUAL(std::string("i-1"), write(2).dropped.at(0));
    CHECK(acceptsRequests(directory, "i-1", now));
    CHECK_FALSE(directory.entries.at("i-1").limitNamedAt.has_value());
    CHECK_EQUAL(2, targetsOf(directory, "stock").at(0).startedAt);
    // Late reports.
    holdOff(directory, "i-1", 1, now + seconds(60));
    setRequestLimit(directory, "i-1", 1, 3, now);
    markLeaving(directory, "i-1", 1);
    CHECK(acceptsRequests(directory, "i-1", now));
    CHECK_FALSE(directory.entries.at("i-1").limitNamedAt.has_value());
}

TEST(RestartedTargets, AreNotReplacedByAnEntryOfTheEarlierStartThatIsWrittenLate)
{
    write(2);
    CHECK(write(1, true).changedServices.empty());
    CHECK_EQUAL(2, knownStart());
    CHECK(acceptsRequests(directory, "i-1", now));
    // The target writes its entry again.
    now += seconds(2);
    write(2);
    now += seconds(60);
    expireEntries(directory, now);
    CHECK_EQUAL(2, knownStart());
    CHECK_FALSE(nextEntryExpiry(directory).has_value());
}

TEST(RestartedTargets, AreTakenForOneWhoseClockWasSetBackWhenTheEntryOfTheEarlierStartStays)
{
    write(2);
    write(1);
    CHECK(nextEntryExpiry(directory) == std::optional<TimePoint>(now + directory.limits.outdatedDelay));
    now += directory.limits.outdatedDelay;
    CHECK_EQUAL(std::string("i-1"), expireEntries(directory, now).dropped.at(0));
    CHECK_EQUAL(1, knownStart());
    write(2);
    write(1);
    applyEntryChanges(directory, {}, std::vector<std::string> { "i-1" }, now, seconds(60));
    expireEntries(directory, now + seconds(60));
    CHECK(directory.entries.empty());
}

TEST(RestartedTargets, GetNoRequestOnAConnectionToTheEarlierStart)
{
    ProxyTestBed testBed;
    ScriptedTarget* const target = &testBed.addTarget([&](const HttpMessage& received) {
        // The response of the earlier start arrives after the entry of the later one.
        if (headerValue(received, "X-Id") == "a") {
            testBed.entries.front().startedAt = 2;
            testBed.proxies.front()->applyTargetChanges(testBed.entries, {});
        }
        return ScriptedTarget::healthyResponse(received);
    });
    testBed.entries.front().startedAt = 1;
    testBed.start(1, true);
    auto caller = testBed.connectCaller();
    for (const std::string_view id : { "a", "b", "c" }) {
        caller->responses.clear();
        caller->send(makeRequest(id));
        CHECK(testBed.runUntil([&] { return caller->responses.size() == 1; }));
    }
    CHECK_EQUAL(2, target->connections);
}

TEST(RestartedTargets, AreNotBusyWithAttemptsThatAreReportedLate)
{
    ProxyTestBed testBed;
    testBed.addTarget([](const HttpMessage& received) { return ScriptedTarget::healthyResponse(received); });
    testBed.entries.front().startedAt = 2;
    const ProxySettings settings;
    DispatcherHost host(testBed.io, "dispatch", settings, 1, testBed.log, { [](const grants::Decision&) {}, [&](std::string_view) {
                                                                               grants::ListedTarget listed = testBed.entries.front().target;
                                                                               listed.startedAt = 2;
                                                                               return std::vector<grants::ListedTarget> { listed }; }, [](const grants::AttemptId&) {}, [](const grants::ListedTarget&) {} });
    const auto inFlight = [&host] { return host.pools().at("stock/0/1").targets.at("i-1").inFlight.size(); };
    host.attemptRunning({ 7, 1 }, { 1, "stock/0/1", "i-1", seconds(1), 0, 1 });
    CHECK_EQUAL(0, inFlight());
    host.attemptRunning({ 7, 2 }, { 2, "stock/0/1", "i-1", seconds(1), 0, 2 });
    // Daemons of earlier releases don't state the start.
    host.attemptRunning({ 7, 3 }, { 3, "stock/0/1", "i-1", seconds(1), 0, 0 });
    CHECK_EQUAL(2, inFlight());
}

TEST(RestartedTargets, CrashByThemselvesThoughTheEarlierCrashIsReportedLater)
{
    quarantine::CrashLedger ledger;
    CrashPolicy policy;
    policy.distinctTargets = 3;
    constexpr std::uint64_t fingerprint = 7;
    // The crash of the earlier start is found out a second after it, when the next start already runs the request.
    quarantine::recordCrash(ledger, fingerprint, incarnationName("i-1", 1), now - seconds(2), policy, now);
    quarantine::recordCrash(ledger, fingerprint, incarnationName("i-1", 2), now - milliseconds(500), policy, now + milliseconds(100));
    CHECK_EQUAL(2, quarantine::crashCount(ledger, fingerprint, policy, now + seconds(1)));
    CHECK_EQUAL(std::string("i-1"), incarnationName("i-1", 0));
}
