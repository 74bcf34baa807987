#include "flamingowick/routing/RouteTable.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::routing;

namespace {

RouteRule rule(std::string_view host, std::string_view prefix)
{
    RouteRule created;
    created.host = host;
    created.pathPrefix = prefix;
    return created;
}

const char* serviceAt(const RouteTable& table, std::string_view host, std::string_view path)
{
    const Route* route = table.findRoute(host, path);
    return route == nullptr ? "none" : route->service.c_str();
}

}

TEST_GROUP(RouteTable)
{
    RouteTable table;

    void setup() override
    {
        std::vector<RouteRule> catalogue { rule("Parts.example", "/") };
        std::vector<RouteRule> ledger { rule("parts.example", "/ledger"), rule("parts.example", "/ledger/old/") };
        this->table.setRoutes("catalogue", catalogue);
        this->table.setRoutes("ledger", ledger);
    }
};

TEST(RouteTable, MatchesTheLongestPrefixOfWholeSegments)
{
    STRCMP_EQUAL("ledger", serviceAt(table, "parts.example", "/ledger/7?x=/"));
    STRCMP_EQUAL("ledger", serviceAt(table, "parts.example", "/ledger/old/1"));
    STRCMP_EQUAL("catalogue", serviceAt(table, "parts.example", "/ledgers"));
    STRCMP_EQUAL("catalogue", serviceAt(table, "parts.example", "/"));
    STRCMP_EQUAL("ledger", serviceAt(table, "parts.example", "/ledger/"));
}

TEST(RouteTable, IgnoresThePortAndTheCaseOfTheHost)
{
    STRCMP_EQUAL("catalogue", serviceAt(table, "PARTS.example:8080", "/door"));
    STRCMP_EQUAL("none", serviceAt(table, "other.example", "/door"));
    STRCMP_EQUAL("none", serviceAt(table, "", ""));
}

TEST(RouteTable, RemovesTheRoutesOfAService)
{
    table.removeRoutes("ledger");
    STRCMP_EQUAL("catalogue", serviceAt(table, "parts.example", "/ledger/7"));
    CHECK_EQUAL(1U, table.size());
}

TEST(RouteTable, PrefersTheServiceThatSortsFirstAmongEqualRules)
{
    std::vector<RouteRule> sameRule { rule("parts.example", "/ledger") };
    table.setRoutes("archive", sameRule);
    STRCMP_EQUAL("archive", serviceAt(table, "parts.example", "/ledger/7"));
    table.removeRoutes("archive");
    STRCMP_EQUAL("ledger", serviceAt(table, "parts.example", "/ledger/7"));
}

TEST(RouteTable, DerivesIdempotenceFromTheMethodUnlessTheRuleSetsIt)
{
    RouteRule byMethod = rule("a", "/");
    CHECK(isIdempotent(byMethod, "GET"));
    CHECK(!isIdempotent(byMethod, "POST"));
    CHECK(!isIdempotent(byMethod, "PATCH"));
    byMethod.repeatability = Repeatability::NonIdempotent;
    CHECK(!isIdempotent(byMethod, "GET"));
}
