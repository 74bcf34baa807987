#include "flamingowick/standins/Load.h"
#include "flamingowick/standins/StandinTargets.h"

#include <CppUTest/TestHarness.h>

#include <numeric>
#include <set>

using namespace flamingowick;
using namespace flamingowick::standins;

namespace {

LoadOptions loadOn(const StandinTargets& targets)
{
    LoadOptions options;
    for (const std::uint16_t port : targets.ports())
        options.entries.push_back("127.0.0.1:" + std::to_string(port));
    options.rate = 2000;
    options.maxRequests = 500;
    options.postShare = 0.5;
    options.seed = 20261203;
    return options;
}

TargetOptions twoQuickTargets()
{
    TargetOptions options;
    options.count = 2;
    options.slots = 4;
    options.serviceTime = std::chrono::milliseconds(1);
    return options;
}

}

TEST_GROUP(Load)
{
    StandinTargets targets { twoQuickTargets() };

    std::uint64_t runs()
    {
        std::uint64_t count = 0;
        for (const std::uint16_t port : this->targets.ports())
            count += this->targets.ledger(port).runs.size();
        return count;
    }

    void setFaults(const TargetFaults& faults)
    {
        for (const std::uint16_t port : this->targets.ports())
            this->targets.setFaults(port, faults);
    }
};

TEST(Load, AgreesWithTheTargetsOnWhatWasRun)
{
    this->setFaults({ .shed = false });
    LoadOptions options = loadOn(this->targets);
    options.resendShare = 0.5;
    const LoadReport report = runLoad(options);
    CHECK(report.sent > 500);
    LONGS_EQUAL(report.sent, report.answered);
    LONGS_EQUAL(report.sent, report.statuses.at(200));
    LONGS_EQUAL(report.sent, this->runs());
    LONGS_EQUAL(0, report.foreignAnswers);
}

TEST(Load, GivesEveryRequestOneEndWhateverFails)
{
    for (const TargetFaults& faults : { TargetFaults { .errorShare = 0.5 }, TargetFaults { .oneWay = true }, TargetFaults { .crashMark = "nonce", .crashDowntime = std::chrono::milliseconds(5) }, TargetFaults { .drain = true } }) {
        this->setFaults(faults);
        LoadOptions options = loadOn(this->targets);
        options.timeout = std::chrono::milliseconds(50);
        const LoadReport report = runLoad(options);
        LONGS_EQUAL(500, report.answered + report.cutOff + report.timedOut + report.connectFailed + report.givenUpUnsent);
        LONGS_EQUAL(report.answered, report.latencies.size());
    }
}

TEST(Load, CountsConnectionsThatCloseWithoutAWholeAnswer)
{
    this->setFaults({ .crashMark = "nonce", .crashDowntime = std::chrono::milliseconds(1) });
    LoadOptions options = loadOn(this->targets);
    options.postShare = 1;
    options.rate = 200;
    options.maxRequests = 20;
    const LoadReport report = runLoad(options);
    CHECK(report.cutOff > 0);
    LONGS_EQUAL(0, report.answered);
}

TEST(Load, RefusesOptionsThatCannotBeUsed)
{
    CHECK_THROWS(std::runtime_error, runLoad({}));
    LoadOptions options;
    options.entries = { "nowhere" };
    CHECK_THROWS(std::runtime_error, runLoad(options));
}
