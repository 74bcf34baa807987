#include "flamingowick/proxy/Configuration.h"
#include "flamingowick/proxy/Fleet.h"
#include "flamingowick/proxy/ProxySettingsText.h"
#include "flamingowick/proxy/StateCache.h"
#include "flamingowick/proxy/StateFeed.h"
#include "flamingowick/proxy/TargetDirectory.h"
#include "flamingowick/proxy/TargetGroups.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace flamingowick;
using namespace flamingowick::proxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Routes) {
    static RouteIndex indexOf(const std::vector<std::pair<std::string, std::string>>& hostsAndPrefixes) {
        Configuration configuration;
for (const auto& [host, prefix] : hostsAndPrefixes) {
    Route route;
    route.host = host;
    route.pathPrefix = prefix;
    route.name = host + prefix;
    configuration.routes.push_back(route);
}
return RouteIndex(configuration);
}
}
;

TEST(Routes, TheLongestPrefixWins)
{
    const RouteIndex index = indexOf({ { "a", "/x/" }, { "a", "/x/y/" }, { "b", "/" } });
    CHECK_EQUAL(std::string("a/x/y/"), index.find("a", "/x/y/z")->name);
    CHECK_EQUAL(std::string("a/x/"), index.find("a", "/x/yz")->name);
    CHECK_EQUAL(std::string("b/"), index.find("b", "/anything?else=/x/")->name);
}

TEST(Routes, AreNotFoundByAPartOfASegmentOrAnotherHost)
{
    const RouteIndex index = indexOf({ { "a", "/x/" } });
    POINTERS_EQUAL(nullptr, index.find("a", "/x"));
    POINTERS_EQUAL(nullptr, index.find("a", "/xy/z"));
    POINTERS_EQUAL(nullptr, index.find("b", "/x/z"));
    POINTERS_EQUAL(nullptr, index.find("a", ""));
    CHECK(index.find("A:8080", "/x/z") != nullptr);
}

TEST_GROUP(Directory)
{
    TargetDirectory directory;
    TimePoint now { seconds(500) };

    static TargetEntry makeEntry(const std::string& instance, bool leaving = false, std::int64_t startedAt = 1)
    {
        TargetEntry result;
        result.service = "s";
        result.target.instance = instance;
        result.target.address = "10.0.0.1:80";
        result.target.leaving = leaving;
        result.startedAt = startedAt;
        return result;
    }

    DirectoryChange write(const std::vector<TargetEntry>& entries) { return applyEntryChanges(directory, entries, {}, now); }
    DirectoryChange remove(const std::vector<std::string>& instances) { return applyEntryChanges(directory, {}, instances, now); }

    void addTargets(unsigned count)
    {
        for (unsigned index = 0; index < count; ++index)
            write({ makeEntry("t" + std::to_string(index)) });
    }
};

TEST(Directory, ALeavingTargetStaysLeavingUntilItRestarts)
{
    write({ makeEntry("t", true) });
    write({ makeEntry("t") });
    CHECK_FALSE(acceptsRequests(directory, "t", now));
    write({ makeEntry("t", false, 2) });
    CHECK(acceptsRequests(directory, "t", now));
}

TEST(Directory, ASingleTargetWhoseEntryIsRemovedIsDroppedAtOnce)
{
    addTargets(6);
    CHECK_EQUAL(1, remove({ "t3" }).dropped.size());
    CHECK_FALSE(acceptsRequests(directory, "t3", now));
}

TEST(Directory, EntriesRemovedDuringAStoreOutageAreKeptForAGracePeriodAfterIt)
{
    addTargets(6);
    markStoreUnavailable(directory);
    CHECK_EQUAL(0, remove({ "t3" }).dropped.size());
    now += seconds(60);
    CHECK_EQUAL(0, expireEntries(directory, now).dropped.size());
    markStoreAvailable(directory, now);
    now += seconds(2);
    CHECK_EQUAL(0, expireEntries(directory, now).dropped.size());
    now += seconds(1);
    CHECK_EQUAL(1, expireEntries(directory, now).dropped.size());
}

// Guards against requests to a target that has left: connections to the store had gone silent for a second, in which no entry can lapse.
TEST(Directory, AnEntryRemovedInAnOutageInWhichNoneCanLapseIsDroppedAtItsEnd)
{
    addTargets(6);
    markStoreUnavailable(directory, now - milliseconds(1100));
    CHECK_EQUAL(0, remove({ "t3" }).dropped.size());
    now += milliseconds(200);
    markStoreAvailable(directory, now);
    CHECK_EQUAL(1, expireEntries(directory, now).dropped.size());
    // Not together with the first one, which would be a mass loss.
    now += milliseconds(1100);
    CHECK_EQUAL(1, remove({ "t4" }).dropped.size());
}

TEST(Directory, OutagesInQuickSuccessionCountAsOneInWhichEntriesMayLapse)
{
    addTargets(6);
    const TimePoint lastContact = now;
    for (int round = 0; round < 2; ++round) {
        markStoreUnavailable(directory, now);
        now += milliseconds(1500);
        markStoreAvailable(directory, now);
    }
    CHECK(now - lastContact >= directory.limits.shortestLapsingOutage);
    CHECK_EQUAL(0, remove({ "t3" }).dropped.size());
    now += seconds(60);
    CHECK_EQUAL(1, expireEntries(directory, now).dropped.size());
    markStoreUnavailable(directory, now);
    now += milliseconds(1500);
    markStoreAvailable(directory, now);
    CHECK_EQUAL(1, remove({ "t4" }).dropped.size());
}

TEST(Directory, AnEntryIsDroppedAtOnceWhenTheSenderStayedConnectedToTheStore)
{
    addTargets(6);
    markStoreUnavailable(directory);
    CHECK_EQUAL(1, applyEntryChanges(directory, {}, std::vector<std::string> { "t4" }, now, seconds(5)).dropped.size());
    CHECK_FALSE(acceptsRequests(directory, "t4", now));
}

TEST(Directory, TheGraceForExpiredEntriesCountsFromTheReconnectionOfTheSender)
{
    addTargets(6);
    markStoreUnavailable(directory);
    CHECK_EQUAL(0, applyEntryChanges(directory, {}, std::vector<std::string> { "t3" }, now, seconds(1)).dropped.size());
    now += seconds(1);
    // This daemon reconnects to the store two seconds after the sender of the removal did.
    markStoreAvailable(directory, now);
    CHECK(acceptsRequests(directory, "t3", now));
    now += milliseconds(400);
    CHECK_EQUAL(1, expireEntries(directory, now).dropped.size());
}

TEST(Directory, AnEntryWrittenAgainInTimeIsKept)
{
    addTargets(6);
    markStoreUnavailable(directory);
    remove({ "t3" });
    markStoreAvailable(directory, now);
    write({ makeEntry("t3") });
    now += seconds(10);
    CHECK_EQUAL(0, expireEntries(directory, now).dropped.size());
    CHECK(acceptsRequests(directory, "t3", now));
}

TEST(Directory, EntriesRemovedInAMassLossAreKeptForAGracePeriod)
{
    addTargets(6);
    const DirectoryChange change = remove({ "t0", "t1", "t2" });
    CHECK_EQUAL(0, change.dropped.size());
    CHECK_EQUAL(3, change.inGracePeriod.size());
    now += milliseconds(1600);
    CHECK_EQUAL(3, expireEntries(directory, now).dropped.size());
}

TEST(Directory, ALeavingTargetWhoseEntryIsRemovedIsNotKept)
{
    addTargets(6);
    write({ makeEntry("t3", true) });
    markStoreUnavailable(directory);
    CHECK_EQUAL(1, remove({ "t3" }).dropped.size());
}

// Guards against requests to a target that has ended, because the store has returned from a copy that still lists it.
TEST(Directory, ATargetThatHadGoneStaysSoWhenTheStoreReturnsFromAnOlderCopy)
{
    addTargets(6);
    remove({ "t3" });
    markStoreReturned(directory, now);
    write({ makeEntry("t2"), makeEntry("t3") });
    CHECK(acceptsRequests(directory, "t2", now));
    CHECK_FALSE(acceptsRequests(directory, "t3", now));
    // The store removes the entries of targets that are silent.
    now += seconds(4);
    remove({ "t3" });
    now += seconds(3);
    CHECK_FALSE(nextEntryExpiry(directory).has_value());
    expireEntries(directory, now);
    CHECK_FALSE(acceptsRequests(directory, "t3", now));
}

TEST(Directory, ATargetThatIsStillListedLongAfterTheStoreHasReturnedIsUsed)
{
    addTargets(6);
    remove({ "t3" });
    markStoreReturned(directory, now);
    write({ makeEntry("t3") });
    CHECK(nextEntryExpiry(directory).has_value());
    now = *nextEntryExpiry(directory);
    CHECK_EQUAL(1, expireEntries(directory, now).changedServices.size());
    CHECK(acceptsRequests(directory, "t3", now));
}

TEST(Directory, ATargetThatHasStartedAgainIsUsedAtOnceAfterTheStoreHasReturned)
{
    addTargets(6);
    remove({ "t3" });
    markStoreReturned(directory, now);
    write({ makeEntry("t3", false, 2) });
    CHECK(acceptsRequests(directory, "t3", now));
}

TEST(Directory, ConnectionsToARestartedInstanceAreDropped)
{
    write({ makeEntry("t") });
    CHECK_EQUAL(1, write({ makeEntry("t", false, 2) }).dropped.size());
    CHECK(acceptsRequests(directory, "t", now));
}

TEST_GROUP(Members)
{
    Fleet fleet;
    TimePoint now { seconds(500) };

    void setMemberCount(unsigned count)
    {
        fleet.self = "m0";
        std::vector<FleetMember> members;
        for (unsigned index = 0; index < count; ++index)
            members.push_back({ "m" + std::to_string(index), "10.0.0." + std::to_string(index) + ":1", index % 2 == 0 ? "a" : "b" });
        setMembers(fleet, members, now);
    }
};

TEST(Members, AllChooseTheSameDispatcher)
{
    setMemberCount(9);
    const std::string first = dispatchersFor(fleet, "g").front();
    fleet.self = "m5";
    CHECK_EQUAL(first, dispatchersFor(fleet, "g").front());
}

TEST(Members, AreNotDispatchersWhileSuspectedOrLeaving)
{
    setMemberCount(9);
    const std::string first = dispatchersFor(fleet, "g").front();
    fleet.self = first == "m0" ? "m1" : "m0";
    CHECK(markMemberSuspected(fleet, first, now));
    CHECK_FALSE(markMemberSuspected(fleet, first, now));
    const std::string second = dispatchersFor(fleet, "g").front();
    CHECK(second != first);
    CHECK(markMemberAlive(fleet, first));
    CHECK_EQUAL(first, dispatchersFor(fleet, "g").front());
    markMemberLeaving(fleet, first);
    CHECK_EQUAL(second, dispatchersFor(fleet, "g").front());
}

TEST(Members, AreProbedLessAndLessOftenWhileSuspected)
{
    setMemberCount(3);
    markMemberSuspected(fleet, "m1", now);
    unsigned probes = 0;
    for (int step = 0; step < 300; ++step) {
        now += milliseconds(100);
        probes += static_cast<unsigned>(scheduleDueProbes(fleet, now).size());
    }
    CHECK(probes >= 5);
    CHECK(probes <= 10);
}

TEST(Members, ThatHaveJustJoinedAreKeptWhileAListLacksThem)
{
    setMemberCount(3);
    addMember(fleet, { "new", "10.1.0.1:1", "a" }, now);
    setMembers(fleet, {}, now + seconds(5));
    CHECK(fleet.members.find("new") != fleet.members.end());
    setMembers(fleet, {}, now + seconds(11));
    CHECK(fleet.members.find("new") == fleet.members.end());
    CHECK(fleet.members.find("m0") != fleet.members.end());
}

TEST(Members, SuspectedForLongAreRemovedByExactlyOneOther)
{
    setMemberCount(5);
    unsigned removingMembers = 0;
    for (const std::string self : { "m0", "m1", "m3", "m4" }) {
        fleet.self = self;
        fleet.members.at("m2").suspected = false;
        markMemberSuspected(fleet, "m2", now);
        CHECK_EQUAL(0, membersToRemove(fleet, now + seconds(30)).size());
        removingMembers += static_cast<unsigned>(membersToRemove(fleet, now + seconds(61)).size());
    }
    CHECK_EQUAL(1, removingMembers);
}

TEST(Members, RelaysAreOfTheSameDomainIfItHasMembers)
{
    setMemberCount(10);
    for (const std::string& name : relaysForDomain(fleet, "b", {}))
        CHECK_EQUAL(std::string("b"), fleet.members.at(name).failureDomain);
    CHECK_EQUAL(2, relaysForDomain(fleet, "b", {}).size());
    CHECK_EQUAL(2, relaysForDomain(fleet, "nowhere", {}).size());
}

TEST_GROUP(Groups) {};

TEST(Groups, AreOfBoundedSizeAndCoverEachTargetOnce)
{
    CHECK_EQUAL(1, groupCountFor(0));
    CHECK_EQUAL(1, groupCountFor(18));
    const unsigned count = groupCountFor(232);
    CHECK(count > 1);
    for (int target = 0; target < 232; ++target) {
        const std::string instance = "i-" + std::to_string(target);
        unsigned groups = 0;
        for (unsigned index = 0; index < count; ++index)
            groups += isInGroup({ "s", index, count }, instance) ? 1 : 0;
        CHECK_EQUAL(1, groups);
        CHECK(isInGroup(groupOf("s", instance, count), instance));
    }
}

TEST(Groups, AreParsedFromTheirNames)
{
    const auto group = parseGroup(groupName({ "a/b", 3, 8 }));
    CHECK_EQUAL(std::string("a/b"), group->service);
    CHECK_EQUAL(3, group->index);
    CHECK_EQUAL(8, group->count);
    for (const std::string_view invalidName : { "", "a", "a/1", "a/8/8", "a/0/0", "a/x/8", "a/1/999999", "a/-1/8" })
        CHECK_FALSE(parseGroup(invalidName).has_value());
}

TEST_GROUP(State)
{
    KindCache cache;

    static StateChange makeWrite(const std::string& name, std::uint64_t revision) { return { { name, revision, name + std::to_string(revision) }, false }; }
    static StateChange makeRemoval(const std::string& name, std::uint64_t revision) { return { { name, revision, {} }, true }; }

    static void deliver(const StateDelta& delta, KindCache& receiver)
    {
        std::vector<StateObject> objects;
        for (const StateChange& change : delta.changes)
            objects.push_back(change.object);
        if (delta.isSnapshot)
            applySnapshot(receiver, delta.revision, objects);
        else
            applyChanges(receiver, delta.revision, delta.changes);
    }
};

TEST(State, ASnapshotReturnsTheChangesThatItMakes)
{
    CHECK_EQUAL(2, applySnapshot(cache, 10, std::vector<StateObject> { { "a", 5, "" }, { "b", 6, "" } }).size());
    const auto changes = applySnapshot(cache, 12, std::vector<StateObject> { { "b", 6, "" }, { "c", 11, "" } });
    CHECK_EQUAL(2, changes.size());
    CHECK(changes[0].removed);
    CHECK_EQUAL(std::string("a"), changes[0].object.name);
    CHECK_EQUAL(std::string("c"), changes[1].object.name);
}

TEST(State, IgnoresOlderRevisions)
{
    applySnapshot(cache, 10, std::vector<StateObject> { { "a", 5, "" } });
    applyChanges(cache, 20, std::vector<StateChange> { makeWrite("a", 18) });
    CHECK_EQUAL(0, applySnapshot(cache, 12, std::vector<StateObject> { { "a", 5, "" } }).size());
    CHECK_EQUAL(0, applyChanges(cache, 12, std::vector<StateChange> { makeWrite("a", 11), makeRemoval("a", 12) }).size());
    CHECK_EQUAL(18, cache.objects.at("a").revision);
    CHECK_EQUAL(20, cache.seenRevision);
}

TEST(State, ReturnsTheChangesThatAPeerLacks)
{
    applySnapshot(cache, 10, std::vector<StateObject> { { "a", 5, "" }, { "b", 6, "" } });
    CHECK(hasChangesSince(cache, 0));
    CHECK(changesSince(cache, 0).isSnapshot);
    CHECK_EQUAL(2, changesSince(cache, 0).changes.size());
    CHECK_FALSE(hasChangesSince(cache, 10));
    applyChanges(cache, 14, std::vector<StateChange> { makeWrite("c", 12), makeRemoval("a", 14) });
    const StateDelta delta = changesSince(cache, 10);
    CHECK_FALSE(delta.isSnapshot);
    CHECK_EQUAL(14, delta.revision);
    CHECK_EQUAL(2, delta.changes.size());
}

// Guards against a target that has left and comes back: a relay that stood still sends a write that is older than the removal which
// another relay has sent.
TEST(State, AWriteOlderThanARemovalBringsNothingBack)
{
    applySnapshot(cache, 10, std::vector<StateObject> { { "a", 5, "" }, { "b", 6, "" } });
    applyChanges(cache, 12, std::vector<StateChange> { makeRemoval("a", 12) });
    CHECK_EQUAL(0, applyChanges(cache, 11, std::vector<StateChange> { makeWrite("a", 11) }).size());
    CHECK_EQUAL(0, applyChanges(cache, 12, std::vector<StateChange> { makeWrite("a", 11) }).size());
    CHECK_EQUAL(1, cache.objects.size());
}

// Guards against the same where the removal came with a snapshot, or where the object was unknown when it was removed.
TEST(State, NorDoesOneOlderThanASnapshotOrTheRemovalOfAnUnknownObject)
{
    applySnapshot(cache, 10, std::vector<StateObject> { { "a", 5, "" } });
    applySnapshot(cache, 20, std::vector<StateObject> {});
    applyChanges(cache, 22, std::vector<StateChange> { makeRemoval("b", 22) });
    CHECK_EQUAL(0, applyChanges(cache, 21, std::vector<StateChange> { makeWrite("a", 18), makeWrite("b", 21) }).size());
    CHECK(cache.objects.empty());
}

TEST(State, AnObjectThatIsWrittenAfterItsRemovalIsBack)
{
    applySnapshot(cache, 10, std::vector<StateObject> { { "a", 5, "" } });
    applyChanges(cache, 12, std::vector<StateChange> { makeRemoval("a", 12) });
    CHECK_EQUAL(1, applyChanges(cache, 14, std::vector<StateChange> { makeWrite("a", 13) }).size());
    CHECK_EQUAL(13, cache.objects.at("a").revision);
}

// Guards against the same where a relay reads a list that no longer shows the object, which it has never known.
TEST(State, APeerLearnsOfTheRemovalOfAnObjectThatOnlyOtherPeersHaveKnown)
{
    KindCache peer;
    applySnapshot(cache, 10, std::vector<StateObject> { { "a", 5, "" } });
    applySnapshot(peer, 10, std::vector<StateObject> { { "a", 5, "" } });
    applyChanges(peer, 11, std::vector<StateChange> { makeWrite("b", 11) });
    applySnapshot(cache, 14, std::vector<StateObject> { { "a", 13, "" } });
    deliver(changesSince(cache, peer.seenRevision), peer);
    CHECK_EQUAL(1, peer.objects.size());
    applyChanges(peer, 15, std::vector<StateChange> { makeWrite("c", 15) });
    applyChanges(cache, 16, std::vector<StateChange> { makeRemoval("c", 16) });
    deliver(changesSince(cache, peer.seenRevision), peer);
    CHECK_EQUAL(1, peer.objects.size());
}

// The schedules of two relays that each stand still, list the store anew or answer polls late at times.
TEST(State, AFollowerOfTwoRelaysThatStandStillAtTimesHasTheObjectsOfTheStore)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        KindCache store;
        store.hasSnapshot = true;
        std::array<KindCache, 2> relays;
        KindCache follower;
        // Answers that a relay has made and not sent yet.
        std::array<std::optional<StateDelta>, 2> held;
        for (std::uint64_t revision = 1; revision < 300; ++revision) {
            const std::string name = "o" + std::to_string(random() % 6);
            applyChanges(store, revision, std::vector<StateChange> { random() % 3 == 0 ? makeRemoval(name, revision) : makeWrite(name, revision) });
            for (std::size_t index = 0; index < relays.size(); ++index) {
                if (held.at(index)) {
                    if (random() % 4 == 0) {
                        deliver(*held.at(index), follower);
                        held.at(index).reset();
                    }
                    continue;
                }
                deliver(changesSince(store, random() % 10 == 0 ? 0 : relays.at(index).seenRevision), relays.at(index));
                held.at(index) = changesSince(relays.at(index), follower.seenRevision);
            }
        }
        for (std::size_t index = 0; index < relays.size(); ++index) {
            if (held.at(index))
                deliver(*held.at(index), follower);
        }
        if (follower.seenRevision < store.seenRevision)
            deliver(changesSince(store, follower.seenRevision), follower);
        CHECK_EQUAL(store.objects.size(), follower.objects.size());
        for (const auto& [name, object] : store.objects)
            CHECK_EQUAL(object.revision, follower.objects.at(name).revision);
    }
}

TEST(State, APeerThatAppliesDeltasHasTheSameObjects)
{
    KindCache peer;
    for (std::uint64_t revision = 1; revision < 4000; ++revision) {
        const std::string name = "o" + std::to_string(revision * 7919 % 50);
        applyChanges(cache, revision, std::vector<StateChange> { revision % 3 == 0 ? makeRemoval(name, revision) : makeWrite(name, revision) });
        cache.hasSnapshot = true;
        if (revision % (1 + revision % 37) != 0)
            continue;
        deliver(changesSince(cache, peer.seenRevision), peer);
        CHECK_EQUAL(cache.objects.size(), peer.objects.size());
        for (const auto& [key, object] : cache.objects)
            CHECK_EQUAL(object.revision, peer.objects.at(key).revision);
    }
}

TEST_GROUP(ProxySettingsTexts)
{
    static constexpr std::string_view validSettings = R"({
        // A daemon.
        "vm": "front-1", "failureDomain": "hall", "callerAddress": "10.0.0.1:80", "readyAddress": "10.0.0.1:81",
        "peerAddress": "10.0.0.1:82", "storeAddress": "10.9.0.1:83", "stopGrace": "2.5s", "retryRatio": 0.2, "retryBurst": 56, "linkMbps": 200.0, "memoryMb": 260, "fleetStage": "running" })";
};

TEST(ProxySettingsTexts, AreParsedWithUnits)
{
    const auto checked = parseProxySettings(validSettings);
    CHECK(checked.accepted());
    CHECK(checked.value.stopGrace == milliseconds(2500));
    DOUBLES_EQUAL(56, checked.value.retryBurst, 0);
    CHECK(checked.value.fleetStage == FleetStage::Running);
    DOUBLES_EQUAL(200, checked.value.linkMbps, 0);
    DOUBLES_EQUAL(260, checked.value.memoryMb, 0);
}

TEST(ProxySettingsTexts, AllFindingsAreReportedWithPointerAndLine)
{
    const auto checked = parseProxySettings("{\n\"vm\": \"front 1\",\n\"callerAddress\": 5,\n\"stopGrace\": \"soon\",\n\"sotreAddress\": \"10.0.0.1:80\"\n}");
    CHECK(checked.findings.size() >= 6);
    CHECK(std::any_of(checked.findings.begin(), checked.findings.end(), [](const Finding& finding) { return finding.pointer == "/stopGrace" && finding.line == 4; }));
    CHECK(std::any_of(checked.findings.begin(), checked.findings.end(), [](const Finding& finding) { return finding.pointer == "/sotreAddress" && finding.line == 5; }));
}
