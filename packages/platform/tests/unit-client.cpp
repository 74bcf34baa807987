#include "Recorder.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/platform/PlatformClient.h"
#include "flamingowick/standins/StandinPlatform.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <thread>

using namespace flamingowick;
using namespace flamingowick::platform;
using flamingowick::platform::testing::Recorder;
using flamingowick::standins::StandinPlatform;

namespace {

Object rangeObject(std::string name, std::string changeId, std::string version = {})
{
    return { Plural::KeyRanges, std::move(name), std::move(version), std::move(changeId), "test", R"({"epoch":1})" };
}

ClientSettings settingsFor(const StandinPlatform& platform)
{
    ClientSettings settings;
    settings.url = platform.url();
    settings.vm = "vm-1";
    settings.callTimeout = std::chrono::seconds(20);
    settings.watchTimeout = std::chrono::seconds(1);
    settings.minBackoff = std::chrono::milliseconds(10);
    settings.maxBackoff = std::chrono::milliseconds(100);
    settings.maxCallsPerSecond = 10000;
    return settings;
}

// For tests in which a call has to time out.
ClientSettings shortTimeoutSettingsFor(const StandinPlatform& platform)
{
    ClientSettings settings = settingsFor(platform);
    settings.callTimeout = std::chrono::milliseconds(500);
    return settings;
}

}

TEST_GROUP(Client)
{
    StandinPlatform platform { { .maxHistory = 8 } };
    Recorder recorder;

    // Creates an object and returns its version.
    std::string createObject(PlatformClient & client, CallId id, const Object& object)
    {
        CHECK(client.submit(Create { id, object }));
        return this->recorder.awaitOne<Applied>(id).object.resourceVersion;
    }
};

TEST(Client, CreatesReadsReplacesAndDeletesAnObject)
{
    PlatformClient client(settingsFor(this->platform), this->recorder.handler());
    const std::string version = this->createObject(client, 1, rangeObject("r/1 a", "c1"));
    CHECK(client.submit(Get { 2, Plural::KeyRanges, "r/1 a" }));
    const Found found = this->recorder.awaitOne<Found>(2);
    CHECK(found.objects == std::vector { rangeObject("r/1 a", "c1", version) });
    CHECK(client.submit(Put { 3, rangeObject("r/1 a", "c2", version) }));
    const std::string replaced = this->recorder.awaitOne<Applied>(3).object.resourceVersion;
    CHECK(replaced != version);
    CHECK(client.submit(List { 4, Plural::KeyRanges }));
    LONGS_EQUAL(1, this->recorder.awaitOne<Found>(4).objects.size());
    CHECK(client.submit(Delete { 5, Plural::KeyRanges, "r/1 a", replaced }));
    CHECK_EQUAL(std::string("r/1 a"), this->recorder.awaitOne<Applied>(5).object.name);
    CHECK(client.submit(Get { 6, Plural::KeyRanges, "r/1 a" }));
    LONGS_EQUAL(6, this->recorder.awaitOne<Absent>(6).id);
}

TEST(Client, ReportsConflictsAndRejectedCalls)
{
    PlatformClient client(settingsFor(this->platform), this->recorder.handler());
    const std::string version = this->createObject(client, 1, rangeObject("a", "c1"));
    CHECK(client.submit(Create { 2, rangeObject("a", "c2") }));
    CHECK(client.submit(Put { 3, rangeObject("a", "c3", version + "9") }));
    CHECK(client.submit(Delete { 4, Plural::KeyRanges, "a", version + "9" }));
    CHECK(client.submit(Put { 5, rangeObject("a", "c5") }));
    CHECK(client.submit(Put { 6, rangeObject("b", "c6", "1") }));
    LONGS_EQUAL(2, this->recorder.awaitOne<Conflict>(2).id);
    LONGS_EQUAL(3, this->recorder.awaitOne<Conflict>(3).id);
    LONGS_EQUAL(4, this->recorder.awaitOne<Conflict>(4).id);
    LONGS_EQUAL(5, this->recorder.awaitOne<Rejected>(5).id);
    LONGS_EQUAL(6, this->recorder.awaitOne<Absent>(6).id);
}

TEST(Client, AfterALostResponseTheChangeIdShowsWhetherTheWriteWasStored)
{
    PlatformClient client(settingsFor(this->platform), this->recorder.handler());
    this->platform.setFaults({ .loseAnswers = 1 });
    CHECK(client.submit(Create { 1, rangeObject("a", "mine") }));
    LONGS_EQUAL(1, this->recorder.awaitOne<UnknownOutcome>(1).id);
    CHECK(client.submit(Get { 2, Plural::KeyRanges, "a" }));
    const Found found = this->recorder.awaitOne<Found>(2);
    LONGS_EQUAL(1, found.objects.size());
    CHECK_EQUAL(std::string("mine"), found.objects.front().changeId);
}

TEST(Client, AfterATimeoutAWriteIsUnknownAndAReadIsUnavailable)
{
    PlatformClient client(shortTimeoutSettingsFor(this->platform), this->recorder.handler());
    this->platform.setFaults({ .deaf = { "vm-1" } });
    CHECK(client.submit(Create { 1, rangeObject("a", "c1") }));
    CHECK(client.submit(Get { 2, Plural::KeyRanges, "a" }));
    LONGS_EQUAL(1, this->recorder.awaitOne<UnknownOutcome>(1).id);
    LONGS_EQUAL(2, this->recorder.awaitOne<Unavailable>(2).id);
}

TEST(Client, AWriteThatIsNotSentOrGetsStatus429IsUnavailable)
{
    ClientSettings unreachable = settingsFor(this->platform);
    {
        const StandinPlatform stoppedPlatform({});
        unreachable.url = stoppedPlatform.url();
    }
    PlatformClient client(unreachable, this->recorder.handler());
    CHECK(client.submit(Create { 1, rangeObject("a", "c1") }));
    LONGS_EQUAL(1, this->recorder.awaitOne<Unavailable>(1).id);
    this->platform.setFaults({ .maxCallsPerSecond = 1 });
    PlatformClient second(settingsFor(this->platform), this->recorder.handler());
    for (CallId id = 10; id < 40; ++id)
        CHECK(second.submit(Create { id, rangeObject(std::to_string(id), std::to_string(id)) }));
    CHECK(this->recorder.awaitCount(31));
    LONGS_EQUAL(30, this->platform.counters().refused + this->platform.appliedChanges().size());
    CHECK(this->platform.counters().refused > 0);
}

TEST(Client, AWatchDeliversASnapshotAndThenTheChangesInOrder)
{
    PlatformClient client(settingsFor(this->platform), this->recorder.handler());
    std::string version = this->createObject(client, 1, rangeObject("a", "c0"));
    CHECK(client.submit(Watch { 2, Plural::KeyRanges }));
    LONGS_EQUAL(1, this->recorder.awaitOne<WatchSnapshot>(2).objects.size());
    LONGS_EQUAL(2, this->recorder.awaitOne<WatchEvents>(2).id);
    for (CallId id = 10; id < 30; ++id) {
        CHECK(client.submit(Put { id, rangeObject("a", "c" + std::to_string(id), version) }));
        version = this->recorder.awaitOne<Applied>(id).object.resourceVersion;
    }
    CHECK(this->recorder.await([&version](const std::vector<Result>& results) {
        return std::any_of(results.begin(), results.end(), [&version](const Result& result) {
            const auto* events = std::get_if<WatchEvents>(&result);
            return events != nullptr && events->resourceVersion == version;
        });
    }));
    CallId next = 10;
    for (const Result& result : this->recorder.all()) {
        const auto* events = std::get_if<WatchEvents>(&result);
        if (events == nullptr)
            continue;
        for (const WatchEvent& event : events->events) {
            CHECK_EQUAL("c" + std::to_string(next), event.object.changeId);
            ++next;
        }
    }
    LONGS_EQUAL(30, next);
}

TEST(Client, AWatchReportsAnOutageAndListsAgainWhenTheStoreNoLongerKeepsTheChanges)
{
    PlatformClient client(shortTimeoutSettingsFor(this->platform), this->recorder.handler());
    CHECK(client.submit(Watch { 1, Plural::KeyRanges }));
    LONGS_EQUAL(1, this->recorder.awaitOne<WatchEvents>(1).id);
    this->platform.setFaults({ .deaf = { "vm-1" } });
    this->platform.dropConnections();
    LONGS_EQUAL(1, this->recorder.awaitOne<WatchInterrupted>(1).id);
    ClientSettings other = settingsFor(this->platform);
    other.vm = "vm-2";
    Recorder otherRecorder;
    PlatformClient writer(other, otherRecorder.handler());
    for (CallId id = 1; id <= 20; ++id)
        CHECK(writer.submit(Create { id, rangeObject(std::to_string(id), "c") }));
    CHECK(otherRecorder.awaitCount(20));
    this->platform.setFaults({});
    CHECK(this->recorder.await([](const std::vector<Result>& results) {
        return std::any_of(results.begin(), results.end(), [](const Result& result) {
            const auto* snapshot = std::get_if<WatchSnapshot>(&result);
            return snapshot != nullptr && snapshot->objects.size() == 20;
        });
    }));
}

TEST(Client, AStoppedWatchProducesNoMoreResults)
{
    PlatformClient client(settingsFor(this->platform), this->recorder.handler());
    CHECK(client.submit(Watch { 1, Plural::KeyRanges }));
    LONGS_EQUAL(1, this->recorder.awaitOne<WatchEvents>(1).id);
    CHECK(client.submit(StopWatch { 1 }));
    // Calls are handled in order, so the result of a later call shows that the client has handled the StopWatch.
    CHECK(client.submit(List { 2, Plural::KeyRanges }));
    LONGS_EQUAL(2, this->recorder.awaitOne<Found>(2).id);
    const std::size_t before = this->recorder.all().size();
    this->createObject(client, 3, rangeObject("a", "c1"));
    LONGS_EQUAL(before + 1, this->recorder.all().size());
}

TEST(Client, StoppingDeliversEveryResultAndRejectsFurtherCalls)
{
    ClientSettings settings = settingsFor(this->platform);
    settings.callTimeout = std::chrono::minutes(1);
    settings.maxOutstanding = 2;
    this->platform.setFaults({ .deaf = { "vm-1" } });
    PlatformClient client(settings, this->recorder.handler());
    for (CallId id = 1; id <= 50; ++id)
        CHECK(client.submit(Create { id, rangeObject(std::to_string(id), "c") }));
    while (this->platform.counters().calls < 2)
        std::this_thread::yield();
    client.stop();
    CHECK_FALSE(client.submit(List { 99, Plural::KeyRanges }));
    const std::vector<Result> results = this->recorder.all();
    LONGS_EQUAL(50, results.size());
    const auto unknown = std::count_if(results.begin(), results.end(),
        [](const Result& result) { return std::holds_alternative<UnknownOutcome>(result); });
    LONGS_EQUAL(2, unknown);
}

TEST(Client, RejectsCallsWhenTheQueueIsFull)
{
    ClientSettings settings = shortTimeoutSettingsFor(this->platform);
    settings.maxWaiting = 3;
    settings.maxCallsPerSecond = 1;
    PlatformClient client(settings, this->recorder.handler());
    unsigned accepted = 0;
    for (CallId id = 1; id <= 50; ++id)
        accepted += client.submit(List { id, Plural::KeyRanges }) ? 1 : 0;
    CHECK(accepted < 50);
    CHECK(this->recorder.awaitCount(accepted));
}

TEST(Client, RejectsInvalidSettings)
{
    ClientSettings settings = settingsFor(this->platform);
    settings.url = "10.0.0.1:80";
    CHECK_THROWS(PlatformError, PlatformClient(settings, this->recorder.handler()));
}
