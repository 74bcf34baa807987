#include "Simulation.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace flamingowick::health::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration step = 50ms;
    constexpr double latencySigma = 0.5;
    constexpr double tailShare = 0.01;
    constexpr double tailFactor = 4;
    constexpr double slowFactor = 5;
    constexpr Duration flapPeriod = 10s;
    constexpr double burstsPerTargetHour = 1;
    constexpr double burstErrorShare = 0.5;
    constexpr double stallFactor = 8;

    struct Pending {
        TimePoint due;
        Sample sample;

        bool operator<(const Pending& other) const { return this->due > other.due; }
    };

    // A short burst of errors or latency on a healthy target, as is common in production.
    struct Burst {
        TimePoint until {};
        bool stall { false };
    };

    struct Run {
        const Service& service;
        const Scenario& scenario;
        EjectionPolicy& policy;
        std::mt19937_64 random;
        TimePoint now { 1h };
        TimePoint onset {};
        std::priority_queue<Pending> pending {};
        std::vector<Burst> bursts {};
        std::vector<bool> wasEjected {};
        RunResult result {};

        double randomShare() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    };

    // The target affected by faults of a single target.
    constexpr std::size_t faultyTarget = 0;
    constexpr std::size_t unreachableDomain = 1;

    bool isFaultActive(const Run& run)
    {
        if (run.now < run.onset || run.scenario.fault == Fault::Noise)
            return false;
        return run.scenario.fault != Fault::Flapping || ((run.now - run.onset) / flapPeriod) % 2 == 0;
    }

    bool isAffectedTarget(const Run& run, std::size_t target)
    {
        const auto single = run.scenario.fault != Fault::WholePool && run.scenario.fault != Fault::Noise && run.scenario.fault != Fault::OneWay;
        return single && target == faultyTarget && run.now >= run.onset;
    }

    double errorShareOf(const Run& run, std::size_t target, std::size_t entry)
    {
        const auto base = run.service.errorShare;
        if (!isFaultActive(run))
            return run.now < run.bursts[target].until && !run.bursts[target].stall ? burstErrorShare : base;
        if (run.scenario.fault == Fault::WholePool)
            return 0.4;
        if (target != faultyTarget)
            return base;
        switch (run.scenario.fault) {
        case Fault::ManyErrors:
            return 0.3;
        case Fault::FewErrors:
            return 0.05;
        case Fault::AllErrors:
            return 1;
        case Fault::Flapping:
            return 0.5;
        case Fault::OneWay:
            return entry % 3 == unreachableDomain ? 1 : base;
        default:
            return base;
        }
    }

    double latencyFactorOf(const Run& run, std::size_t target)
    {
        if (run.scenario.fault == Fault::Slow && isFaultActive(run) && target == faultyTarget)
            return slowFactor;
        return run.now < run.bursts[target].until && run.bursts[target].stall ? stallFactor : 1;
    }

    Duration drawLatency(Run& run, std::size_t target)
    {
        auto milliseconds = std::lognormal_distribution<double>(std::log(run.service.medianLatencyMs), latencySigma)(run.random);
        if (run.randomShare() < tailShare)
            milliseconds *= tailFactor / std::sqrt(1 - run.randomShare());
        milliseconds *= latencyFactorOf(run, target);
        return std::chrono::microseconds(std::llround(std::min(milliseconds, 10000.0) * 1000));
    }

    // Picks a random target, weighted by traffic share. Targets in the trickle receive no non-idempotent requests.
    std::size_t pickTarget(Run& run, std::size_t entry, bool idempotent)
    {
        std::vector<double> weights(run.service.pool.targets);
        double sum = 0;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            const auto standing = run.policy.standing(entry, i);
            weights[i] = standing.standing == Standing::Trickle && !idempotent ? 0 : standing.share;
            sum += weights[i];
        }
        auto point = run.randomShare() * sum;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            point -= weights[i];
            if (point < 0)
                return i;
        }
        return run.random() % weights.size();
    }

    void sendRequest(Run& run)
    {
        Sample sample;
        sample.entry = run.random() % run.service.pool.entries;
        sample.idempotent = run.randomShare() < run.service.idempotentShare;
        sample.target = pickTarget(run, sample.entry, sample.idempotent);
        sample.latency = drawLatency(run, sample.target);
        if (run.randomShare() < errorShareOf(run, sample.target, sample.entry))
            sample.result = run.scenario.fault == Fault::OneWay && isFaultActive(run) ? Result::ConnectFailure : Result::Error;
        const auto offset = Duration(static_cast<Duration::rep>(run.randomShare() * static_cast<double>(step.count())));
        run.pending.push({ run.now + offset + sample.latency, sample });
    }

    void startBursts(Run& run)
    {
        const auto perStep = burstsPerTargetHour * std::chrono::duration<double, std::ratio<3600>>(step).count();
        for (auto& burst : run.bursts) {
            if (run.now < burst.until || run.randomShare() >= perStep)
                continue;
            const auto length = std::chrono::milliseconds(200 + run.random() % 800);
            burst = { run.now + length, run.randomShare() < 0.5 };
        }
    }

    double shareOf(const Run& run, std::size_t target, bool onlyUnreachableDomain)
    {
        double sum = 0;
        std::size_t count = 0;
        for (std::size_t entry = 0; entry < run.service.pool.entries; ++entry) {
            if (onlyUnreachableDomain && entry % 3 != unreachableDomain)
                continue;
            sum += run.policy.standing(entry, target).share;
            ++count;
        }
        return sum / static_cast<double>(count);
    }

    void measureFault(Run& run)
    {
        if (run.now < run.onset || run.scenario.fault == Fault::Noise || run.scenario.fault == Fault::WholePool)
            return;
        const auto share = shareOf(run, faultyTarget, run.scenario.fault == Fault::OneWay);
        if (isFaultActive(run))
            run.result.exposedSeconds += share * std::chrono::duration<double>(step).count();
        if (run.result.detected)
            return;
        run.result.detectionSeconds = std::chrono::duration<double>(run.now - run.onset).count();
        run.result.detected = share < 0.5;
    }

    // Counts ejections of healthy targets. An ejection at one entry counts as the fraction 1 / entries. Avoiding a faulty
    // path is not a false ejection.
    void measureFalseEjections(Run& run)
    {
        const auto entries = run.service.pool.entries;
        for (std::size_t target = 0; target < run.service.pool.targets; ++target) {
            for (std::size_t entry = 0; entry < entries; ++entry) {
                const auto isEjected = run.policy.standing(entry, target).standing == Standing::Ejected;
                const auto index = target * entries + entry;
                const auto isFaultyPath = run.scenario.fault == Fault::OneWay && target == faultyTarget && run.now >= run.onset && entry % 3 == unreachableDomain;
                if (isEjected && !run.wasEjected[index] && !isAffectedTarget(run, target) && !isFaultyPath)
                    run.result.falseEjections += 1.0 / static_cast<double>(entries);
                run.wasEjected[index] = isEjected;
            }
        }
    }

    void advance(Run& run)
    {
        const auto arrivals = std::poisson_distribution<int>(run.service.requestsPerSecond * std::chrono::duration<double>(step).count())(run.random);
        for (int i = 0; i < arrivals; ++i)
            sendRequest(run);
        run.now += step;
        while (!run.pending.empty() && run.pending.top().due <= run.now) {
            run.policy.observe(run.pending.top().sample, run.pending.top().due);
            run.pending.pop();
        }
        run.policy.tick(run.now);
        if (run.scenario.fault == Fault::Noise)
            startBursts(run);
        measureFault(run);
        measureFalseEjections(run);
    }

}

std::string toString(Fault fault)
{
    switch (fault) {
    case Fault::ManyErrors:
        return "30% errors";
    case Fault::FewErrors:
        return "5% errors";
    case Fault::AllErrors:
        return "probe good, all requests bad";
    case Fault::Slow:
        return "5 times slower";
    case Fault::Flapping:
        return "flapping, 50% errors 10 s on 10 s off";
    case Fault::OneWay:
        return "unreachable from one failure domain";
    case Fault::WholePool:
        return "whole pool 40% errors";
    case Fault::Noise:
        return "healthy with noise";
    }
    return "";
}

RunResult simulate(const Service& service, const Scenario& scenario, EjectionPolicy& policy, std::uint64_t seed)
{
    Run run { service, scenario, policy, std::mt19937_64(seed) };
    run.onset = run.now + scenario.onset;
    run.bursts.resize(service.pool.targets);
    run.wasEjected.resize(service.pool.targets * service.pool.entries);
    const auto end = run.now + scenario.length;
    while (run.now < end)
        advance(run);
    const std::chrono::duration<double, std::ratio<86400>> days = scenario.length;
    run.result.targetDays = days.count() * static_cast<double>(service.pool.targets);
    return run.result;
}

}
