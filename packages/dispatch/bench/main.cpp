#include "Systems.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>

// Benchmarks the dispatcher against entries that choose targets without one, and compares the fairness policies. Prints
// tables; writes the same figures as JSON to the file named by the first argument.

namespace {

using namespace flamingowick;
using namespace flamingowick::dispatch;
using namespace flamingowick::dispatch::bench;
using nlohmann::json;

constexpr double meanServiceSeconds = 0.04;
constexpr unsigned seeds = 3;

const Fairness virtualTime { "virtual time", rankByVirtualTime, displaceLongest, false };
const Fairness fairnessKinds[] = {
    { "arrival", rankByArrival, displaceNewest, false },
    virtualTime,
    { "minimum share", rankByMinimumShare, displaceLongest, false },
    { "minimum share, revoking", rankByMinimumShare, displaceLongest, true },
};

struct Site {
    std::string name;
    unsigned targets;
    unsigned slots;
    Duration hop;
};

const Site sites[] = {
    { "Sohar parts-catalogue", 6, 2, std::chrono::microseconds(1000) },
    { "Lima reservas", 20, 4, std::chrono::microseconds(500) },
};

double capacityOf(const Site& site)
{
    return site.targets * site.slots / meanServiceSeconds;
}

Scenario scenarioOf(const Site& site, std::uint64_t seed)
{
    Scenario scenario;
    scenario.service = site.name;
    scenario.targets = site.targets;
    scenario.slots = site.slots;
    scenario.hop = site.hop;
    scenario.seed = seed;
    return scenario;
}

double percentile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void mergeInto(Measurement& sum, const Measurement& one)
{
    sum.groups.resize(one.groups.size());
    for (std::size_t group = 0; group < one.groups.size(); ++group) {
        GroupResult& into = sum.groups[group];
        const GroupResult& from = one.groups[group];
        into.name = from.name;
        into.calls += from.calls;
        into.succeeded += from.succeeded;
        into.addedMilliseconds.insert(into.addedMilliseconds.end(), from.addedMilliseconds.begin(), from.addedMilliseconds.end());
        for (const auto& [caller, counts] : from.byCaller) {
            into.byCaller[caller].first += counts.first;
            into.byCaller[caller].second += counts.second;
        }
    }
    sum.sends += one.sends;
    sum.attempts += one.attempts;
    sum.overruns += one.overruns;
    sum.revocations += one.revocations;
    sum.connections = std::max(sum.connections, one.connections);
    sum.wasted += one.wasted;
}

template <typename Measure>
Measurement overSeeds(const Site& site, Scenario scenario, Measure measure)
{
    Measurement sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        scenario.seed = seed;
        scenario.service = site.name;
        mergeInto(sum, measure(scenario));
    }
    return sum;
}

json reportLoad(const Scenario& scenario, std::string_view system, double load, Measurement measured)
{
    GroupResult& all = measured.groups.front();
    double length = seconds(scenario.length) * seeds;
    json row = {
        { "service", scenario.service },
        { "system", system },
        { "load", load },
        { "resends", scenario.resends },
        { "retryBudget", scenario.retryBudget },
        { "offeredPerSecond", static_cast<double>(all.calls) / length },
        { "goodputPerSecond", static_cast<double>(all.succeeded) / length },
        { "attemptsPerSecond", static_cast<double>(measured.attempts) / length },
        { "overrunsPerSecond", static_cast<double>(measured.overruns) / length },
        { "addedP50Milliseconds", percentile(all.addedMilliseconds, 0.5) },
        { "addedP99Milliseconds", percentile(all.addedMilliseconds, 0.99) },
        { "connectionsPerTarget", measured.connections },
    };
    std::printf("%-22s %-10s %4.1f %7u %-6s %9.1f %9.1f %9.1f %9.1f %8.1f %8.1f %6u\n", scenario.service.c_str(),
        std::string(system).c_str(), load, scenario.resends, scenario.retryBudget ? "yes" : "no",
        row["offeredPerSecond"].get<double>(), row["goodputPerSecond"].get<double>(),
        row["attemptsPerSecond"].get<double>(), row["overrunsPerSecond"].get<double>(),
        row["addedP50Milliseconds"].get<double>(), row["addedP99Milliseconds"].get<double>(), measured.connections);
    return row;
}

void measureLoads(json& rows, unsigned resends)
{
    for (const Site& site : sites) {
        for (double load : { 0.5, 1.0, 2.0, 4.0 }) {
            for (bool budget : { true, false }) {
                Scenario scenario = scenarioOf(site, 1);
                scenario.resends = resends;
                scenario.retryBudget = budget;
                scenario.groups = { { "caller", 50, load * capacityOf(site) / 50, std::chrono::milliseconds(40) } };
                auto dispatcher = [](const Scenario& one) { return measureDispatcher(one, virtualTime); };
                rows.push_back(reportLoad(scenario, "dispatcher", load, overSeeds(site, scenario, dispatcher)));
                rows.push_back(reportLoad(scenario, "entries", load, overSeeds(site, scenario, measureEntries)));
            }
        }
    }
}

double worstShare(const GroupResult& group)
{
    double worst = 1;
    for (const auto& [caller, counts] : group.byCaller)
        worst = std::min(worst, static_cast<double>(counts.second) / static_cast<double>(std::max<std::uint64_t>(1, counts.first)));
    return worst;
}

json reportFairness(const Scenario& scenario, const Fairness& fairness, std::string_view greedyKind, Measurement measured)
{
    GroupResult& modest = measured.groups[0];
    const GroupResult& greedy = measured.groups[1];
    double length = seconds(scenario.length) * seeds;
    json row = {
        { "service", scenario.service },
        { "greedyCaller", greedyKind },
        { "fairness", fairness.name },
        { "modestOfferedPerSecond", static_cast<double>(modest.calls) / length },
        { "modestGoodputPerSecond", static_cast<double>(modest.succeeded) / length },
        { "worstModestShare", worstShare(modest) },
        { "modestAddedP50Milliseconds", percentile(modest.addedMilliseconds, 0.5) },
        { "modestAddedP99Milliseconds", percentile(modest.addedMilliseconds, 0.99) },
        { "greedyGoodputPerSecond", static_cast<double>(greedy.succeeded) / length },
        { "revocationsPerSecond", static_cast<double>(measured.revocations) / length },
        { "wastedSlots", seconds(measured.wasted) / length },
    };
    std::printf("%-22s %-6s %-24s %9.1f %9.1f %7.3f %8.1f %8.1f %9.1f %8.1f %7.2f\n", scenario.service.c_str(),
        std::string(greedyKind).c_str(), fairness.name.c_str(), row["modestOfferedPerSecond"].get<double>(),
        row["modestGoodputPerSecond"].get<double>(), row["worstModestShare"].get<double>(),
        row["modestAddedP50Milliseconds"].get<double>(), row["modestAddedP99Milliseconds"].get<double>(),
        row["greedyGoodputPerSecond"].get<double>(), row["revocationsPerSecond"].get<double>(),
        row["wastedSlots"].get<double>());
    return row;
}

void measureFairness(json& rows)
{
    for (const Site& site : sites) {
        for (bool longRequests : { false, true }) {
            auto greedyService = longRequests ? std::chrono::milliseconds(400) : std::chrono::milliseconds(40);
            double greedyRate = capacityOf(site) * (longRequests ? 0.3 : 3.0);
            Scenario scenario = scenarioOf(site, 1);
            scenario.errorShare = 0;
            scenario.faultShare = 0;
            scenario.groups = {
                { "modest", 20, 0.5 * capacityOf(site) / 20, std::chrono::milliseconds(40) },
                { "greedy", 1, greedyRate, greedyService },
            };
            for (const Fairness& fairness : fairnessKinds) {
                auto measure = [&](const Scenario& one) { return measureDispatcher(one, fairness); };
                rows.push_back(reportFairness(scenario, fairness, longRequests ? "long" : "many", overSeeds(site, scenario, measure)));
            }
        }
    }
}

// Returns the elapsed time per request spent in the dispatcher, for its submission and its answer, while the queue is
// half full and each queued request belongs to a different caller.
double microsecondsPerRequest(unsigned targets, unsigned waiting)
{
    using Clock = std::chrono::steady_clock;
    constexpr unsigned measuredRequests = 20000;
    ServiceDocument document;
    document.queue.maxWaiting = 2 * waiting;
    document.queue.maxWait = std::chrono::hours(1);
    TimePoint now { std::chrono::hours(1) };
    DispatcherState state = makeDispatcher(document, "a", 1, now);
    std::vector<Target> list;
    for (unsigned target = 0; target < targets; ++target)
        list.push_back({ "target" + std::to_string(target), "a", false });
    handle(state, TargetsChanged { list }, now);
    std::deque<StartAttempt> running;
    auto submit = [&](std::uint64_t counter) {
        Ticket ticket { { { "vm", 1 }, counter }, "caller" + std::to_string(counter), true, now + std::chrono::hours(2), counter, {}, "a" };
        for (const Action& action : handle(state, Submit { ticket }, now)) {
            if (const auto* start = std::get_if<StartAttempt>(&action))
                running.push_back(*start);
        }
    };
    std::uint64_t counter = 0;
    while (counter < targets * document.targets.slots + waiting)
        submit(++counter);
    auto begin = Clock::now();
    for (unsigned request = 0; request < measuredRequests; ++request) {
        now += std::chrono::microseconds(100);
        StartAttempt ended = running.front();
        running.pop_front();
        for (const Action& action : handle(state, TargetAnswered { ended.id, ended.target, { AttemptKind::Answered, 200 } }, now)) {
            if (const auto* start = std::get_if<StartAttempt>(&action))
                running.push_back(*start);
        }
        submit(++counter);
    }
    return std::chrono::duration<double, std::micro>(Clock::now() - begin).count() / measuredRequests;
}

void measureCost(json& rows)
{
    for (unsigned targets : { 6U, 20U, 100U, 1000U }) {
        for (unsigned waiting : { 0U, 50U, 500U }) {
            double cost = microsecondsPerRequest(targets, waiting);
            std::printf("%7u %8u %8.2f\n", targets, waiting, cost);
            rows.push_back({ { "targets", targets }, { "waiting", waiting }, { "microsecondsPerRequest", cost } });
        }
    }
}

}

int main(int argc, char** argv)
{
    json report;
    std::printf("%-22s %-10s %4s %7s %-6s %9s %9s %9s %9s %8s %8s %6s\n", "service", "system", "load", "resends", "budget",
        "offered/s", "goodput/s", "tries/s", "overrun/s", "p50 ms", "p99 ms", "conns");
    measureLoads(report["load"], 0);
    measureLoads(report["retryStorm"], 3);
    std::printf("\n%-22s %-6s %-24s %9s %9s %7s %8s %8s %9s %8s %7s\n", "service", "greedy", "fairness", "modest/s",
        "goodput/s", "worst", "p50 ms", "p99 ms", "greedy/s", "revoke/s", "wasted");
    measureFairness(report["fairness"]);
    std::printf("\n%7s %8s %8s\n", "targets", "waiting", "us/req");
    measureCost(report["cost"]);
    if (argc > 1)
        std::ofstream(argv[1]) << report.dump(2) << '\n';
    return 0;
}
