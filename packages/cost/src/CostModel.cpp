#include "flamingowick/cost/CostModel.h"

#include "DecayingMeans.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace flamingowick::cost {

namespace {

    // 512 cells take 24 KiB: room for the routes of a service and its busiest organisations and paths.
    constexpr std::size_t cellCount = 512;
    constexpr std::size_t cellsInSet = 4;
    // Time constant with which observations are forgotten.
    constexpr double memorySeconds = 60;
    // Requests from which an estimate is used.
    constexpr double minWeight = 8;
    // Requests that a feature is taken to have shown without any effect, by which its effect is shrunk.
    constexpr double shrinkageWeight = 8;
    // A response moves the estimate as if it had taken at most e to this power of what was expected, or the inverse.
    constexpr double maxLogDistance = 2;
    // Requests, and the share of the squared error, from which a kind of feature is used.
    constexpr double minGainWeight = 50;
    constexpr double minGain = 0.03;
    // Deviation that is assumed until enough requests have shown it.
    constexpr double assumedDeviation = 0.6;
    constexpr double minDeviation = 0.05;

    std::size_t firstOfSet(std::uint64_t key) noexcept { return key % (cellCount / cellsInSet) * cellsInSet; }

    const CostModel::Cell* findCell(const CostModel& model, std::uint64_t key) noexcept
    {
        if (model.cells.empty())
            return nullptr;
        const auto set = std::span(model.cells).subspan(firstOfSet(key), cellsInSet);
        const auto found = std::find_if(set.begin(), set.end(), [key](const CostModel::Cell& cell) { return cell.key == key && cell.value.weight > 0; });
        return found == set.end() ? nullptr : &*found;
    }

    CostModel::Cell& cellFor(CostModel& model, std::uint64_t key, TimePoint now)
    {
        if (model.cells.empty())
            model.cells.resize(cellCount);
        const auto set = std::span(model.cells).subspan(firstOfSet(key), cellsInSet);
        const auto found = std::find_if(set.begin(), set.end(), [key](const CostModel::Cell& cell) { return cell.key == key; });
        if (found != set.end())
            return *found;
        const auto least = std::min_element(set.begin(), set.end(), [now](const CostModel::Cell& a, const CostModel::Cell& b) {
            return decayedWeight(a.value, memorySeconds, now) < decayedWeight(b.value, memorySeconds, now);
        });
        *least = { key, {} };
        return *least;
    }

    std::uint64_t routeKey(const Features& features) noexcept { return combineHashes(stableHash("route"), features.route); }
    std::uint64_t refinementKey(const Features& features, std::size_t kind) noexcept { return combineHashes(routeKey(features), combineHashes(kind + 1, features.refinements.at(kind))); }

    bool isUsed(const RefinementGain& gain) noexcept { return gain.weight >= minGainWeight && gain.errorWith < (1 - minGain) * gain.errorWithout; }

    double shrunkEffect(const DecayingMean& value, TimePoint now) noexcept
    {
        const double weight = decayedWeight(value, memorySeconds, now);
        return value.mean * weight / (weight + shrinkageWeight);
    }

    // The mean logarithm of the route's work, or of all requests until enough of the route have been seen.
    DecayingMean baseOf(const CostModel& model, const Features& features, TimePoint now) noexcept
    {
        const CostModel::Cell* const cell = findCell(model, routeKey(features));
        DecayingMean base = cell && decayedWeight(cell->value, memorySeconds, now) >= minWeight ? cell->value : model.overall;
        base.weight = decayedWeight(base, memorySeconds, now);
        return base;
    }

    void recordGain(RefinementGain& gain, double without, double with, TimePoint now) noexcept
    {
        const double kept = std::exp(-std::max(0.0, std::chrono::duration<double>(now - gain.updatedAt).count()) / memorySeconds);
        gain.errorWithout = gain.errorWithout * kept + without * without;
        gain.errorWith = gain.errorWith * kept + with * with;
        gain.weight = gain.weight * kept + 1;
        gain.updatedAt = std::max(gain.updatedAt, now);
    }

    // Share of a standard normal distribution above the value.
    double upperTail(double value) noexcept { return std::erfc(value / std::numbers::sqrt2) / 2; }

    // Table of the mean residual life of a lognormal as a share of its mean, by the standing of the age, in deviations from
    // the median, and by the deviation. A grant asks for that of each attempt in flight.
    constexpr double maxTabledStanding = 4;
    constexpr double standingStep = 0.25;
    constexpr std::size_t standingCount = 33;
    constexpr double maxTabledDeviation = 1.6;
    constexpr double deviationStep = 0.1;
    constexpr std::size_t deviationCount = 17;
    constexpr double minRemainingShare = 1e-3;

    double computeRemainingShare(double standing, double deviation) noexcept
    {
        const double ageShare = std::exp(deviation * standing - deviation * deviation / 2);
        return std::max(upperTail(standing - deviation) / upperTail(standing) - ageShare, minRemainingShare);
    }

    using RemainingTable = std::array<std::array<double, standingCount>, deviationCount>;

    RemainingTable makeRemainingTable() noexcept
    {
        RemainingTable table {};
        for (std::size_t row = 0; row < deviationCount; ++row) {
            for (std::size_t column = 0; column < standingCount; ++column)
                table.at(row).at(column) = computeRemainingShare(static_cast<double>(column) * standingStep - maxTabledStanding, std::max(static_cast<double>(row) * deviationStep, minDeviation));
        }
        return table;
    }

    // Interpolates in the table. The standing lies within it.
    double remainingShare(double standing, double deviation) noexcept
    {
        static const RemainingTable table = makeRemainingTable();
        const double column = (standing + maxTabledStanding) / standingStep;
        const double row = deviation / deviationStep;
        const std::size_t left = std::min(static_cast<std::size_t>(column), standingCount - 2);
        const std::size_t upper = std::min(static_cast<std::size_t>(row), deviationCount - 2);
        const double right = column - static_cast<double>(left);
        const double lower = row - static_cast<double>(upper);
        const auto along = [&](std::size_t index) {
            const auto& values = table[index]; // NOLINT(cppcoreguidelines-pro-bounds-constant-array-index)
            return (1 - right) * values[left] + right * values[left + 1]; // NOLINT(cppcoreguidelines-pro-bounds-constant-array-index)
        };
        return (1 - lower) * along(upper) + lower * along(upper + 1);
    }

}

bool Estimate::isKnown() const noexcept { return this->weight >= minWeight; }

double Estimate::meanSeconds() const noexcept { return std::exp(this->meanLog + this->deviationLog * this->deviationLog / 2); }

void observe(CostModel& model, const Features& features, double workSeconds, TimePoint now)
{
    if (!(workSeconds > 0) || !std::isfinite(workSeconds))
        return;
    const double value = std::log(workSeconds);
    const DecayingMean base = baseOf(model, features, now);
    const double expected = base.weight >= minWeight ? base.mean : value;
    const double limited = std::clamp(value, expected - maxLogDistance, expected + maxLogDistance);
    if (base.weight >= minWeight) {
        // Each kind explains what those before it, as far as they are used, have left.
        double residual = limited - base.mean;
        for (std::size_t kind = 0; kind < maxRefinements; ++kind) {
            if (features.refinements.at(kind) == 0)
                continue;
            DecayingMean& effect = cellFor(model, refinementKey(features, kind), now).value;
            RefinementGain& gain = model.gains.at(kind);
            const double remaining = residual - shrunkEffect(effect, now);
            recordGain(gain, residual, remaining, now);
            add(effect, residual, effect.mean, maxLogDistance, memorySeconds, now);
            if (isUsed(gain))
                residual = remaining;
        }
    }
    DecayingMean& route = cellFor(model, routeKey(features), now).value;
    add(route, limited, expected, maxLogDistance, memorySeconds, now);
    add(model.overall, limited, expected, maxLogDistance, memorySeconds, now);
}

Estimate estimate(const CostModel& model, const Features& features, TimePoint now) noexcept
{
    const DecayingMean base = baseOf(model, features, now);
    Estimate result;
    result.weight = base.weight;
    result.meanLog = base.mean;
    double variance = base.weight >= minWeight ? base.variance : assumedDeviation * assumedDeviation;
    for (std::size_t kind = 0; kind < maxRefinements; ++kind) {
        const RefinementGain& gain = model.gains.at(kind);
        if (features.refinements.at(kind) == 0 || !isUsed(gain))
            continue;
        if (const CostModel::Cell* const cell = findCell(model, refinementKey(features, kind))) {
            result.meanLog += shrunkEffect(cell->value, now);
            variance *= gain.errorWith / gain.errorWithout;
        }
    }
    result.deviationLog = std::max(std::sqrt(variance), minDeviation);
    return result;
}

double explainedShare(const CostModel& model, std::size_t kind)
{
    const RefinementGain& gain = model.gains.at(kind);
    return isUsed(gain) ? 1 - gain.errorWith / gain.errorWithout : 0;
}

double expectedRemainingSeconds(const Estimate& expected, double slowness, double ageSeconds) noexcept
{
    const double mean = expected.meanSeconds() * slowness;
    if (!(ageSeconds > 0))
        return mean;
    const double deviation = std::clamp(expected.deviationLog, minDeviation, maxTabledDeviation);
    const double standing = (std::log(ageSeconds / slowness) - expected.meanLog) / deviation;
    // Beyond the table the mean residual life of a lognormal tends to this quotient.
    if (standing >= maxTabledStanding)
        return ageSeconds * deviation / standing;
    return standing <= -maxTabledStanding ? std::max(mean - ageSeconds, mean * minRemainingShare) : mean * remainingShare(standing, deviation);
}

}
