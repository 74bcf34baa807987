#include "Contender.h"

#include <cmath>
#include <memory>

namespace flamingowick::health::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration baselineEjection = 30s;
    constexpr unsigned failuresInARow = 5;
    constexpr Duration outlierInterval = 10s;
    constexpr std::uint32_t outlierRequests = 100;
    constexpr std::size_t outlierTargets = 5;
    constexpr double outlierDeviations = 1.9;

    ObserverId observerOf(std::size_t entry)
    {
        return { { "vm" + std::to_string(entry), 1 }, "fd" + std::to_string(entry % 3) };
    }

    HealthState makeState(const PoolSize& size, const HealthPolicy& policy)
    {
        HealthState state;
        TargetLimits limits;
        limits.slots = size.slots;
        handle(state, DocumentChanged { policy, limits }, TimePoint {});
        std::vector<Target> targets;
        for (std::size_t i = 0; i < size.targets; ++i)
            targets.push_back({ addressOf(i), "fd" + std::to_string(i % 3), false });
        handle(state, TargetsChanged { targets }, TimePoint {});
        return state;
    }

    Contender makeOwn(std::string name, std::size_t states, const PoolSize& size, const HealthPolicy& policy)
    {
        auto own = std::make_shared<std::vector<HealthState>>(states, makeState(size, policy));
        Contender contender;
        contender.name = std::move(name);
        contender.standing = [own](std::size_t entry, std::size_t target) {
            const auto& state = (*own)[entry % own->size()];
            if (state.applied.empty())
                return StandingShare {};
            return standingOf(state, addressOf(target), "fd" + std::to_string(entry % 3));
        };
        contender.observe = [own](const Sample& sample, TimePoint now) {
            auto& state = (*own)[sample.entry % own->size()];
            handle(state, Observation { addressOf(sample.target), sample.result, sample.latency, observerOf(sample.entry), sample.idempotent }, now);
        };
        contender.tick = [own](TimePoint now) {
            for (auto& state : *own)
                handle(state, Tick {}, now);
        };
        return contender;
    }

    // What the baselines keep of each target.
    struct Baseline {
        std::vector<TimePoint> until;
        std::vector<unsigned> failures;
        std::vector<std::uint32_t> requests;
        std::vector<std::uint32_t> successes;
        std::size_t mostEjected { 0 };
        TimePoint now {};
        TimePoint evaluatedAt {};
    };

    std::shared_ptr<Baseline> makeBaseline(const PoolSize& size, double capacityFloor)
    {
        auto baseline = std::make_shared<Baseline>();
        baseline->until.resize(size.targets);
        baseline->failures.resize(size.targets);
        baseline->requests.resize(size.targets);
        baseline->successes.resize(size.targets);
        const auto least = static_cast<std::size_t>(std::ceil(capacityFloor * static_cast<double>(size.targets)));
        baseline->mostEjected = size.targets - least;
        return baseline;
    }

    void ejectTarget(Baseline& baseline, std::size_t target, TimePoint now)
    {
        std::size_t out = 0;
        for (const auto until : baseline.until)
            out += until > now ? 1 : 0;
        if (baseline.until[target] <= now && out < baseline.mostEjected)
            baseline.until[target] = now + baselineEjection;
    }

    void evaluateOutliers(Baseline& baseline, TimePoint now)
    {
        std::vector<std::pair<std::size_t, double>> rates;
        for (std::size_t i = 0; i < baseline.requests.size(); ++i) {
            if (baseline.requests[i] >= outlierRequests)
                rates.emplace_back(i, static_cast<double>(baseline.successes[i]) / baseline.requests[i]);
        }
        double mean = 0;
        for (const auto& rate : rates)
            mean += rate.second / static_cast<double>(rates.size());
        double variance = 0;
        for (const auto& rate : rates)
            variance += (rate.second - mean) * (rate.second - mean) / static_cast<double>(rates.size());
        for (const auto& [target, rate] : rates) {
            if (rates.size() >= outlierTargets && rate < mean - outlierDeviations * std::sqrt(variance))
                ejectTarget(baseline, target, now);
        }
        baseline.requests.assign(baseline.requests.size(), 0);
        baseline.successes.assign(baseline.successes.size(), 0);
    }

    Contender wrapBaseline(std::string name, const std::shared_ptr<Baseline>& baseline)
    {
        Contender contender;
        contender.name = std::move(name);
        contender.standing = [baseline](std::size_t, std::size_t target) {
            const auto out = baseline->until[target] > baseline->now;
            return out ? StandingShare { Standing::Ejected, 0 } : StandingShare {};
        };
        contender.tick = [baseline](TimePoint now) { baseline->now = now; };
        return contender;
    }

}

Contender makePooled(const PoolSize& size, const HealthPolicy& policy)
{
    return makeOwn("sequential", 1, size, policy);
}

Contender makeSplit(const PoolSize& size, const HealthPolicy& policy)
{
    return makeOwn("sequential, split", size.entries, size, policy);
}

Contender makeConsecutiveFailures(const PoolSize& size, double capacityFloor)
{
    const auto baseline = makeBaseline(size, capacityFloor);
    auto contender = wrapBaseline("consecutive failures", baseline);
    contender.observe = [baseline](const Sample& sample, TimePoint now) {
        auto& failures = baseline->failures[sample.target];
        failures = sample.result == Result::Ok ? 0 : failures + 1;
        if (failures < failuresInARow)
            return;
        ejectTarget(*baseline, sample.target, now);
        failures = 0;
    };
    return contender;
}

Contender makeSuccessRateOutlier(const PoolSize& size, double capacityFloor)
{
    const auto baseline = makeBaseline(size, capacityFloor);
    auto contender = wrapBaseline("success-rate outlier", baseline);
    contender.observe = [baseline](const Sample& sample, TimePoint) {
        ++baseline->requests[sample.target];
        baseline->successes[sample.target] += sample.result == Result::Ok ? 1 : 0;
    };
    contender.tick = [baseline](TimePoint now) {
        baseline->now = now;
        if (now - baseline->evaluatedAt < outlierInterval)
            return;
        baseline->evaluatedAt = now;
        evaluateOutliers(*baseline, now);
    };
    return contender;
}

std::string addressOf(std::size_t target)
{
    return "t" + std::to_string(100 + target);
}

}
