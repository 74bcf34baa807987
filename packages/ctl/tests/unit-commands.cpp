#include "FakePlatform.h"

#include "flamingowick/configuration/StoreText.h"
#include "flamingowick/ctl/Adapters.h"
#include "flamingowick/ctl/Commands.h"

// Last: its macros for new would break the other headers.
#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::ctl;

namespace {

std::string statusBody(const std::string& vm, unsigned version, const std::string& ejected)
{
    return R"({"vm": ")" + vm + R"(", "failureDomain": "a", "ready": true, "members": [{}, {}], "services": [{"name": "ledger", "version": )"
        + std::to_string(version) + R"(, "dispatcher": "vm-2", "targets": 3, "ejected": [)" + ejected + "]}]}";
}

constexpr std::string_view explanationBody = R"({"target": "127.0.0.1:9", "standing": "ejected", "share": 0, "heldBackByFloor": false,
    "sharedCause": false, "threshold": 7.5, "observers": 3, "evidence": {"errors": {"score": 9.5, "bad": 12, "total": 30}},
    "ejection": {"ejectedAtMs": 1000, "untilMs": 21000, "repeats": 1, "symptom": "errors", "bad": 12, "total": 30, "score": 9.5, "threshold": 7.5}})";

constexpr std::string_view documentBody = R"({"service": "ledger", "version": 4, "revision": 6, "appliedVersion": 4, "deleted": false, "text": "{}",
    "audit": [{"revision": 6, "changeId": "c", "who": "amal", "whenMs": 0, "fromVersion": 3, "toVersion": 4, "accepted": true, "sourceVersion": "8", "findings": []}]})";

const std::vector<std::string> twoDaemons { "a:1", "b:2" };

int codeOf(const Report& report)
{
    return static_cast<int>(exitCodeOf(report));
}

bool says(const Report& report, std::string_view words)
{
    return renderText(report).find(words) != std::string::npos;
}

}

TEST_GROUP(Commands)
{
    FakePlatform platform { 1 };
};

TEST(Commands, ValidateReportsEachFindingWithItsPlace)
{
    Report report = validate("{\n\"name\": \"ledger\",\n\"routs\": []}", "ledger.jsonc");
    LONGS_EQUAL(2, codeOf(report));
    CHECK(says(report, "ledger.jsonc:3: [flamingowick.settings.106]"));
}

TEST(Commands, DiffWithoutABaseShowsWhatApplyWouldChange)
{
    this->platform.writeAsOther("ledger", makeText(1));
    Report report = diff(this->platform.ports(), makeText(2), "ledger.jsonc", std::nullopt);
    LONGS_EQUAL(0, codeOf(report));
    CHECK(says(report, "mine /queue/maxWaiting"));
}

TEST(Commands, DiffWithABaseShowsAConflict)
{
    this->platform.writeAsOther("ledger", makeText(3));
    Report report = diff(this->platform.ports(), makeText(2), "ledger.jsonc", makeText(1));
    LONGS_EQUAL(3, codeOf(report));
    CHECK(says(report, "CONFLICT /queue/maxWaiting"));
}

TEST(Commands, GetReturnsTheTextAsItWasWritten)
{
    this->platform.writeAsOther("ledger", makeText(1));
    Report report = get(this->platform.ports(), "ledger", {});
    STRCMP_EQUAL(makeText(1).c_str(), renderText(report).c_str());
    LONGS_EQUAL(1, codeOf(get(this->platform.ports(), "nothing", {})));
}

TEST(Commands, GetAndHistoryAskTheNextDaemonWhenOneIsAway)
{
    this->platform.daemonAnswers["b:2/documents/ledger"] = { 200, std::string(documentBody), "" };
    CHECK(says(history(this->platform.ports(), "ledger", twoDaemons), "amal  version 3 -> 4"));
    UNSIGNED_LONGS_EQUAL(4, std::get<GetReport>(get(this->platform.ports(), "ledger", twoDaemons)).acceptedVersion);
}

TEST(Commands, HistoryPutsArchivesAndDocumentTogether)
{
    configuration::AcceptedDocument document { "ledger", 33, 33, {}, "", false, {}, 32 };
    configuration::AuditArchive archive { "ledger", 0, {} };
    for (std::uint64_t step = 1; step <= 33; ++step) {
        configuration::AuditEntry entry { step, "", "", 0, step - 1, step, true, "", {} };
        (step <= 32 ? archive.entries : document.audit).push_back(entry);
    }
    this->platform.objects(platform::Plural::AcceptedDocuments)["ledger"].specJson = configuration::acceptedDocumentJson(document);
    this->platform.objects(platform::Plural::AuditSegments)["ledger.0"].specJson = configuration::auditArchiveJson(archive);
    Ports ports = this->platform.ports();
    ports.callPlatform = [this](const platform::Call& call) {
        const auto& get = std::get<platform::Get>(call);
        return platform::Found { 0, { this->platform.objects(get.plural).at(get.name) }, "" };
    };
    Report report = history(ports, "ledger", {});
    LONGS_EQUAL(0, codeOf(report));
    UNSIGNED_LONGS_EQUAL(33, std::get<HistoryReport>(report).entries.size());
}

TEST(Commands, StatusCountsTheNewestVersionOnly)
{
    this->platform.daemonAnswers["a:1/status"] = { 200, statusBody("vm-1", 4, ""), "" };
    this->platform.daemonAnswers["b:2/status"] = { 200, statusBody("vm-2", 5, R"("127.0.0.1:9")"), "" };
    Report report = status(this->platform.ports(), twoDaemons);
    LONGS_EQUAL(0, codeOf(report));
    CHECK(says(report, "ledger  version 5  in force on 1 of 2  targets 3  dispatcher vm-2  ejected: 127.0.0.1:9"));
}

TEST(Commands, StatusOfADaemonThatIsAwayIsAFailureWithTheRestShown)
{
    this->platform.daemonAnswers["a:1/status"] = { 200, statusBody("vm-1", 4, ""), "" };
    Report report = status(this->platform.ports(), twoDaemons);
    LONGS_EQUAL(1, codeOf(report));
    CHECK(says(report, "in force on 1 of 1"));
    LONGS_EQUAL(5, codeOf(status(FakePlatform(1).ports(), twoDaemons)));
}

TEST(Commands, StatusOfThePlatformIsPutTogetherFromItsObjects)
{
    configuration::DomainStatus stored { "a", 1, { 0, { { "ledger", 2, false, 4, 3 } } } };
    this->platform.objects(platform::Plural::FleetStatuses)["a.0"].specJson = configuration::domainStatusJson(stored);
    CHECK(says(status(this->platform.ports(), {}), "ledger  version 2  in force on 3 of 4"));
}

TEST(Commands, ExplainAsksOnUntilTheDispatcherAnswers)
{
    this->platform.daemonAnswers["a:1/explain?service=ledger&target=127.0.0.1:9"] = { 404, R"({"dispatcher": "vm-2"})", "" };
    this->platform.daemonAnswers["b:2/explain?service=ledger&target=127.0.0.1:9"] = { 200, std::string(explanationBody), "" };
    Report report = explain(this->platform.ports(), "ledger", "127.0.0.1:9", twoDaemons);
    LONGS_EQUAL(0, codeOf(report));
    CHECK(says(report, "is ejected and gets no requests"));
    CHECK(says(report, "12 bad of 30 requests, score 9.5 against the threshold 7.5"));
    CHECK(says(report, "until 1970-01-01 00:00:21.000 UTC, for 20 s"));
}

TEST(Commands, ExplainAsksTheDispatcherBeforeOneThatWasDispatcherOnce)
{
    for (const std::string vm : { "vm-1", "vm-2" }) {
        const std::string address = vm == "vm-1" ? "a:1" : "b:2";
        this->platform.daemonAnswers[address + "/status"] = { 200, statusBody(vm, 4, ""), "" };
        this->platform.daemonAnswers[address + "/explain?service=ledger&target=127.0.0.1:9"] = { 200, std::string(explanationBody), "" };
    }
    Report report = explain(this->platform.ports(), "ledger", "127.0.0.1:9", twoDaemons);
    STRCMP_EQUAL("b:2", std::get<ExplainReport>(report).source.c_str());
    CHECK(std::get<ExplainReport>(report).fromDispatcher);
}

TEST(Commands, ExplainAsksTheDaemonThatHasEjectedTheTargetFirst)
{
    this->platform.daemonAnswers["a:1/status"] = { 200, statusBody("vm-1", 4, R"("127.0.0.1:9")"), "" };
    this->platform.daemonAnswers["b:2/status"] = { 200, statusBody("vm-2", 4, ""), "" };
    this->platform.daemonAnswers["a:1/explain?service=ledger&target=127.0.0.1:9"] = { 200, std::string(explanationBody), "" };
    this->platform.daemonAnswers["b:2/explain?service=ledger&target=127.0.0.1:9"] = { 200, std::string(explanationBody), "" };
    Report report = explain(this->platform.ports(), "ledger", "127.0.0.1:9", twoDaemons);
    STRCMP_EQUAL("a:1", std::get<ExplainReport>(report).source.c_str());
}

TEST(Commands, ExplainNamesTheDispatcherThatWasNotAsked)
{
    this->platform.daemonAnswers["a:1/explain?service=ledger&target=x"] = { 404, R"({"dispatcher": "vm-7"})", "" };
    Report report = explain(this->platform.ports(), "ledger", "x", twoDaemons);
    LONGS_EQUAL(1, codeOf(report));
    CHECK(says(report, "vm-7"));
}

TEST(Commands, ARefusedTokenIsSaidSo)
{
    this->platform.daemonAnswers["a:1/documents/ledger"] = { 401, "", "" };
    CHECK(says(get(this->platform.ports(), "ledger", std::span(twoDaemons).first(1)), "refuses the token"));
}

TEST(Commands, AnAnswerThatCantBeReadIsAFailure)
{
    this->platform.daemonAnswers["a:1/documents/ledger"] = { 200, "[1, 2", "" };
    LONGS_EQUAL(1, codeOf(get(this->platform.ports(), "ledger", std::span(twoDaemons).first(1))));
}

TEST(Commands, JsonCarriesTheExitCode)
{
    const std::string json = renderJson(FailureReport { ExitCode::Unreachable, "away \xff" });
    CHECK(json.find("\"exitCode\": 5") != std::string::npos);
}

TEST(Commands, ControlCharactersFromElsewhereAreNotShown)
{
    CHECK(!says(FailureReport { ExitCode::Failure, "\x1b[31m" }, "\x1b"));
}

TEST(Commands, NamesAreEscapedInPaths)
{
    STRCMP_EQUAL("a%2Fb%3F", escapeForUrl("a/b?").c_str());
}

TEST(Commands, ADaemonThatDoesntListenIsUnreachable)
{
    DaemonAnswer answer = getFromDaemon("127.0.0.1:1", "/status", "token");
    UNSIGNED_LONGS_EQUAL(0, answer.status);
    CHECK(!answer.error.empty());
}
