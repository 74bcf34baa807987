#include "ProxyTestBed.h"

#include <algorithm>
#include <map>
#include <set>

using namespace flamingowick;
using namespace flamingowick::proxy;

// Responses of faulty targets: bytes that belong to no request, and responses that end early.

namespace {

std::string rejection(std::string_view idHeader, bool hasLength)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + std::string(idHeader) + (hasLength ? "Content-Length: 0\r\n\r\n" : "\r\n");
}

}

TEST_GROUP(GarbledResponses)
{
    ProxyTestBed testBed;

    // Sends requests one after the other to targets that run each of them and write the bytes before each response but the first of a
    // connection. Returns the statuses.
    std::vector<unsigned> statusesWith(const std::string& bytes, bool closeAfter = false)
    {
        for (int index = 0; index < 3; ++index) {
            const auto answered = std::make_shared<unsigned>(0);
            ScriptedTarget& target = testBed.addTarget([bytes, answered](const HttpMessage& request) {
                const std::string before = (*answered)++ == 0 ? std::string() : bytes;
                return before + ScriptedTarget::healthyResponse(request);
            });
            target.closeAfterResponse = closeAfter;
        }
        testBed.start(1, false);
        std::vector<unsigned> statuses;
        for (unsigned number = 0; number < 9; ++number) {
            auto caller = testBed.connectCaller();
            caller->send(makeRequest("r" + std::to_string(number), "POST", "pay"));
            CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
            CHECK(!caller->responses.empty());
            statuses.push_back(caller->responses.front().status);
        }
        return statuses;
    }

    // Returns how often a request has been run at most.
    std::size_t mostRuns() const
    {
        std::map<std::string, std::size_t> runs;
        for (const auto& target : testBed.targets) {
            for (const HttpMessage& request : target->requests)
                ++runs[std::string(headerValue(request, "X-Id"))];
        }
        std::size_t most = 0;
        for (const auto& [id, count] : runs)
            most = std::max(most, count);
        return most;
    }
};

// Guards against a request that runs twice because additional bytes of a faulty target, which carry no request ID, are taken for its
// rejection.
TEST(GarbledResponses, ARejectionWithoutARequestIdIsNoAnswer)
{
    const std::vector<unsigned> statuses = statusesWith(rejection("", true));
    CHECK(std::all_of(statuses.begin(), statuses.end(), [](unsigned status) { return status == 200; }));
    CHECK_EQUAL(1U, mostRuns());
}

TEST(GarbledResponses, NeitherIsAFailureOrAStatementOfAnotherInstanceWithoutOne)
{
    const std::vector<unsigned> statuses = statusesWith("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\nHTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
    CHECK(std::all_of(statuses.begin(), statuses.end(), [](unsigned status) { return status == 200; }));
    CHECK_EQUAL(1U, mostRuns());
}

// Guards against a request that runs twice, or whose caller is told that it has not run, because its target writes an earlier request's rejection
// once more.
TEST(GarbledResponses, AnEarlierRejectionIsNoAnswer)
{
    const std::vector<unsigned> statuses = statusesWith(rejection("X-Id: r-earlier\r\n", true));
    CHECK(std::all_of(statuses.begin(), statuses.end(), [](unsigned status) { return status == 200; }));
    CHECK_EQUAL(1U, mostRuns());
}

// Guards against the same where that rejection has no length, so that the end of the connection ends it. What the target answers behind
// it can't be told from its body.
TEST(GarbledResponses, AnEarlierRejectionWithoutALengthIsNoAnswer)
{
    for (const std::string_view idHeader : { "X-Id: r-earlier\r\n", "" }) {
        ProxyTestBed bed;
        ScriptedTarget& faulty = bed.addTarget([idHeader](const HttpMessage&) { return rejection(idHeader, false); });
        faulty.closeAfterResponse = true;
        ScriptedTarget& other = bed.addTarget([idHeader](const HttpMessage&) { return rejection(idHeader, false); });
        other.closeAfterResponse = true;
        bed.start(1, false);
        auto caller = bed.connectCaller();
        caller->send(makeRequest("r", "POST", "pay"));
        CHECK(bed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK_EQUAL(502U, caller->responses.front().status);
        CHECK_EQUAL(1U, faulty.requests.size() + other.requests.size());
    }
}

// Guards against the rejection of an attempt being taken for that of a later attempt of the same request: it would carry its ID.
TEST(GarbledResponses, ARequestIsSentToEachTargetOnce)
{
    for (int index = 0; index < 2; ++index)
        testBed.addTarget([](const HttpMessage& request) { return rejection("X-Id: " + std::string(headerValue(request, "X-Id")) + "\r\n", true); });
    testBed.start(1, true);
    for (unsigned number = 0; number < 6; ++number) {
        auto caller = testBed.connectCaller();
        caller->send(makeRequest("r" + std::to_string(number), "POST", "look"));
        CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
    }
    for (const auto& target : testBed.targets) {
        std::set<std::string> ids;
        for (const HttpMessage& request : target->requests)
            CHECK(ids.insert(std::string(headerValue(request, "X-Id"))).second);
    }
}

// Guards against a success with an empty or short body, framed as whole, when a target stops in the middle of its header and closes.
TEST(GarbledResponses, AHeaderThatIsCutIsNoAnswer)
{
    for (const std::string_view rest : { "X-Signature: s\r\nContent-Length: 4\r\n\r\n", "Content-Length: 0\r\nX-Signature: s\r\n\r\n", "X-Signature: s\r\n\r\n" }) {
        const std::string whole = "HTTP/1.1 200 OK\r\nX-Id: r\r\n" + std::string(rest);
        std::size_t size = 0;
        ProxyTestBed bed;
        bed.addTarget([&](const HttpMessage&) { return whole.substr(0, size); }).closeAfterResponse = true;
        bed.start(1, false);
        for (size = 1; size < whole.size(); ++size) {
            auto caller = bed.connectCaller();
            caller->send(makeRequest("r", "POST", "pay"));
            CHECK(bed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
            CHECK_COMPARE(caller->responses.front().status, >=, 500U);
        }
    }
}

// Guards against an answer with a status that the protocol doesn't have: 000 was passed over like an interim response, until the deadline.
TEST(GarbledResponses, AStatusThatIsNoneIsNoAnswer)
{
    for (const std::string_view status : { "000", "099", "600", "999", "0200", "20", " 200", "2x0" }) {
        ProxyTestBed bed;
        bed.addTarget([status](const HttpMessage&) { return "HTTP/1.1 " + std::string(status) + " OK\r\nX-Id: r\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nfine"; });
        bed.start(1, false);
        auto caller = bed.connectCaller();
        caller->send(makeRequest("r", "POST", "pay"));
        CHECK(bed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK_EQUAL(502U, caller->responses.front().status);
    }
}

// Guards against a header that its readers understand differently: a line that begins with a blank was added to the line before, so that a length
// or a signature in it was lost.
TEST(GarbledResponses, AHeaderFieldWithABlankOrAControlByteInItsNameIsNoAnswer)
{
    for (const std::string_view line : { "X Note: a", "X-Note : a", " X-Note: a", "\tX-Note: a", "X\x01Note: a", "X-Note\x7f: a", "Content-Length : 2", " Content-Length: 2", "Transfer-Encoding\t: chunked", ": a", "note" }) {
        for (const bool isFirst : { true, false }) {
            ProxyTestBed bed;
            const std::string bad = std::string(line) + "\r\n";
            bed.addTarget([&](const HttpMessage&) { return "HTTP/1.1 200 OK\r\n" + (isFirst ? bad : std::string()) + "X-Id: r\r\nX-Signature: s\r\nX-Other: b\r\n" + (isFirst ? std::string() : bad) + "Content-Length: 4\r\n\r\nfine"; });
            bed.start(1, false);
            auto caller = bed.connectCaller();
            caller->send(makeRequest("r", "POST", "pay"));
            CHECK(bed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
            CHECK_EQUAL(502U, caller->responses.front().status);
        }
    }
}
