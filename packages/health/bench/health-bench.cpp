#include "Simulation.h"

#include "flamingowick/health/SequentialTest.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

// Compares this package's ejection policy with two common ones by detection time and false ejections, for the services
// of both deployments, in simulated time.
//
// Usage: flamingowick_health_bench [first seed] [seeds] [hours of noise] [JSON file]
namespace flamingowick::health::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t threads = 4;
    constexpr std::size_t perEntryEntries = 44;

    struct Options {
        std::uint64_t firstSeed { 1000 };
        std::uint64_t seeds { 20 };
        unsigned noiseHours { 4 };
        std::string jsonFile { "health-bench.json" };
    };

    struct Row {
        std::string deployment;
        std::string service;
        std::string fault;
        std::string policy;
        std::size_t runs { 0 };
        std::size_t detected { 0 };
        double medianSeconds { 0 };
        double p99Seconds { 0 };
        double exposedSeconds { 0 };
        double falseEjections { 0 };
        double targetDays { 0 };
    };

    enum class PolicyKind : std::uint8_t {
        Pooled,
        PerEntry,
        Consecutive,
        Outlier,
    };

    struct Job {
        Service service;
        Scenario scenario;
        PolicyKind kind { PolicyKind::Pooled };
    };

    HealthPolicy soharPolicy()
    {
        HealthPolicy policy;
        policy.falseEjectionCost = 30;
        policy.lateEjectionCost = 1;
        return policy;
    }

    HealthPolicy limaPolicy()
    {
        HealthPolicy policy;
        policy.falseEjectionCost = 1;
        policy.lateEjectionCost = 3;
        policy.healthyErrorShare = 0.006;
        return policy;
    }

    std::vector<Service> services()
    {
        const auto sohar = soharPolicy();
        const auto lima = limaPolicy();
        return {
            { "Sohar", "parts-catalogue", { 6, 3, 2 }, 180, 20, 0.003, 1, sohar },
            { "Sohar", "dereg-ledger", { 15, 3, 2 }, 60, 40, 0.002, 0.5, sohar },
            { "Sohar", "member-settle", { 6, 3, 2 }, 12, 40, 0.001, 0.3, sohar },
            { "Lima", "inventario", { 11, 3, 4 }, 660, 10, 0.005, 1, lima },
            { "Lima", "reservas", { 20, 3, 4 }, 200, 25, 0.003, 0.5, lima },
            { "Lima", "cobranzas", { 6, 3, 4 }, 18, 40, 0.001, 0.3, lima },
        };
    }

    EjectionPolicy makePolicy(const Job& job)
    {
        const auto& pool = job.service.pool;
        const auto floor = job.service.policy.capacityFloor;
        switch (job.kind) {
        case PolicyKind::PerEntry:
            return makePerEntry(pool, job.service.policy);
        case PolicyKind::Consecutive:
            return makeConsecutiveFailures(pool, floor);
        case PolicyKind::Outlier:
            return makeSuccessRateOutlier(pool, floor);
        default:
            return makePooled(pool, job.service.policy);
        }
    }

    std::vector<Job> jobs(const Options& options)
    {
        std::vector<Job> result;
        for (const auto& service : services()) {
            for (const auto fault : { Fault::ManyErrors, Fault::FewErrors, Fault::AllErrors, Fault::Slow, Fault::Flapping, Fault::OneWay, Fault::WholePool, Fault::Noise }) {
                const auto isNoise = fault == Fault::Noise;
                const Scenario scenario { fault, 60s, isNoise ? Duration(std::chrono::hours(options.noiseHours)) : 240s };
                for (const auto kind : { PolicyKind::Pooled, PolicyKind::Consecutive, PolicyKind::Outlier })
                    result.push_back({ service, scenario, kind });
            }
            auto perEntryService = service;
            perEntryService.pool.entries = perEntryEntries;
            result.push_back({ perEntryService, { Fault::ManyErrors, 60s, 240s }, PolicyKind::PerEntry });
        }
        return result;
    }

    double quantile(std::vector<double> values, double share)
    {
        std::sort(values.begin(), values.end());
        const auto index = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
        return values[std::min(index, values.size() - 1)];
    }

    Row runJob(const Job& job, const Options& options)
    {
        Row row { job.service.deployment, job.service.name, toString(job.scenario.fault), makePolicy(job).name, 0, 0, 0, 0, 0, 0, 0 };
        std::vector<double> detections;
        const auto seeds = job.scenario.fault == Fault::Noise ? 1 : options.seeds;
        for (std::uint64_t i = 0; i < seeds; ++i) {
            auto policy = makePolicy(job);
            const auto result = simulate(job.service, job.scenario, policy, options.firstSeed + i);
            detections.push_back(result.detectionSeconds);
            row.detected += result.detected ? 1 : 0;
            row.exposedSeconds += result.exposedSeconds / static_cast<double>(seeds);
            row.falseEjections += result.falseEjections;
            row.targetDays += result.targetDays;
            ++row.runs;
        }
        row.medianSeconds = quantile(detections, 0.5);
        row.p99Seconds = quantile(detections, 0.99);
        return row;
    }

    std::vector<Row> runAll(const std::vector<Job>& all, const Options& options)
    {
        std::vector<Row> rows(all.size());
        std::atomic<std::size_t> next { 0 };
        std::vector<std::thread> workers;
        for (std::size_t i = 0; i < threads; ++i) {
            workers.emplace_back([&] {
                for (auto index = next++; index < all.size(); index = next++)
                    rows[index] = runJob(all[index], options);
            });
        }
        for (auto& worker : workers)
            worker.join();
        return rows;
    }

    void printRow(const Row& row)
    {
        std::printf("%-6s %-16s %-38s %-21s %4zu/%-4zu %8.2f %8.2f %8.2f %8.1f %10.2f\n", row.deployment.c_str(), row.service.c_str(),
            row.fault.c_str(), row.policy.c_str(), row.detected, row.runs, row.medianSeconds, row.p99Seconds, row.exposedSeconds, row.falseEjections,
            row.falseEjections / row.targetDays);
    }

    void writeRow(std::ofstream& file, const Row& row)
    {
        file << "  {\"deployment\": \"" << row.deployment << "\", \"service\": \"" << row.service << "\", \"fault\": \"" << row.fault
             << "\", \"policy\": \"" << row.policy << "\", \"runs\": " << row.runs << ", \"detected\": " << row.detected
             << ", \"detectionMedianSeconds\": " << row.medianSeconds << ", \"detectionP99Seconds\": " << row.p99Seconds
             << ", \"exposedSeconds\": " << row.exposedSeconds << ", \"falseEjections\": " << row.falseEjections
             << ", \"targetDays\": " << row.targetDays << "}";
    }

    void writeJson(const std::string& path, const std::vector<Row>& rows)
    {
        std::ofstream file(path);
        file << "[\n";
        for (std::size_t i = 0; i < rows.size(); ++i) {
            writeRow(file, rows[i]);
            file << (i + 1 < rows.size() ? ",\n" : "\n");
        }
        file << "]\n";
    }

    // Prints the detection time by Wald's approximation (threshold divided by drift), and Lorden's upper bound of the
    // number of false ejections for targets whose error share equals the policy's healthy error share.
    void printTheory(const Service& service)
    {
        const auto thresholds = thresholdsFor(service.policy);
        const auto test = testsFor(service.policy).front();
        const auto perTarget = service.requestsPerSecond / static_cast<double>(service.pool.targets);
        const auto p = test.failingShare;
        const auto drift = p * std::log(p / test.healthyShare) + (1 - p) * std::log((1 - p) / (1 - test.healthyShare));
        std::printf("%-6s %-16s threshold %.2f, detection of %.0f%% errors %.2f s, at most %.3g false ejections a target-day\n",
            service.deployment.c_str(), service.name.c_str(), thresholds.eject, 100 * p, thresholds.eject / drift / perTarget,
            symptomCount * perTarget * 86400 * std::exp(-thresholds.eject));
    }

    int run(const Options& options)
    {
        std::printf("Theory:\n");
        for (const auto& service : services())
            printTheory(service);
        std::printf("\nMeasured, seeds %llu to %llu, %u hours of noise:\n", static_cast<unsigned long long>(options.firstSeed),
            static_cast<unsigned long long>(options.firstSeed + options.seeds - 1), options.noiseHours);
        std::printf("%-6s %-16s %-38s %-21s %9s %8s %8s %8s %8s %10s\n", "", "service", "fault", "policy", "detected", "median s", "p99 s",
            "exposed", "false", "per day");
        const auto rows = runAll(jobs(options), options);
        for (const auto& row : rows)
            printRow(row);
        writeJson(options.jsonFile, rows);
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    flamingowick::health::bench::Options options;
    if (argc > 1)
        options.firstSeed = std::strtoull(argv[1], nullptr, 10);
    if (argc > 2)
        options.seeds = std::max<std::uint64_t>(1, std::strtoull(argv[2], nullptr, 10));
    if (argc > 3)
        options.noiseHours = std::max(1U, static_cast<unsigned>(std::strtoul(argv[3], nullptr, 10)));
    if (argc > 4)
        options.jsonFile = argv[4];
    return flamingowick::health::bench::run(options);
}
