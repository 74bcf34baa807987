#include "FakeFleet.h"

#include "flamingowick/configuration/AuditTrail.h"
#include "flamingowick/configuration/OperatorText.h"
#include "flamingowick/configuration/StoreText.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingowick;
using namespace flamingowick::configuration;
using namespace flamingowick::configuration::tests;

namespace {

AcceptedDocument decide(const AcceptedDocument& current, const std::optional<SourceObject>& source)
{
    return decideChange(current, source, checkFakeText, { "vm/1/1", 1000 });
}

AcceptedDocument emptyDocument()
{
    AcceptedDocument document;
    document.service = "parts";
    return document;
}

SourceObject makeSource(const std::string& version, const std::string& text)
{
    return { "parts", version, text, "amal" };
}

}

TEST_GROUP(Acceptance)
{
    AcceptedDocument first { decide(emptyDocument(), makeSource("7", "parts 1 ok")) };
};

TEST(Acceptance, givesAValidSourceTheNextVersionAndAnAuditEntry)
{
    CHECK_EQUAL(1U, this->first.version);
    CHECK_EQUAL(1U, this->first.audit.size());
    const AuditEntry expected { 1, "vm/1/1", "amal", 1000, 0, 1, true, "7", {} };
    CHECK(this->first.audit.front() == expected);
}

TEST(Acceptance, keepsTheVersionInForceWhenTheSourceIsInvalid)
{
    const AcceptedDocument next = decide(this->first, makeSource("8", "parts 2 broken"));
    CHECK_EQUAL(1U, next.version);
    CHECK_EQUAL(2U, next.revision);
    STRCMP_EQUAL("parts 1 ok", next.text.c_str());
    CHECK(!next.audit.back().accepted);
    CHECK_EQUAL(1U, next.audit.back().findings.size());
}

TEST(Acceptance, refusesADocumentThatNamesAnotherServiceOrIsTooLong)
{
    const AcceptedDocument other = decide(this->first, makeSource("8", "doors 2 ok"));
    CHECK_EQUAL(nameMismatchNumber, other.audit.back().findings.front().number);
    const AcceptedDocument tooLong = decide(this->first, makeSource("8", std::string(maxSourceBytes + 1, ' ')));
    CHECK_EQUAL(sourceTooLongNumber, tooLong.audit.back().findings.front().number);
}

TEST(Acceptance, keepsShortPrintableTextsInTheAuditTrail)
{
    SourceObject source = makeSource("8", "parts 2 ok");
    source.changedBy = "\x01" + std::string(maxAuditTextBytes - 2, 'x') + "\u00e1";
    STRCMP_EQUAL(("?" + std::string(maxAuditTextBytes - 2, 'x')).c_str(), decide(this->first, source).audit.back().who.c_str());
}

TEST(Acceptance, countsVersionsOnThroughDeletionAndReturn)
{
    const AcceptedDocument gone = decide(this->first, std::nullopt);
    CHECK(gone.deleted);
    CHECK_EQUAL(2U, gone.version);
    const AcceptedDocument back = decide(gone, makeSource("1", "parts 1 ok"));
    CHECK(!back.deleted);
    CHECK_EQUAL(3U, back.version);
}

TEST(Acceptance, takesARewriteOfTheSameTextForNoChange)
{
    const AcceptedDocument next = decide(this->first, makeSource("8", "parts 1 ok"));
    CHECK_EQUAL(1U, next.version);
    CHECK_EQUAL(1U, next.audit.size());
    CHECK(next.checked != this->first.checked);
}

TEST(Acceptance, goesOnAboveWhatItHoldsWhenTheStoreWasSetBack)
{
    const AcceptedDocument second = decide(this->first, makeSource("8", "parts 2 ok"));
    const AcceptedDocument next = decide(currentDocument(this->first, second), makeSource("9", "parts 3 ok"));
    CHECK_EQUAL(3U, next.version);
    CHECK_EQUAL(3U, next.audit.size());
    CHECK(supersedes(second, next));
}

TEST(Acceptance, keepsTheLargestDocumentWithinOneValueOfTheStore)
{
    constexpr std::size_t maxValueBytes = 1'000'000;
    AcceptedDocument document = this->first;
    // Quotes are written twice as long.
    document.text.assign(maxSourceBytes, '"');
    AuditEntry entry;
    entry.who = entry.changeId = entry.sourceVersion = std::string(maxAuditTextBytes, '"');
    entry.findings.assign(maxAuditFindings, { 100, std::string(maxAuditTextBytes, '"'), 1, std::string(maxAuditTextBytes, '"') });
    document.audit.assign(maxAuditEntries, entry);
    CHECK(acceptedDocumentJson(document).size() < maxValueBytes);
}

TEST(Acceptance, readsBackWhatItWritesToTheStore)
{
    AcceptedDocument document = decide(this->first, makeSource("8", "parts \"2\"\n broken"));
    document.checked.textHash = 0xffffffffffffffffULL;
    const auto parsed = parseAcceptedDocument(acceptedDocumentJson(document));
    CHECK(parsed.accepted());
    CHECK(parsed.value == document);
    const AuditArchive archive { "parts", 3, document.audit };
    CHECK(parseAuditArchive(auditArchiveJson(archive)).value == archive);
}

TEST(Acceptance, refusesObjectsThatTheFleetDidNotWrite)
{
    for (const char* text : { "", "{", "[]", "{}", "7", R"({"service": 1})" }) {
        CHECK_EQUAL(unreadableObjectNumber, parseAcceptedDocument(text).findings.front().number);
        CHECK_EQUAL(unreadableObjectNumber, parseAuditArchive(text).findings.front().number);
    }
}

TEST_GROUP(ConfigurationRoles) {};

TEST(ConfigurationRoles, giveEachFailureDomainTwoWatchersAndRankThem)
{
    std::vector<Member> members;
    members.reserve(45);
    for (int vm = 0; vm < 44; ++vm)
        members.push_back({ "vm" + std::to_string(vm), "domain" + std::to_string(vm % 3) });
    members.push_back({ "alone", "domain3" });
    const std::vector<std::string> watchers = watchersOf(members);
    CHECK_EQUAL(7U, watchers.size());
    CHECK(isWatcher(members, "alone"));
    std::vector<std::size_t> ranks;
    ranks.reserve(watchers.size());
    for (const std::string& watcher : watchers)
        ranks.push_back(acceptorRank("parts", watchers, watcher).value());
    std::ranges::sort(ranks);
    for (std::size_t rank = 0; rank < ranks.size(); ++rank)
        CHECK_EQUAL(rank, ranks[rank]);
    CHECK(!acceptorRank("parts", watchers, "nobody"));
    STRCMP_EQUAL("alone", statusWriterOf(members, "domain3").c_str());
}

TEST_GROUP(DocumentDiff) {
    std::string sides(std::string_view base, std::string_view mine, std::string_view theirs) {
        std::string text;
for (const DocumentChange& change : diffDocuments(base, mine, theirs).value)
    text += change.pointer + "=" + "mtbc"[static_cast<std::size_t>(change.side)] + " ";
return text;
}
}
;

TEST(DocumentDiff, tellsWhoChangedWhat)
{
    const char* base = R"({ "a": 1, "b": { "c": [1, 2], "d": "x" }, "e": true })";
    STRCMP_EQUAL("", this->sides(base, base, base).c_str());
    STRCMP_EQUAL("/a=m /b/c/1=t /e=b ",
        this->sides(base, R"({ "a": 2, "b": { "c": [1, 2], "d": "x" } })", R"({ /* note */ "b": { "d": "x", "c": [1, 3] }, "a": 1 })").c_str());
    STRCMP_EQUAL("/b/c=c /b/d=c ",
        this->sides(base, R"({ "a": 1, "b": { "c": [1, 2, 3], "d": "y" }, "e": true })", R"({ "a": 1, "b": { "c": [2, 2] }, "e": true })").c_str());
}

TEST(DocumentDiff, namesTheTextThatIsNoJson)
{
    const auto diff = diffDocuments("{}", "{", std::string(100'000, '['));
    CHECK_EQUAL(2U, diff.findings.size());
    CHECK_EQUAL(0U, diff.findings[0].message.find("mine: "));
    CHECK_EQUAL(0U, diff.findings[1].message.find("theirs: "));
    CHECK(diff.value.empty());
    CHECK(hasConflict(diffDocuments("1", "2", "3").value));
}

TEST(DocumentDiff, isShownWithTheValuesThatDiffer)
{
    const auto diff = diffDocuments(R"({ "a": 1, "b": 1 })", R"({ "a": 2, "b": 1 })", R"({ "a": 3 })");
    STRCMP_EQUAL("CONFLICT /a\n    base: 1\n    mine: 2\n    theirs: 3\ntheirs /b\n    base: 1\n    theirs: (absent)\n", renderChanges(diff.value).c_str());
}

TEST(Acceptance, showsItsHistoryAndTheGapsInIt)
{
    AcceptedDocument document = decide(this->first, makeSource("8", "parts 2 broken"));
    STRCMP_EQUAL("1970-01-01 00:00:01.000  amal  version 0 -> 1  vm/1/1\n"
                 "1970-01-01 00:00:01.000  amal  refused, version 1 stays  vm/1/1\n    line 1 : broken\n",
        renderAudit(auditTrail(document, {}).value).c_str());
    CHECK(auditTrail(document, {}).accepted());
    document.audit.erase(document.audit.begin());
    CHECK(!auditTrail(document, {}).accepted());
    this->first.archivedEntries = auditSegment;
    CHECK_EQUAL(auditGapNumber, auditTrail(this->first, {}).findings.front().number);
}
