#include "ProxyTestBed.h"

#include "flamingowick/proxy/StateFeed.h"

using namespace flamingowick;
using namespace flamingowick::proxy;

TEST_GROUP(Feed)
{
    ProxyTestBed testBed;
    Fleet fleet;
    std::string address { freeAddress() };
    FeedCallbacks callbacks { [](bool) {}, [](StateKind, const std::vector<StateChange>&, Duration) {}, [] { return Duration::zero(); }, [](const std::string&) {} };
    telemetry::Metrics metrics;
    StateFeed feed { testBed.io, address, "a", fleet, testBed.log, metrics, callbacks };

    std::string answerTo(const std::string& query)
    {
        RawCaller follower(testBed.io, address);
        follower.send("GET /state?" + query + " HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(testBed.runUntil([&] { return !follower.responses.empty(); }));
        return follower.responses.front().body;
    }
};

// Guards against a follower of an earlier release that polls without a pause, because it never acknowledges a kind that it
// does not know.
TEST(Feed, SendsAFollowerOnlyTheKindsThatItAsksFor)
{
    feed.applySnapshot(StateKind::Quarantines, 5, std::vector<StateObject> { { "refused-request", 5, "{}" } });
    CHECK(answerTo("configuration=0&targets=0&members=0&quarantines=0&").find("refused-request") != std::string::npos);
    CHECK(answerTo("configuration=0&targets=0&members=0&").find("refused-request") == std::string::npos);
}
