#include "flamingowick/model/TextForms.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;

TEST_GROUP(TextForms) {};

TEST(TextForms, EscapesAllButUnreservedBytes)
{
    CHECK_EQUAL(std::string("a-Z.0_9~"), encodePercent("a-Z.0_9~"));
    CHECK_EQUAL(std::string("a%2Fb%20%25%C3%A9"), encodePercent("a/b %\xC3\xA9"));
    CHECK_EQUAL(std::string(), encodePercent(""));
}

TEST(TextForms, ReadsDurationsWithTheirUnit)
{
    CHECK(parseDuration("1500ms", 1e6) == Duration(std::chrono::milliseconds(1500)));
    CHECK(parseDuration("2.5s", 1e6) == Duration(std::chrono::milliseconds(2500)));
    CHECK(parseDuration("0s", 1e6) == Duration::zero());
    for (const char* text : { "", "s", "5", "5 s", "5m", "-1s", "1000001ms", "5ss" })
        CHECK_FALSE(parseDuration(text, 1e6).has_value());
}
