#include "Systems.h"

#include <algorithm>

namespace flamingowick::dispatch::bench {

namespace {

    constexpr unsigned entryCount = 44;
    constexpr Duration gossipInterval = std::chrono::milliseconds(200);
    constexpr Duration drainTime = std::chrono::seconds(10);

    struct Entry {
        std::vector<unsigned> own;
        // Attempts of the other entries in flight at each target, as of the last exchange.
        std::vector<unsigned> others;
        RetryBudget retries;
    };

    struct System {
        Simulation simulation;
        std::vector<Entry> entries;
        ServiceDocument document;
    };

    void exchangeLoads(System& system)
    {
        for (unsigned target = 0; target < system.simulation.scenario.targets; ++target) {
            unsigned load = 0;
            for (const Entry& entry : system.entries)
                load += entry.own[target];
            for (Entry& entry : system.entries)
                entry.others[target] = load - entry.own[target];
        }
        after(system.simulation.loop, gossipInterval, [&system] { exchangeLoads(system); });
    }

    unsigned chooseTarget(System& system, const Entry& entry, const std::vector<unsigned>& tried)
    {
        std::vector<std::string> names;
        std::vector<Candidate> candidates;
        std::vector<unsigned> targets;
        for (unsigned target = 0; target < system.simulation.scenario.targets; ++target) {
            if (std::find(tried.begin(), tried.end(), target) != tried.end())
                continue;
            candidates.push_back({ {}, {}, entry.own[target] + entry.others[target], system.simulation.scenario.slots });
            targets.push_back(target);
        }
        return targets[choosePowerOfTwo(candidates, {}, system.simulation.random())];
    }

    void startAttempt(System& system, unsigned vm, const Call& call, std::vector<unsigned> tried)
    {
        Entry& entry = system.entries[vm];
        unsigned target = chooseTarget(system, entry, tried);
        tried.push_back(target);
        ++entry.own[target];
        attempt(system.simulation, vm, target, call, [&system, vm, call, target, tried](AttemptResult result) {
            Entry& own = system.entries[vm];
            --own.own[target];
            accrueRetries(own.retries, system.document.retries, system.simulation.loop.now);
            bool repeat = mayRepeat(true, result) && tried.size() < system.document.retries.maxAttempts && takeRetry(own.retries);
            if (repeat) {
                startAttempt(system, vm, call, tried);
                return;
            }
            Duration added = system.simulation.loop.now - call.sent - call.service;
            concludeSend(system.simulation, call, result.status == 200, added);
        });
    }

    void handleSend(System& system, const Call& call)
    {
        auto vm = static_cast<unsigned>(system.simulation.random() % entryCount);
        recordFirstAttempt(system.entries[vm].retries, system.document.retries);
        startAttempt(system, vm, call, {});
    }

}

Measurement measureEntries(const Scenario& scenario)
{
    System system;
    system.simulation.scenario = scenario;
    system.document = documentOf(scenario);
    TimePoint begin = system.simulation.loop.now;
    Entry initial { std::vector<unsigned>(scenario.targets), std::vector<unsigned>(scenario.targets), {} };
    initial.retries.accruedAt = begin;
    applyGrant(initial.retries, { 1.0 / entryCount, TimePoint::max() });
    system.entries.assign(entryCount, initial);
    system.simulation.send = [&system](const Call& call) { handleSend(system, call); };
    startCallers(system.simulation);
    exchangeLoads(system);
    runUntil(system.simulation.loop, begin + scenario.length + drainTime);
    return std::move(system.simulation.measured);
}

}
