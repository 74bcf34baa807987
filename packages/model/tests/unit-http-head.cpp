#include "flamingowick/model/HttpHead.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;

TEST_GROUP(HttpHead) {};

TEST(HttpHead, AStatusHasThreeDigitsFrom100To599)
{
    for (const char* line : { "HTTP/1.1 200 OK", "HTTP/1.0 599 ", "HTTP/1.1 100\r\n", "HTTP/1.1 404\n" })
        CHECK_TEXT(isStatusLine(line), line);
    for (const char* line : { "HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 20 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 2x0 OK", "" })
        CHECK_FALSE_TEXT(isStatusLine(line), line);
}

TEST(HttpHead, ANameHasNoBlanksOrControlBytes)
{
    CHECK(isHeaderName("X-Note"));
    for (const char* name : { "", "X Note", "X-Note ", "\tX-Note", "X\x01", "X:", "X\x80" })
        CHECK_FALSE_TEXT(isHeaderName(name), name);
}

TEST(HttpHead, IsReadLineByLine)
{
    ResponseHead head;
    for (const char* line : { "HTTP/1.1 103 Early Hints\r\n", "\r\n", "HTTP/1.1 200 OK\r\n", "content-length: 0\r\n" }) {
        readHeaderLine(head, line);
        CHECK_FALSE(head.malformed);
    }
    CHECK(head.framed);
    CHECK_FALSE(head.complete);
    readHeaderLine(head, "\r\n");
    CHECK(head.complete);
    readHeaderLine(head, " folded: a\r\n");
    CHECK(head.malformed);
}
