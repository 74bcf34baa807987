#include "ProxyTestBed.h"

#include <algorithm>

using namespace flamingowick;
using namespace flamingowick::proxy;

// Targets that name, in their responses, the requests per second that they take from all daemons together.

namespace {

// What a target may get in any four seconds: one and a half times its limit, and five more.
constexpr Duration limitWindow { seconds(4) };
unsigned allowedInWindow(double perSecond)
{
    return static_cast<unsigned>(1.5 * perSecond * 4 + 5);
}

}

TEST_GROUP(RequestLimit)
{
    ProxyTestBed testBed;
    unsigned lastRequest { 0 };

    struct LimitedTarget {
        // The header's value; empty while the target names no limit.
        std::string limit;
        std::vector<TimePoint> arrivals;

        // Returns the most arrivals in a window that begins at or after the given time.
        std::size_t mostInWindow(TimePoint since) const
        {
            std::size_t most = 0;
            for (auto first = std::lower_bound(this->arrivals.begin(), this->arrivals.end(), since); first != this->arrivals.end(); ++first)
                most = std::max(most, static_cast<std::size_t>(std::upper_bound(first, this->arrivals.end(), *first + limitWindow) - first));
            return most;
        }
    };
    std::vector<std::unique_ptr<LimitedTarget>> limitedTargets;

    LimitedTarget& addTarget(const std::string& limit)
    {
        limitedTargets.push_back(std::make_unique<LimitedTarget>());
        LimitedTarget& target = *limitedTargets.back();
        target.limit = limit;
        testBed.addTarget([&target](const HttpMessage& received) {
            target.arrivals.push_back(Clock::now());
            return ScriptedTarget::healthyResponse(received, "fine", target.limit.empty() ? "" : "X-Limit: " + target.limit + "\r\n");
        });
        return target;
    }

    HttpMessage send(std::size_t daemon = 0)
    {
        auto caller = testBed.connectCaller(daemon);
        caller->send(makeRequest("r" + std::to_string(++lastRequest), "POST", "x"));
        CHECK(testBed.runUntil([&] { return !caller->responses.empty() || caller->ended; }));
        CHECK(!caller->responses.empty());
        return caller->responses.back();
    }

    // Sends requests, one after the other, at one daemon after the other.
    void sendFor(Duration time, const std::function<void(const HttpMessage&)>& check = {})
    {
        const TimePoint end = Clock::now() + time;
        while (Clock::now() < end) {
            const std::size_t daemon = lastRequest % testBed.proxies.size();
            if (testBed.proxies.at(daemon)) {
                const HttpMessage response = send(daemon);
                if (check)
                    check(response);
            } else {
                ++lastRequest;
            }
            testBed.runFor(milliseconds(15));
        }
    }
};

// Guards against a target getting its usual share of requests although it has named a limit below that.
TEST(RequestLimit, KeepsTheRequestsOfAllDaemonsToATargetWithinTheRateThatItNames)
{
    const LimitedTarget& limited = addTarget("2");
    testBed.start(4, false);
    const TimePoint start = Clock::now();
    sendFor(milliseconds(5500));
    CHECK_COMPARE(limited.mostInWindow(start + seconds(1)), <=, allowedInWindow(2));
    // The limit is used, not avoided.
    CHECK_COMPARE(limited.arrivals.size(), >=, 8);
}

// Guards against requests that wait, or reach the targets, although all of these are at their limits.
TEST(RequestLimit, OfAllTargetsIsAnsweredAtOnceWithTheTimeOfTheNextRequestThatTheyTake)
{
    const LimitedTarget& first = addTarget("0.5");
    const LimitedTarget& second = addTarget("0.25");
    testBed.start(2, false);
    sendFor(milliseconds(500));
    unsigned refused = 0;
    const TimePoint start = Clock::now();
    sendFor(milliseconds(2500), [&](const HttpMessage& response) {
        if (response.status == 200)
            return;
        ++refused;
        CHECK_EQUAL(503, response.status);
        CHECK_EQUAL(std::string("at-limit\n"), response.body);
        const double retryAfter = std::stod(std::string(headerValue(response, "Retry-After")));
        CHECK(retryAfter >= 0.1 && retryAfter <= 4);
    });
    CHECK_COMPARE(refused, >, 30);
    CHECK_COMPARE(first.mostInWindow(start), <=, allowedInWindow(0.5));
    CHECK_COMPARE(second.mostInWindow(start), <=, allowedInWindow(0.25));
}

TEST(RequestLimit, EndsOnceResponsesNoLongerNameIt)
{
    LimitedTarget& target = addTarget("5");
    testBed.start(2, false);
    sendFor(milliseconds(1500));
    CHECK_COMPARE(target.arrivals.size(), <=, 12);
    target.limit.clear();
    sendFor(milliseconds(600));
    const std::size_t before = target.arrivals.size();
    sendFor(milliseconds(1000));
    CHECK_COMPARE(target.arrivals.size() - before, >, 20);
}

// Guards against a limit that is known to nobody once its dispatcher has ended.
TEST(RequestLimit, HoldsWhenAnotherDaemonTakesOver)
{
    const LimitedTarget& limited = addTarget("2");
    testBed.start(4, false);
    const TimePoint start = Clock::now();
    sendFor(milliseconds(1500));
    for (int ended = 0; ended < 2; ++ended) {
        Proxy& any = **std::find_if(testBed.proxies.begin(), testBed.proxies.end(), [](const auto& proxy) { return proxy != nullptr; });
        const std::string dispatcher = dispatchersFor(any.fleetState(), "stock/0/1").front();
        const auto index = std::find_if(testBed.settings.begin(), testBed.settings.end(), [&](const ProxySettings& each) { return each.vm == dispatcher; }) - testBed.settings.begin();
        testBed.proxies.at(static_cast<std::size_t>(index)).reset();
        sendFor(milliseconds(1500));
    }
    CHECK_COMPARE(limited.mostInWindow(start + seconds(1)), <=, allowedInWindow(2));
}

// Guards against a target being throttled by a limit that it did not name.
TEST(RequestLimit, IsIgnoredWhenItCannotBeRead)
{
    LimitedTarget& target = addTarget("");
    testBed.start(1, false);
    for (const std::string& value : { std::string("few"), std::string("-1"), std::string("1, 1"), std::string(10'000, '1') + "x", std::string("1\r\nX-Limit: 2") }) {
        target.limit = value;
        sendFor(milliseconds(200), [](const HttpMessage& response) { CHECK_EQUAL(200, response.status); });
    }
}

TEST(RequestLimit, IsADecimalNumberOfRequestsPerSecond)
{
    CHECK(parseRequestLimit("1.8") == std::optional<double>(1.8));
    CHECK(parseRequestLimit("20") == std::optional<double>(20));
    CHECK(parseRequestLimit("0") == std::optional<double>(0));
    CHECK(parseRequestLimit("99999999999") == std::optional<double>(1e6));
    for (const std::string_view unreadable : { "", "-1", "-0", "nan", "inf", "2/s", "1e3", "+1", " 1", "1 1" })
        CHECK_FALSE(parseRequestLimit(unreadable).has_value());
}

TEST(RequestLimit, ThatIsNamedTwiceIsReadOnlyIfBothAgree)
{
    HttpMessage response;
    response.headers = { { "X-Limit", "2" }, { "x-limit", "2" } };
    CHECK(readLimit(response, "X-Limit").kind == LimitStatementKind::Named);
    response.headers = { { "X-Limit", "2" }, { "X-Limit", "3" } };
    CHECK(readLimit(response, "X-Limit").kind == LimitStatementKind::Unreadable);
    response.headers.clear();
    CHECK(readLimit(response, "X-Limit").kind == LimitStatementKind::None);
}

// Guards against daemons that decide alone using the whole limit each.
TEST(RequestLimit, IsSharedByDaemonsThatDecideAlone)
{
    constexpr double perSecond = 0.5;
    constexpr unsigned daemons = 20;
    const TimePoint now = Clock::now();
    std::vector<grants::ListedTarget> listed(1);
    listed.front().instance = "i-1";
    listed.front().slots = 4;
    listed.front().requestsPerSecond = perSecond;
    const ProxySettings settings;
    DispatcherHost host(testBed.io, "alone", settings, 0.4, testBed.log, { [](const grants::Decision&) {}, [&listed](std::string_view) { return listed; }, [](const grants::AttemptId&) {}, [](const grants::ListedTarget&) {} });
    host.setRequestLimitShare(1.0 / daemons);
    GrantRequestMessage message;
    message.group = "stock/0/1";
    host.requestGrant(message);
    const std::optional<grants::RequestLimit>& limit = host.pools().at("stock/0/1").targets.at("i-1").requestLimit;
    CHECK(limit.has_value());
    CHECK(timeToToken(*limit, now) > seconds(39));
}

TEST_GROUP(TargetDirectoryLimits)
{
    TimePoint now { Clock::now() };
    TargetDirectory directory;
    TargetEntry entry { entryOf("i-1", 2) };

    void setup() override
    {
        applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now);
    }

    std::optional<double> limit() const { return directory.entries.at("i-1").entry.target.requestsPerSecond; }
};

TEST(TargetDirectoryLimits, IgnoreAnEarlierIncarnationAndUnknownTargets)
{
    CHECK(setRequestLimit(directory, "i-1", 1, 5, now).limitsChanged.empty());
    CHECK(setRequestLimit(directory, "unknown", 2, 5, now).limitsChanged.empty());
    CHECK_FALSE(limit().has_value());
}

TEST(TargetDirectoryLimits, StayWhileTheTargetWritesItsEntryAndEndWhenItRestarts)
{
    setRequestLimit(directory, "i-1", 2, 5, now);
    entry.target.slots = 4;
    applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now);
    CHECK(limit() == std::optional<double>(5));
    entry.startedAt = 3;
    applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now);
    CHECK_FALSE(limit().has_value());
}

TEST(TargetDirectoryLimits, StayThoughTheEntryGoesAndReturns)
{
    setRequestLimit(directory, "i-1", 2, 5, now);
    applyEntryChanges(directory, {}, std::vector<std::string> { "i-1" }, now + seconds(3), seconds(60));
    CHECK(directory.entries.empty());
    applyEntryChanges(directory, std::vector<TargetEntry> { entry }, {}, now + seconds(4));
    CHECK(limit() == std::optional<double>(5));
}

// Guards against a response from before the limit, reported late, ending it.
TEST(TargetDirectoryLimits, OutlastALateReportOfAResponseWithoutOne)
{
    setRequestLimit(directory, "i-1", 2, 5, now);
    setRequestLimit(directory, "i-1", 2, std::nullopt, now + milliseconds(100));
    CHECK(limit() == std::optional<double>(5));
    CHECK_EQUAL(1, setRequestLimit(directory, "i-1", 2, std::nullopt, now + milliseconds(300)).limitsChanged.size());
    CHECK_FALSE(limit().has_value());
}

TEST(TargetDirectoryLimits, OfZeroLetOneRequestInFiveSecondsFindOutWhetherTheyHaveEnded)
{
    setRequestLimit(directory, "i-1", 2, 0, now);
    CHECK(limit() == std::optional<double>(0.2));
}

TEST(TargetDirectoryLimits, AreForgottenWhenNoResponseRepeatsThem)
{
    setRequestLimit(directory, "i-1", 2, 5, now);
    setRequestLimit(directory, "i-1", 2, 5, now + seconds(20));
    CHECK(nextEntryExpiry(directory) == std::optional<TimePoint>(now + seconds(50)));
    CHECK(expireEntries(directory, now + seconds(49)).limitsChanged.empty());
    CHECK_EQUAL(1, expireEntries(directory, now + seconds(50)).limitsChanged.size());
    CHECK_FALSE(limit().has_value());
    CHECK_FALSE(nextEntryExpiry(directory).has_value());
}
