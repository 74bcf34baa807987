#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

// Counters, gauges and latency summaries of one thread, and their Prometheus text form.
namespace flamingowick::telemetry {

// Measures of one thread. Not safe from several threads at once.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // Adds to a counter. labels is empty or as `service="x",outcome="y"`. May throw std::bad_alloc;
    // logarithmic in the number of measures.
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);

    // Sets a gauge.
    void set(std::string_view name, std::string_view labels, double value);

    // Adds a duration to a summary with the quantiles 0.5, 0.9 and 0.99, estimated by the P-square
    // algorithm of Boost.Accumulators in constant memory.
    void observe(std::string_view name, std::string_view labels, Duration);

    // Adds a duration to a histogram with fixed bounds from 5 ms to 10 s, which can be summed over VMs.
    void record(std::string_view name, std::string_view labels, Duration);

    // Returns the value of a counter, 0 when it was never counted.
    std::uint64_t counterValue(std::string_view name, std::string_view labels = {}) const;

    // Writes all measures in the Prometheus text format, version 0.0.4; durations in seconds.
    std::string render() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
