#include "Journal.h"

#include <algorithm>
#include <set>

namespace flamingowick::keys::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr std::size_t nodeCount = 44;
    constexpr std::size_t failureDomains = 3;
    constexpr milliseconds commitInterval { 100 };
    constexpr milliseconds storeLatency { 5 };
    constexpr milliseconds targetLatency { 20 };
    constexpr seconds restartDelay { 20 };

    // Returns whether the daemon is down at the given time since the disturbance began.
    bool isDown(const Setup& setup, std::size_t node, Duration since)
    {
        bool isBeforeRestart = since < restartDelay;
        switch (setup.disturbance) {
        case Disturbance::KillOne:
            return isBeforeRestart && node == 0;
        case Disturbance::KillTwo:
            return isBeforeRestart && node < 2;
        case Disturbance::KillFailureDomain:
            return isBeforeRestart && node % failureDomains == 0;
        default:
            return false;
        }
    }

    bool isStoreDown(const Setup& setup, Duration since)
    {
        bool hasOutage = setup.disturbance == Disturbance::StoreOutage || setup.disturbance == Disturbance::StoreOutageWithDeath;
        return hasOutage && since < std::chrono::hours(2);
    }

    // The batches committed to the store: at most one per daemon and commit interval, which holds intents and results.
    struct Batches {
        std::set<std::pair<std::int64_t, std::size_t>> committed;
        std::vector<std::uint64_t> perSecond;

        // Adds a write to the next batch of the daemon and returns the time of its commit.
        Duration addToBatch(Duration time, std::size_t node)
        {
            std::int64_t interval = time / Duration(commitInterval) + 1;
            Duration commit = interval * Duration(commitInterval);
            auto second = static_cast<std::size_t>(commit / Duration(seconds(1)));
            this->perSecond.resize(std::max(this->perSecond.size(), second + 1));
            if (this->committed.insert({ interval, node }).second)
                ++this->perSecond[second];
            return commit;
        }
    };

}

Measurements runJournal(const Setup& setup)
{
    std::mt19937_64 random(setup.seed);
    Measurements measured;
    Batches batches;
    Duration step = Duration(seconds(1)) / setup.requestsPerSecond;
    for (Duration since(0); since < setup.length; since += step) {
        std::size_t node = random() % nodeCount;
        while (isDown(setup, node, since))
            node = random() % nodeCount;
        // Requests arrive at random times within the commit interval.
        Duration arrival = since + Duration(random() % static_cast<std::uint64_t>(step.count()));
        ++measured.keys;
        if (isStoreDown(setup, arrival)) {
            ++measured.refusedFirst;
            ++measured.neverAnswered;
            continue;
        }
        Duration commit = batches.addToBatch(arrival, node);
        batches.addToBatch(commit + storeLatency + targetLatency, node);
        measured.addedMs.push_back(std::chrono::duration<double, std::milli>(commit - arrival + storeLatency).count());
    }
    measured.storeWrites = batches.committed.size();
    for (std::uint64_t writes : batches.perSecond)
        measured.peakWritesPerSecond = std::max(measured.peakWritesPerSecond, writes);
    return measured;
}

}
