#include "ExampleFiles.h"

#include "flamingowick/settings/DaemonSettingsText.h"
#include "flamingowick/settings/FindingNumber.h"
#include "flamingowick/settings/FindingText.h"
#include "flamingowick/settings/JsonValue.h"
#include "flamingowick/settings/ServiceDocumentText.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using namespace flamingowick;
using namespace flamingowick::settings;
using namespace flamingowick::settings::tests;

namespace {

// Wraps further members into a small document that is otherwise right; they begin on line 3.
std::string documentWith(std::string_view members)
{
    return "{ \"name\": \"parts\",\n\"routes\": [{ \"host\": \"parts.example\" }],\n" + std::string(members) + "\n}";
}

std::string render(std::string_view text)
{
    return renderFindings(parseServiceDocument(text).findings, "f");
}

}

TEST_GROUP(ServiceDocumentText) {
    void expect(const char* findings, std::string_view members) {
        STRCMP_EQUAL(findings, render(documentWith(members)).c_str());
}
}
;

TEST(ServiceDocumentText, readsEveryExample)
{
    for (const std::string& name : serviceExamples()) {
        const auto parsed = parseServiceDocument(readExample(name));
        STRCMP_EQUAL("", renderFindings(parsed.findings, name).c_str());
        CHECK(name.ends_with("/" + parsed.value.name + ".jsonc"));
    }
}

TEST(ServiceDocumentText, keepsDefaultsForAbsentFields)
{
    const auto parsed = parseServiceDocument(R"({ "name": "parts", "routes": [{ "host": "parts.example" }] })");
    ServiceDocument expected;
    expected.name = "parts";
    expected.routes = { { .host = "parts.example" } };
    CHECK(parsed.accepted());
    CHECK(parsed.value == expected);
}

TEST(ServiceDocumentText, readsUnitsAsWritten)
{
    const auto parsed = parseServiceDocument(documentWith(R"("queue": { "maxWaitMs": 1500, "maxWaiting": 7 }, "bodies": { "maxRequestBytes": 4096 })"));
    CHECK(parsed.accepted());
    CHECK(parsed.value.queue.maxWait == std::chrono::milliseconds(1500));
    CHECK_EQUAL(7U, parsed.value.queue.maxWaiting);
    CHECK_EQUAL(4096U, parsed.value.bodies.maxRequestBytes);
}

TEST(ServiceDocumentText, writesWhatItReads)
{
    for (const std::string& name : serviceExamples()) {
        const ServiceDocument document = parseServiceDocument(readExample(name)).value;
        const auto again = parseServiceDocument(serviceDocumentJson(document));
        STRCMP_EQUAL("", renderFindings(again.findings, name).c_str());
        CHECK(again.value == document);
    }
}

TEST(ServiceDocumentText, reportsAllFindingsWithPointerAndLine)
{
    expect("f:4: [flamingowick.settings.109] /health/capacityFloor: must be from 0 to 1\n"
           "f:5: [flamingowick.settings.108] /queue/maxWaitMs: must be an integer from 0 to 600000 milliseconds\n"
           "f:6: [flamingowick.settings.106] /queue/maxWaitng: no such field; did you mean \"maxWaiting\"?\n",
        "\"health\": {\n\"capacityFloor\": 1.5 },\n\"queue\": { \"maxWaitMs\": 2.5,\n\"maxWaitng\": 1 }");
}

TEST(ServiceDocumentText, countsLinesInsideCommentsAndAfterNumbers)
{
    expect("f:5: [flamingowick.settings.109] /targets/slots: must be from 1 to 10000\n"
           "f:7: [flamingowick.settings.109] /targets/connections: must be from 1 to 100000\n",
        "/* a\nb */ \"targets\": { // c\n\"slots\": 0\n,\n\"connections\": 100001\n}");
}

TEST(ServiceDocumentText, refusesFieldsThatContradictEachOther)
{
    expect("f:3: [flamingowick.settings.112] /deadlines/defaultTimeoutMs: must not exceed maxTimeoutMs\n",
        R"("deadlines": { "defaultTimeoutMs": 9000, "maxTimeoutMs": 8000 })");
    expect("f:3: [flamingowick.settings.112] /health/healthyErrorShare: must be below failingErrorShare\n",
        R"("health": { "healthyErrorShare": 0.3 })");
    expect("f:3: [flamingowick.settings.112] /keys/retentionMs: must exceed deadlines.maxTimeoutMs, or an answer may be forgotten while its request runs\n",
        R"("keys": { "retentionMs": 60000 })");
    expect("f:3: [flamingowick.settings.112] /targets/slots: must not exceed connections, since each request in flight needs one\n",
        R"("targets": { "slots": 11, "connections": 10 })");
}

TEST(ServiceDocumentText, pointsAtTheNearestValueForAnAbsentField)
{
    expect("f:4: [flamingowick.settings.112] /health/baseEjectionMs: must not exceed maxEjectionMs\n",
        "\"keys\": {},\n\"health\": { \"maxEjectionMs\": 1000 }");
}

TEST(ServiceDocumentText, refusesDuplicateFieldsAndRoutes)
{
    expect("f:3: [flamingowick.settings.105] /queue/maxWaiting: the field stands here a second time\n",
        R"("queue": { "maxWaiting": 1, "maxWaiting": 2 })");
    STRCMP_EQUAL("f:2: [flamingowick.settings.113] /routes/1: has the host and path prefix of route 0\n",
        render("{ \"name\": \"a\", \"routes\": [{ \"host\": \"a.b\", \"pathPrefix\": \"/x\" },\n{ \"host\": \"A.B\", \"pathPrefix\": \"/x/\" }] }").c_str());
}

TEST(ServiceDocumentText, namesWhatIsMissing)
{
    STRCMP_EQUAL("f:1: [flamingowick.settings.107] /name: the field is required\n"
                 "f:1: [flamingowick.settings.107] /routes: the field is required\n",
        render("{}").c_str());
}

TEST(ServiceDocumentText, hintsAtTheNearestChoice)
{
    STRCMP_EQUAL("f:1: [flamingowick.settings.110] /routes/0/key: must be one of \"optional\", \"required\"; did you mean \"required\"?\n",
        render(R"({ "name": "a", "routes": [{ "host": "a.b", "key": "require" }] })").c_str());
}

TEST(ServiceDocumentText, refusesMalformedHostsAndPaths)
{
    for (const char* route : { R"("host": "")", R"("host": "a:80")", R"("host": "a..b")", R"("host": "a", "pathPrefix": "x")",
             R"("host": "a", "pathPrefix": "/a//b")", R"("host": "a", "pathPrefix": "/../b")", R"("host": "a", "pathPrefix": "/b?c")" }) {
        const auto parsed = parseServiceDocument(R"({ "name": "a", "routes": [{ )" + std::string(route) + " }] }");
        CHECK_EQUAL(1U, parsed.findings.size());
        CHECK_EQUAL(static_cast<int>(FindingNumber::MalformedText), parsed.findings.front().number);
    }
}

TEST(ServiceDocumentText, escapesPointerTokens)
{
    expect("f:3: [flamingowick.settings.106] /a~1b~0c: no such field\n", R"("a/b~c": 1)");
}

TEST(ServiceDocumentText, reportsBrokenTextWithItsLine)
{
    const auto parsed = parseServiceDocument("{\n\"name\": \"a\",\n\"routes\" 1 }");
    CHECK_EQUAL(1U, parsed.findings.size());
    CHECK_EQUAL(static_cast<int>(FindingNumber::Syntax), parsed.findings.front().number);
    CHECK_EQUAL(3U, parsed.findings.front().line);
}

TEST(ServiceDocumentText, boundsTheFindingsOfOneText)
{
    std::string members = "\"x0\": 0";
    for (int index = 1; index < 150; ++index)
        members += ", \"x" + std::to_string(index) + "\": 0";
    const auto parsed = parseServiceDocument(documentWith(members));
    CHECK_EQUAL(101U, parsed.findings.size());
    STRCMP_EQUAL("50 further findings are left out", parsed.findings.back().message.c_str());
}

TEST(ServiceDocumentText, boundsSizeDepthAndCount)
{
    const auto first = [](const std::string& text) { return parseServiceDocument(text).findings.front().number; };
    CHECK_EQUAL(static_cast<int>(FindingNumber::TextTooLong), first(std::string(1'000'001, ' ')));
    CHECK_EQUAL(static_cast<int>(FindingNumber::NestedTooDeeply), first(std::string(900'000, '[')));
    std::string many = "[";
    for (int index = 0; index < 60'000; ++index)
        many += "1,";
    CHECK_EQUAL(static_cast<int>(FindingNumber::TooManyValues), first(many + "1]"));
    CHECK_EQUAL(static_cast<int>(FindingNumber::NameTooLong), first("{\"" + std::string(200, 'n') + "\": 1}"));
}

TEST_GROUP(DaemonSettingsText) {};

TEST(DaemonSettingsText, readsTheExample)
{
    const auto parsed = parseDaemonSettings(readExample("daemon.jsonc"));
    STRCMP_EQUAL("", renderFindings(parsed.findings, "daemon.jsonc").c_str());
    STRCMP_EQUAL("entry-01", parsed.value.vm.c_str());
    CHECK(parsed.value.shutdownGrace == std::chrono::seconds(3));
    CHECK_EQUAL(2U, parsed.value.seeds.size());
}

TEST(DaemonSettingsText, acceptsIpNumbersOnly)
{
    const auto findingsFor = [](std::string_view address) {
        std::string text = readExample("daemon.jsonc");
        const std::string old = "127.0.0.1:7400";
        text.replace(text.find(old), old.size(), address);
        return parseDaemonSettings(text).findings.size();
    };
    for (const char* good : { "10.0.0.7:1", "[::1]:65535", "[2001:db8::7:1]:80", "[1:2:3:4:5:6:7:8]:80" })
        CHECK_EQUAL(0U, findingsFor(good));
    for (const char* bad : { "host:80", "10.0.0:80", "10.0.0.256:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1", "01.0.0.1:80", "::1:80",
             "[1:2:3:4:5:6:7]:80", "[1::2::3]:80", "[::1]", "10.0.0.1:+80", "", "127.0.0.1:8080" })
        CHECK_EQUAL(1U, findingsFor(bad));
}

TEST_GROUP(LocatedJson) {};

TEST(LocatedJson, findsValuesAndLinesByPointer)
{
    const auto parsed = parseJsonText("{\n\"a/b\": [1,\n2.5, \"x\"],\n\"c\": null }");
    CHECK(parsed.accepted());
    CHECK_EQUAL(3U, lineOf(parsed.value, "/a~1b/1"));
    CHECK_EQUAL(4U, lineOf(parsed.value, "/c/missing"));
    CHECK_EQUAL(2U, lineOf(parsed.value, "/a~1b/9"));
    STRCMP_EQUAL("{\"a/b\":[1,2.5,\"x\"],\"c\":null}", compactJson(parsed.value).c_str());
}
