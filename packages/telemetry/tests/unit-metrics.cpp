#include "flamingowick/telemetry/Log.h"
#include "flamingowick/telemetry/Metrics.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::telemetry;

TEST_GROUP(Metrics) {};

TEST(Metrics, RendersTheTypeOfEachMetricOnce)
{
    Metrics metrics;
    metrics.increment("requests_total", "service=\"a\"");
    metrics.increment("requests_total", "service=\"b\"", 2);
    metrics.setGauge("members", "", 44);
    std::string expected = "# TYPE requests_total counter\nrequests_total{service=\"a\"} 1.000000\n"
                           "requests_total{service=\"b\"} 2.000000\n# TYPE members gauge\nmembers 44.000000\n";
    STRCMP_EQUAL(expected.c_str(), metrics.render().c_str());
}

TEST(Metrics, RendersSummariesInSeconds)
{
    Metrics metrics;
    for (int milliseconds = 1; milliseconds <= 100; ++milliseconds)
        metrics.observeSummary("latency_seconds", "", std::chrono::milliseconds(milliseconds));
    std::string text = metrics.render();
    CHECK(text.find("latency_seconds_count 100.000000") != std::string::npos);
    CHECK(text.find("latency_seconds_sum 5.050000") != std::string::npos);
}

TEST_GROUP(Log) {};

TEST(Log, HasAPrefixForEachPart)
{
    STRCMP_EQUAL("entry: ", std::string(prefix(Part::Entry)).c_str());
    STRCMP_EQUAL("keys: ", std::string(prefix(Part::Keys)).c_str());
}

TEST(Metrics, CountsHistogramObservationsUpToEachBound)
{
    telemetry::Metrics metrics;
    metrics.observeHistogram("wait_seconds", "service=\"a\"", std::chrono::milliseconds(7));
    metrics.observeHistogram("wait_seconds", "service=\"a\"", std::chrono::seconds(60));
    const std::string text = metrics.render();
    CHECK(text.find("# TYPE wait_seconds histogram") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{service=\"a\",le=\"0.005\"} 0.") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{service=\"a\",le=\"0.01\"} 1.") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{service=\"a\",le=\"10\"} 1.") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{service=\"a\",le=\"+Inf\"} 2.") != std::string::npos);
    CHECK(text.find("wait_seconds_count{service=\"a\"} 2.") != std::string::npos);
}
