#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

// Counters, gauges, summaries and histograms, rendered in the Prometheus text format.
namespace flamingowick::telemetry {

// The metrics of one thread. Not safe from several threads at once. A series is a metric name with a set of labels.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // Adds to a counter. labels is empty or has the form `service="x",outcome="y"`. May throw std::bad_alloc;
    // logarithmic in the number of series.
    void increment(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);

    // Sets a gauge.
    void setGauge(std::string_view name, std::string_view labels, double value);

    // Adds a duration to a summary with the quantiles 0.5, 0.9 and 0.99, which the P-square algorithm of
    // Boost.Accumulators estimates in constant memory.
    void observeSummary(std::string_view name, std::string_view labels, Duration);

    // Adds a duration to a histogram with fixed buckets from 5 ms to 10 s. Unlike summaries, histograms can be
    // aggregated over VMs.
    void observeHistogram(std::string_view name, std::string_view labels, Duration);

    // Returns the value of a counter, or 0 when it doesn't exist.
    std::uint64_t counterValue(std::string_view name, std::string_view labels = {}) const;

    // Returns all series in the Prometheus text format, version 0.0.4, with durations in seconds.
    std::string render() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
