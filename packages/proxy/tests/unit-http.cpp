#include "flamingowick/proxy/HttpMessage.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::proxy;

TEST_GROUP(Http)
{
    MessageReader requests { MessageReader::Kind::Requests, {} };
    MessageReader responses { MessageReader::Kind::Responses, {} };
};

TEST(Http, ParsesARequestInPiecesOfAnySize)
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        requests.restart({});
        for (std::size_t offset = 0; offset < text.size(); offset += size)
            requests.parse(std::string_view(text).substr(offset, size));
        CHECK(requests.state() == ReadState::Complete);
        CHECK_EQUAL(std::string("POST"), requests.message().method);
        CHECK_EQUAL(std::string("/a/b?c=d"), requests.message().target);
        CHECK_EQUAL(std::string("hello"), requests.message().body);
    }
}

TEST(Http, ConsumesNoBytesBeyondTheEndOfAMessage)
{
    const std::string first = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    CHECK_EQUAL(first.size(), requests.parse(first + first));
    CHECK(requests.state() == ReadState::Complete);
}

TEST(Http, ParsesChunkedBodies)
{
    requests.parse("PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n");
    CHECK(requests.state() == ReadState::Complete);
    CHECK_EQUAL(std::string("abcde"), requests.message().body);
}

TEST(Http, RejectsARequestWithContentLengthAndTransferEncoding)
{
    requests.parse("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(requests.state() == ReadState::Malformed);
}

TEST(Http, RejectsBytesThatAreNotHttp)
{
    for (const std::string_view text : { "\x16\x03\x01garbage\r\n\r\n", "GET / FTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", "GET / HTTP/1.1\r\nA: b\x01\r\n\r\n" }) {
        requests.restart({});
        requests.parse(text);
        CHECK(requests.state() != ReadState::Complete);
    }
}

TEST(Http, EnforcesHeaderAndBodyLimits)
{
    requests.restart({ 64, 10 });
    requests.parse("GET / HTTP/1.1\r\nHost: " + std::string(100, 'x') + "\r\n\r\n");
    CHECK(requests.state() == ReadState::HeaderTooLarge);
    requests.restart({ 640, 10 });
    requests.parse("PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
    CHECK(requests.state() == ReadState::BodyTooLarge);
    requests.restart({ 640, 10 });
    requests.parse("PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n012345678901234\r\n0\r\n\r\n");
    CHECK(requests.state() == ReadState::BodyTooLarge);
}

TEST(Http, AResponseWithoutALengthEndsWithItsConnection)
{
    responses.parse("HTTP/1.1 200 OK\r\n\r\nwhole");
    CHECK(responses.state() == ReadState::Incomplete);
    responses.finishStream();
    CHECK(responses.state() == ReadState::Complete);
    CHECK_EQUAL(std::string("whole"), responses.message().body);
    CHECK_FALSE(responses.message().keepAlive);
}

TEST(Http, ATruncatedResponseIsNotComplete)
{
    responses.parse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    responses.finishStream();
    CHECK(responses.state() == ReadState::Incomplete);
}

TEST(Http, AResponseToHeadHasNoBody)
{
    responses.restart({}, true);
    responses.parse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    CHECK(responses.state() == ReadState::Complete);
}

TEST(Http, RecognisesHopByHopHeaders)
{
    HttpMessage message;
    message.headers = { { "Connection", "close, X-Hop" }, { "X-Hop", "1" }, { "X-Far", "2" } };
    CHECK(isHopByHopHeader(message, "connection"));
    CHECK(isHopByHopHeader(message, "x-hop"));
    CHECK(isHopByHopHeader(message, "Transfer-Encoding"));
    CHECK_FALSE(isHopByHopHeader(message, "X-Far"));
}

// Guards against headers of short fields, each of which takes many times its bytes.
TEST(Http, ReadsNoMoreHeaderFieldsThanTheLimit)
{
    requests.restart({ .maxHeaderFields = 2 });
    requests.parse("GET / HTTP/1.1\r\na:\r\nb:\r\n");
    CHECK(requests.state() == ReadState::Incomplete);
    requests.parse("c:\r\n");
    CHECK(requests.state() == ReadState::HeaderTooLarge);
}

// Guards against connections that keep the memory of the largest body that was read or refused on them.
TEST(Http, FreesTheBodyOfTheMessageBefore)
{
    requests.parse("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n" + std::string(99'999, 'b'));
    CHECK_COMPARE(requests.heldBytes(), >=, 99'999U);
    requests.restart({});
    CHECK_COMPARE(requests.message().body.capacity(), <, 100U);
}
