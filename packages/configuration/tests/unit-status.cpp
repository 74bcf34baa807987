#include "flamingowick/configuration/FleetStatus.h"
#include "flamingowick/configuration/OperatorText.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::configuration;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t root = 77;
constexpr std::uint64_t otherRoot = 78;

}

TEST_GROUP(StatusTally)
{
    StatusTally tally;
    TimePoint now { seconds(1000) };

    void setup() override
    {
        this->note("parts", 3);
        noteReport(this->tally, { "vm0", root, {}, {} }, root, this->now);
    }

    void note(const std::string& service, std::uint64_t version)
    {
        AcceptedDocument document;
        document.service = service;
        document.version = version;
        noteVersion(this->tally, document, this->now);
    }

    void expect(std::size_t inForce, std::size_t daemons)
    {
        const ServiceStatus status = statusOf(this->tally, "parts", this->now).value();
        CHECK_EQUAL(inForce, status.inForce);
        CHECK_EQUAL(daemons, status.daemons);
    }

    std::size_t countWrites(seconds duration)
    {
        std::size_t writes = 0;
        for (const TimePoint end = this->now + duration; this->now < end; this->now += std::chrono::milliseconds(100))
            writes += nextStatusWrite(this->tally, this->now).has_value() ? 1 : 0;
        return writes;
    }
};

TEST(StatusTally, countsDaemonsThatAgreeWithTheWriter)
{
    noteReport(this->tally, { "vm1", otherRoot, {}, {} }, root, this->now);
    this->expect(1, 2);
    this->now += seconds(1);
    this->note("parts", 4);
    this->expect(0, 2);
    noteReport(this->tally, { "vm1", root, {}, {} }, root, this->now);
    this->expect(1, 2);
}

TEST(StatusTally, countsWhatDaemonsReportByName)
{
    noteReport(this->tally, { "vm1", otherRoot, { { "parts", 3 } }, {} }, root, this->now);
    noteReport(this->tally, { "vm2", otherRoot, { { "parts", 2 } }, {} }, root, this->now);
    this->expect(2, 3);
    noteReport(this->tally, { "vm1", otherRoot, {}, {} }, root, this->now);
    this->expect(2, 3);
}

TEST(StatusTally, leavesOutDaemonsThatCannotReadOrAreSilent)
{
    noteReport(this->tally, { "vm1", root, {}, { "parts" } }, root, this->now);
    this->expect(1, 2);
    this->now += seconds(31);
    this->expect(0, 0);
}

TEST(StatusTally, writesWhatChangedOnce)
{
    this->countWrites(seconds(120));
    this->note("parts", 4);
    const StatusObject object = nextStatusWrite(this->tally, this->now).value();
    CHECK_EQUAL(statusShardOf("parts"), object.shard);
    CHECK_EQUAL(4U, object.services.front().version);
    CHECK_EQUAL(0U, this->countWrites(seconds(60)));
    noteFailedWrite(this->tally, object.shard, this->now);
    CHECK_EQUAL(1U, this->countWrites(seconds(60)));
}

TEST(StatusTally, keepsToItsRateWhateverChanges)
{
    this->countWrites(seconds(120));
    std::size_t writes = 0;
    for (unsigned round = 1; round <= 100; ++round) {
        for (int service = 0; service < 1000; ++service)
            this->note("service" + std::to_string(service), round);
        writes += this->countWrites(seconds(1));
    }
    // One a second, and the burst.
    CHECK(writes <= 105);
    CHECK(writes >= 95);
}

TEST(StatusTally, rewritesOneObjectNoMoreOftenThanItsInterval)
{
    this->countWrites(seconds(120));
    std::size_t writes = 0;
    for (unsigned round = 4; round < 104; ++round) {
        this->note("parts", round);
        writes += this->countWrites(seconds(1));
    }
    CHECK(writes <= 21);
}

TEST_GROUP(FleetStatus)
{
    DomainStatus first { "a", 2000, { 3, { { "doors", 1, true, 5, 5 }, { "parts", 4, false, 5, 4 } } } };
    DomainStatus second { "b", 3000, { 3, { { "parts", 3, false, 6, 6 } } } };
};

TEST(FleetStatus, countsOnlyTheNewestVersionAsInForce)
{
    const DomainStatus outdated { "a", 1000, { 3, { { "parts", 9, false, 9, 9 } } } };
    const std::vector<DomainStatus> objects { this->second, outdated, this->first };
    STRCMP_EQUAL("doors  version 1 (withdrawn)  in force on 5 of 5\n"
                 "parts  version 4  in force on 4 of 11  behind: b\n",
        renderStatus(combineStatus(objects)).c_str());
    CHECK_EQUAL(2000, combineStatus(objects).back().asOfMs);
}

TEST(FleetStatus, readsBackWhatItWritesToTheStore)
{
    CHECK(parseDomainStatus(domainStatusJson(this->first)).value == this->first);
    CHECK(!parseDomainStatus("{}").accepted());
}
