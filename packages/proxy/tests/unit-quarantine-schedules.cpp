#include "QuarantineModel.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <limits>

using namespace flamingowick;
using namespace flamingowick::proxy;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A request that crashes its targets comes again at daemons all over a fleet in which other things fail meanwhile.
// FLAMINGOWICK_SEED and FLAMINGOWICK_RUNS play other seeds, and more of them.

namespace {

// The rule allows this many sends to targets, later than the stable window after the third crash.
constexpr unsigned allowedLateSends = 3;
// Crashes until the request is refused, and as many sends more.
constexpr unsigned mostSendsWithTheStore = 3 + allowedLateSends;
constexpr unsigned anyNumber = std::numeric_limits<unsigned>::max();
constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t runCount = 50;

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// Plays the fleet with many seeds; vary() sets the options of each. mostSends limits all sends together.
template <typename Vary>
void play(unsigned mostSends, Vary vary)
{
    const std::uint64_t first = numberFromEnvironment("FLAMINGOWICK_SEED", firstSeed);
    const std::uint64_t count = numberFromEnvironment("FLAMINGOWICK_RUNS", runCount);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        QuarantineModelOptions options;
        options.seed = seed;
        vary(options, seed);
        const QuarantineModelResult result = runQuarantineModel(options);
        const std::string story = "seed " + std::to_string(seed) + ": " + std::to_string(result.sends) + " sends, " + std::to_string(result.lateSends) + " late, " + std::to_string(result.sendsAfterStored) + " after the refusal was stored; " + std::to_string(result.refusals) + " refusals";
        CHECK_TEXT(result.lateSends <= allowedLateSends, story.c_str());
        CHECK_TEXT(result.sends <= mostSends, story.c_str());
        CHECK_TEXT(result.sendsAfterStored == 0, story.c_str());
        CHECK_TEXT(result.refusals > 0, story.c_str());
    }
}

}

TEST_GROUP(QuarantineSchedules) {
    void setup() override { Clock::pause();
}
void teardown() override { Clock::resume(); }
}
;

TEST(QuarantineSchedules, HoldWhileDaemonsRestartAndMessagesAreLost)
{
    play(mostSendsWithTheStore, [](QuarantineModelOptions&, std::uint64_t) {});
}

TEST(QuarantineSchedules, HoldThroughARestartOfAllDaemons)
{
    play(mostSendsWithTheStore, [](QuarantineModelOptions& options, std::uint64_t seed) { options.restartOfAllAt = seconds(5) + milliseconds(300) * (seed % 50); });
}

TEST(QuarantineSchedules, HoldWhileTheStoreIsUnavailable)
{
    play(anyNumber, [](QuarantineModelOptions& options, std::uint64_t seed) {
        options.storeLostAt = milliseconds(100) * (seed % 50);
        options.storeBackAt = options.storeLostAt + seconds(2) + milliseconds(500) * (seed % 20);
    });
}

TEST(QuarantineSchedules, HoldWhileAPartOfTheFleetIsCutOff)
{
    play(anyNumber, [](QuarantineModelOptions& options, std::uint64_t seed) {
        options.cutAt = milliseconds(100) * (seed % 40);
        options.cutEndsAt = options.cutAt + seconds(2) + milliseconds(400) * (seed % 25);
    });
}

TEST(QuarantineSchedules, HoldWhileAllOfThisOverlaps)
{
    play(anyNumber, [](QuarantineModelOptions& options, std::uint64_t seed) {
        options.daemons = 6 + seed % 60;
        options.messageLoss = 0.02 * static_cast<double>(seed % 10);
        options.storeLostAt = milliseconds(200) * (seed % 30);
        options.storeBackAt = options.storeLostAt + seconds(1) + milliseconds(500) * (seed % 17);
        options.cutAt = milliseconds(300) * (seed % 20);
        options.cutEndsAt = options.cutAt + milliseconds(700) * (seed % 13);
        options.restartOfAllAt = seconds(2) + milliseconds(700) * (seed % 40);
    });
}
