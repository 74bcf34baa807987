#include "Environment.h"
#include "FakePlatform.h"

#include "flamingowick/configuration/StoreText.h"
#include "flamingowick/ctl/Apply.h"

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingowick;
using namespace flamingowick::ctl;

namespace {

constexpr std::uint64_t defaultSeed = 20261203;
constexpr std::uint64_t schedules = 3000;

ApplyRequest makeRequest(const std::string& text)
{
    ApplyRequest request;
    request.fileName = "ledger.jsonc";
    request.text = text;
    request.by = "amal";
    request.changeId = "own-1";
    return request;
}

ApplyReport applied(FakePlatform& platform, const ApplyRequest& request)
{
    Report report = apply(platform.ports(), request);
    CHECK(std::holds_alternative<ApplyReport>(report));
    return std::get<ApplyReport>(report);
}

std::size_t ownWrites(const FakePlatform& platform)
{
    return static_cast<std::size_t>(std::ranges::count(platform.taken, "own-1", &TakenWrite::changeId));
}

// How often own writes took effect, and whether each replaced what was read.
struct Ledger {
    std::size_t writes { 0 };
    bool onlyWhatWasRead { true };
};

Ledger settle(FakePlatform& platform)
{
    platform.deliverLateWrites();
    Ledger ledger { ownWrites(platform), true };
    for (const TakenWrite& write : platform.taken)
        ledger.onlyWhatWasRead = ledger.onlyWhatWasRead && write.replacedVersion == platform.firstReadVersion;
    return ledger;
}

// Returns whether what the operator was told agrees with what the platform did.
bool isTrue(const Report& report, const Ledger& ledger)
{
    if (ledger.writes > 1 || !ledger.onlyWhatWasRead)
        return false;
    if (std::holds_alternative<FailureReport>(report))
        return ledger.writes == 0;
    const auto& told = std::get<ApplyReport>(report);
    if (told.outcome == ApplyOutcome::Unknown)
        return true;
    const bool isWritten = told.outcome != ApplyOutcome::Conflict && !told.unchanged;
    return ledger.writes == (isWritten ? 1U : 0U);
}

Faults drawFaults(std::mt19937_64& random)
{
    auto share = [&random](double most) { return std::uniform_real_distribution<>(0, most)(random); };
    return { share(0.5), share(0.4), share(0.5), share(0.2), share(0.2), share(0.9) };
}

using PortsOf = Ports (*)(FakePlatform&);

Ports plainPorts(FakePlatform& platform)
{
    return platform.ports();
}

// Runs one schedule and returns whether the operator was told the truth.
bool runSchedule(std::uint64_t seed, const ApplyPolicy& policy, PortsOf portsOf)
{
    std::mt19937_64 random(seed);
    FakePlatform platform(random(), drawFaults(random));
    if (random() % 4 != 0)
        platform.writeAsOther("ledger", makeText(1));
    ApplyRequest request = makeRequest(makeText(2));
    request.wait = std::chrono::milliseconds(random() % 3000);
    Report report = apply(portsOf(platform), request, policy);
    return isTrue(report, settle(platform));
}

std::size_t countLies(const ApplyPolicy& policy, PortsOf portsOf, std::uint64_t count)
{
    const std::uint64_t seed = environmentNumber("FLAMINGOWICK_SEED", defaultSeed);
    std::size_t lies = 0;
    for (std::uint64_t index = 0; index < count; ++index)
        lies += runSchedule(seed + index, policy, portsOf) ? 0 : 1;
    return lies;
}

WriteStep takeUnchangedForNotWritten(const WriteFacts& facts) noexcept
{
    return facts.stored == StoredState::Unchanged ? WriteStep::Conflict : nextWriteStep(facts);
}

WriteStep takeForeignForNeverWritten(const WriteFacts& facts) noexcept
{
    return facts.stored == StoredState::Foreign ? WriteStep::Conflict : nextWriteStep(facts);
}

WriteStep takeStillAbsentForNotCreated(const WriteFacts& facts) noexcept
{
    return facts.stored == StoredState::StillAbsent ? WriteStep::WriteAgain : nextWriteStep(facts);
}

WriteStep takeLostAnswerForWritten(const WriteFacts& facts) noexcept
{
    return facts.answer == WriteAnswer::Unknown ? WriteStep::Applied : nextWriteStep(facts);
}

// Writes on whatever version the platform holds, as an unconditional write would.
Ports carelessPorts(FakePlatform& platform)
{
    Ports ports = platform.ports();
    ports.callPlatform = [&platform](platform::Call call) {
        auto& objects = platform.objects(platform::Plural::ServiceDocuments);
        auto* put = std::get_if<platform::Put>(&call);
        if (put != nullptr && objects.contains("ledger"))
            put->object.resourceVersion = objects["ledger"].resourceVersion;
        return platform.call(call);
    };
    return ports;
}

}

TEST_GROUP(Apply) {
    void setup() override { Clock::pause();
}
void teardown() override { Clock::resume(); }
}
;

TEST(Apply, CreatesADocumentAndTellsTheAcceptedVersion)
{
    FakePlatform platform(1);
    ApplyReport report = applied(platform, makeRequest(makeText(2)));
    CHECK(report.outcome == ApplyOutcome::Accepted);
    UNSIGNED_LONGS_EQUAL(1, report.acceptedVersion);
    LONGS_EQUAL(0, static_cast<int>(exitCodeOf(report)));
}

TEST(Apply, WritesNothingWhenTheDocumentHasFindings)
{
    FakePlatform platform(1);
    Report report = apply(platform.ports(), makeRequest(R"({"name": "ledger", "routs": []})"));
    LONGS_EQUAL(2, static_cast<int>(exitCodeOf(report)));
    CHECK(platform.taken.empty());
}

TEST(Apply, WritesNothingWhenTheTextIsThereAlready)
{
    FakePlatform platform(1);
    platform.writeAsOther("ledger", makeText(2));
    ApplyReport report = applied(platform, makeRequest(makeText(2)));
    CHECK(report.outcome == ApplyOutcome::Accepted);
    CHECK(report.unchanged);
    CHECK(platform.taken.empty());
}

TEST(Apply, RefusesAnotherVersionThanTheExpectedAndShowsWhatDiffers)
{
    FakePlatform platform(1);
    platform.writeAsOther("ledger", makeText(1));
    platform.writeAsOther("ledger", makeText(3));
    ApplyRequest request = makeRequest(makeText(2));
    request.expectedVersion = "1";
    ApplyReport report = applied(platform, request);
    CHECK(report.outcome == ApplyOutcome::Conflict);
    STRCMP_EQUAL("2", report.storedVersion.c_str());
    UNSIGNED_LONGS_EQUAL(1, report.changes.size());
    CHECK(platform.taken.empty());
}

TEST(Apply, RefusesADocumentThatMovedAwayFromTheBase)
{
    FakePlatform platform(1);
    platform.writeAsOther("ledger", makeText(3));
    ApplyRequest request = makeRequest(makeText(2));
    request.baseText = makeText(1);
    ApplyReport report = applied(platform, request);
    CHECK(report.outcome == ApplyOutcome::Conflict);
    CHECK(configuration::hasConflict(report.changes));
    LONGS_EQUAL(3, static_cast<int>(exitCodeOf(report)));
}

TEST(Apply, RecognisesItsOwnChangeAfterALostAnswer)
{
    FakePlatform platform(1, { .lostAnswer = 1 });
    ApplyReport report = applied(platform, makeRequest(makeText(2)));
    CHECK(report.outcome == ApplyOutcome::Accepted);
    UNSIGNED_LONGS_EQUAL(1, report.lostAnswers);
    UNSIGNED_LONGS_EQUAL(1, ownWrites(platform));
}

TEST(Apply, SaysUnknownWhenNoAnswerEverSettlesTheWrite)
{
    FakePlatform platform(1, { .lostCall = 1 });
    ApplyReport report = applied(platform, makeRequest(makeText(2)));
    CHECK(report.outcome == ApplyOutcome::Unknown);
    LONGS_EQUAL(4, static_cast<int>(exitCodeOf(report)));
}

TEST(Apply, SaysUnreachableWhenThePlatformIsAway)
{
    FakePlatform platform(1, { .unavailable = 1 });
    LONGS_EQUAL(5, static_cast<int>(exitCodeOf(apply(platform.ports(), makeRequest(makeText(2))))));
}

TEST(Apply, SaysPendingWhenTheFleetGivesNoVerdict)
{
    FakePlatform platform(1, { .fleetAway = 1 });
    ApplyReport report = applied(platform, makeRequest(makeText(2)));
    CHECK(report.outcome == ApplyOutcome::Pending);
    LONGS_EQUAL(4, static_cast<int>(exitCodeOf(report)));
}

TEST(Apply, ShowsTheFindingsOfAFleetThatRefuses)
{
    FakePlatform platform(1, { .fleetAway = 1 });
    Ports ports = platform.ports();
    ports.callPlatform = [&platform](const platform::Call& call) {
        if (!platform.taken.empty()) {
            configuration::AcceptedDocument document { "ledger", 0, 1, {}, "", false, {}, 0 };
            document.audit.push_back({ 1, "", "amal", 0, 0, 0, false, "1", { { 106, "/x", 3, "no such field" } } });
            platform.objects(platform::Plural::AcceptedDocuments)["ledger"].specJson = configuration::acceptedDocumentJson(document);
        }
        return platform.call(call);
    };
    Report report = apply(ports, makeRequest(makeText(2)));
    LONGS_EQUAL(2, static_cast<int>(exitCodeOf(report)));
    CHECK(renderText(report).find("ledger:3: [flamingowick.settings.106] /x") != std::string::npos);
}

TEST(Apply, TellsTheTruthOnRandomSchedules)
{
    UNSIGNED_LONGS_EQUAL(0, countLies({}, plainPorts, schedules));
    const std::uint64_t seconds = environmentNumber("FLAMINGOWICK_SECONDS", 0);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    std::uint64_t seed = environmentNumber("FLAMINGOWICK_SEED", defaultSeed) + schedules;
    std::uint64_t count = schedules;
    for (; std::chrono::steady_clock::now() < end; ++seed, ++count)
        CHECK(runSchedule(seed, {}, plainPorts));
    UT_PRINT(("schedules: " + std::to_string(count)).c_str());
}

TEST(Apply, ChecksFindAToolThatTakesUnchangedForNotWritten)
{
    CHECK(countLies({ takeUnchangedForNotWritten }, plainPorts, schedules) > 0);
}

TEST(Apply, ChecksFindAToolThatTakesForeignForNeverWritten)
{
    CHECK(countLies({ takeForeignForNeverWritten }, plainPorts, schedules) > 0);
}

TEST(Apply, ChecksFindAToolThatCreatesAgainWhatWasRemoved)
{
    CHECK(countLies({ takeStillAbsentForNotCreated }, plainPorts, schedules) > 0);
}

TEST(Apply, ChecksFindAToolThatTakesALostAnswerForWritten)
{
    CHECK(countLies({ takeLostAnswerForWritten }, plainPorts, schedules) > 0);
}

TEST(Apply, ChecksFindAToolThatOverwritesOthers)
{
    CHECK(countLies({}, carelessPorts, schedules) > 0);
}
