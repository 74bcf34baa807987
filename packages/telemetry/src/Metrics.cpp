#include "flamingowick/telemetry/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace flamingowick::telemetry {

namespace {

    namespace accumulators = boost::accumulators;

    constexpr std::array<double, 3> quantiles { 0.5, 0.9, 0.99 };
    constexpr std::array<std::string_view, 3> quantileNames { "0.5", "0.9", "0.99" };

    using Summary = accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square>>;

    struct SeriesKey {
        std::string name;
        std::string labels;

        auto operator<=>(const SeriesKey&) const = default; // NOLINT(modernize-use-nullptr)
    };

    constexpr std::array<double, 11> histogramBounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

    struct Histogram {
        // Number of observations up to each bound, followed by the total number of observations.
        std::array<std::uint64_t, histogramBounds.size() + 1> counts {};
        double sum { 0 };
    };

    Summary makeSummary()
    {
        return Summary(accumulators::tag::extended_p_square::probabilities = quantiles);
    }

    void appendSample(std::string& text, std::string_view name, std::string_view labels, double value)
    {
        text.append(name);
        if (!labels.empty())
            text.append("{").append(labels).append("}");
        text.append(" ").append(std::to_string(value)).append("\n");
    }

    // Appends the type of a metric once; the series of one metric follow each other.
    void appendType(std::string& text, std::string& lastTyped, const std::string& name, std::string_view type)
    {
        if (lastTyped == name)
            return;
        lastTyped = name;
        text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    }

    void appendHistogram(std::string& text, const SeriesKey& series, const Histogram& histogram)
    {
        const std::string prefix = series.labels.empty() ? std::string() : series.labels + ",";
        for (std::size_t index = 0; index < histogramBounds.size(); ++index) {
            std::string bound = std::to_string(histogramBounds.at(index));
            bound.erase(bound.find_last_not_of('0') + 1);
            if (bound.back() == '.')
                bound.pop_back();
            std::string labels = prefix;
            labels.append("le=\"").append(bound).append("\"");
            appendSample(text, series.name + "_bucket", labels, static_cast<double>(histogram.counts.at(index)));
        }
        appendSample(text, series.name + "_bucket", prefix + "le=\"+Inf\"", static_cast<double>(histogram.counts.back()));
        appendSample(text, series.name + "_sum", series.labels, histogram.sum);
        appendSample(text, series.name + "_count", series.labels, static_cast<double>(histogram.counts.back()));
    }

    void appendSummary(std::string& text, const SeriesKey& series, const Summary& summary)
    {
        for (std::size_t index = 0; index < quantiles.size(); ++index) {
            std::string labels = series.labels;
            labels.append(labels.empty() ? "" : ",").append("quantile=\"").append(quantileNames[index]).append("\"");
            appendSample(text, series.name, labels, accumulators::extended_p_square(summary)[static_cast<std::ptrdiff_t>(index)]);
        }
        appendSample(text, series.name + "_sum", series.labels, accumulators::sum(summary));
        appendSample(text, series.name + "_count", series.labels, static_cast<double>(accumulators::count(summary)));
    }

}

struct Metrics::Impl {
    std::map<SeriesKey, std::uint64_t> counters;
    std::map<SeriesKey, double> gauges;
    std::map<SeriesKey, Summary> summaries;
    std::map<SeriesKey, Histogram> histograms;
};

Metrics::Metrics()
    : impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void Metrics::increment(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    this->impl->counters[{ std::string(name), std::string(labels) }] += amount;
}

void Metrics::setGauge(std::string_view name, std::string_view labels, double value)
{
    this->impl->gauges[{ std::string(name), std::string(labels) }] = value;
}

void Metrics::observeSummary(std::string_view name, std::string_view labels, Duration duration)
{
    SeriesKey series { std::string(name), std::string(labels) };
    auto entry = this->impl->summaries.find(series);
    if (entry == this->impl->summaries.end())
        entry = this->impl->summaries.emplace(std::move(series), makeSummary()).first;
    entry->second(std::chrono::duration<double>(duration).count());
}

void Metrics::observeHistogram(std::string_view name, std::string_view labels, Duration duration)
{
    Histogram& histogram = this->impl->histograms[{ std::string(name), std::string(labels) }];
    const double seconds = std::chrono::duration<double>(duration).count();
    for (std::size_t index = 0; index < histogramBounds.size(); ++index)
        histogram.counts.at(index) += seconds <= histogramBounds.at(index) ? 1 : 0;
    ++histogram.counts.back();
    histogram.sum += seconds;
}

std::uint64_t Metrics::counterValue(std::string_view name, std::string_view labels) const
{
    auto entry = this->impl->counters.find({ std::string(name), std::string(labels) });
    return entry == this->impl->counters.end() ? 0 : entry->second;
}

std::string Metrics::render() const
{
    std::string text;
    std::string lastTyped;
    for (const auto& [series, value] : this->impl->counters) {
        appendType(text, lastTyped, series.name, "counter");
        appendSample(text, series.name, series.labels, static_cast<double>(value));
    }
    for (const auto& [series, value] : this->impl->gauges) {
        appendType(text, lastTyped, series.name, "gauge");
        appendSample(text, series.name, series.labels, value);
    }
    for (const auto& [series, summary] : this->impl->summaries) {
        appendType(text, lastTyped, series.name, "summary");
        appendSummary(text, series, summary);
    }
    for (const auto& [series, histogram] : this->impl->histograms) {
        appendType(text, lastTyped, series.name, "histogram");
        appendHistogram(text, series, histogram);
    }
    return text;
}

}
