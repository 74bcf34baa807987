#include "EjectionPolicy.h"

#include <cmath>
#include <memory>

namespace flamingowick::health::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration baselineEjection = 30s;
    constexpr unsigned maxConsecutiveFailures = 5;
    constexpr Duration outlierInterval = 10s;
    constexpr std::uint32_t minOutlierRequests = 100;
    constexpr std::size_t minOutlierTargets = 5;
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

    EjectionPolicy makeSequential(std::string name, std::size_t states, const PoolSize& size, const HealthPolicy& policy)
    {
        auto sharedStates = std::make_shared<std::vector<HealthState>>(states, makeState(size, policy));
        EjectionPolicy ejectionPolicy;
        ejectionPolicy.name = std::move(name);
        ejectionPolicy.standing = [sharedStates](std::size_t entry, std::size_t target) {
            const auto& state = (*sharedStates)[entry % sharedStates->size()];
            if (state.applied.empty())
                return StandingShare {};
            return standingOf(state, addressOf(target), "fd" + std::to_string(entry % 3));
        };
        ejectionPolicy.observe = [sharedStates](const Sample& sample, TimePoint now) {
            auto& state = (*sharedStates)[sample.entry % sharedStates->size()];
            handle(state, Observation { addressOf(sample.target), sample.result, sample.latency, observerOf(sample.entry), sample.idempotent }, now);
        };
        ejectionPolicy.tick = [sharedStates](TimePoint now) {
            for (auto& state : *sharedStates)
                handle(state, Tick {}, now);
        };
        return ejectionPolicy;
    }

    // The state of the baseline policies, by target.
    struct Baseline {
        std::vector<TimePoint> ejectedUntil;
        std::vector<unsigned> consecutiveFailures;
        std::vector<std::uint32_t> requests;
        std::vector<std::uint32_t> successes;
        std::size_t maxEjected { 0 };
        TimePoint now {};
        TimePoint evaluatedAt {};
    };

    std::shared_ptr<Baseline> makeBaseline(const PoolSize& size, double capacityFloor)
    {
        auto baseline = std::make_shared<Baseline>();
        baseline->ejectedUntil.resize(size.targets);
        baseline->consecutiveFailures.resize(size.targets);
        baseline->requests.resize(size.targets);
        baseline->successes.resize(size.targets);
        const auto minHealthy = static_cast<std::size_t>(std::ceil(capacityFloor * static_cast<double>(size.targets)));
        baseline->maxEjected = size.targets - minHealthy;
        return baseline;
    }

    void ejectTarget(Baseline& baseline, std::size_t target, TimePoint now)
    {
        std::size_t ejectedCount = 0;
        for (const auto until : baseline.ejectedUntil)
            ejectedCount += until > now ? 1 : 0;
        if (baseline.ejectedUntil[target] <= now && ejectedCount < baseline.maxEjected)
            baseline.ejectedUntil[target] = now + baselineEjection;
    }

    void evaluateOutliers(Baseline& baseline, TimePoint now)
    {
        std::vector<std::pair<std::size_t, double>> rates;
        for (std::size_t i = 0; i < baseline.requests.size(); ++i) {
            if (baseline.requests[i] >= minOutlierRequests)
                rates.emplace_back(i, static_cast<double>(baseline.successes[i]) / baseline.requests[i]);
        }
        double mean = 0;
        for (const auto& rate : rates)
            mean += rate.second / static_cast<double>(rates.size());
        double variance = 0;
        for (const auto& rate : rates)
            variance += (rate.second - mean) * (rate.second - mean) / static_cast<double>(rates.size());
        for (const auto& [target, rate] : rates) {
            if (rates.size() >= minOutlierTargets && rate < mean - outlierDeviations * std::sqrt(variance))
                ejectTarget(baseline, target, now);
        }
        baseline.requests.assign(baseline.requests.size(), 0);
        baseline.successes.assign(baseline.successes.size(), 0);
    }

    EjectionPolicy wrapBaseline(std::string name, const std::shared_ptr<Baseline>& baseline)
    {
        EjectionPolicy ejectionPolicy;
        ejectionPolicy.name = std::move(name);
        ejectionPolicy.standing = [baseline](std::size_t, std::size_t target) {
            const auto isEjected = baseline->ejectedUntil[target] > baseline->now;
            return isEjected ? StandingShare { Standing::Ejected, 0 } : StandingShare {};
        };
        ejectionPolicy.tick = [baseline](TimePoint now) { baseline->now = now; };
        return ejectionPolicy;
    }

}

EjectionPolicy makePooled(const PoolSize& size, const HealthPolicy& policy)
{
    return makeSequential("sequential", 1, size, policy);
}

EjectionPolicy makePerEntry(const PoolSize& size, const HealthPolicy& policy)
{
    return makeSequential("sequential, split", size.entries, size, policy);
}

EjectionPolicy makeConsecutiveFailures(const PoolSize& size, double capacityFloor)
{
    const auto baseline = makeBaseline(size, capacityFloor);
    auto ejectionPolicy = wrapBaseline("consecutive failures", baseline);
    ejectionPolicy.observe = [baseline](const Sample& sample, TimePoint now) {
        auto& failures = baseline->consecutiveFailures[sample.target];
        failures = sample.result == Result::Ok ? 0 : failures + 1;
        if (failures < maxConsecutiveFailures)
            return;
        ejectTarget(*baseline, sample.target, now);
        failures = 0;
    };
    return ejectionPolicy;
}

EjectionPolicy makeSuccessRateOutlier(const PoolSize& size, double capacityFloor)
{
    const auto baseline = makeBaseline(size, capacityFloor);
    auto ejectionPolicy = wrapBaseline("success-rate outlier", baseline);
    ejectionPolicy.observe = [baseline](const Sample& sample, TimePoint) {
        ++baseline->requests[sample.target];
        baseline->successes[sample.target] += sample.result == Result::Ok ? 1 : 0;
    };
    ejectionPolicy.tick = [baseline](TimePoint now) {
        baseline->now = now;
        if (now - baseline->evaluatedAt < outlierInterval)
            return;
        baseline->evaluatedAt = now;
        evaluateOutliers(*baseline, now);
    };
    return ejectionPolicy;
}

std::string addressOf(std::size_t target)
{
    return "t" + std::to_string(100 + target);
}

}
