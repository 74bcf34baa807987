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
    constexpr milliseconds targetTime { 20 };
    constexpr seconds restartDelay { 20 };

    // Returns whether the daemon is down at the given time since the disturbance began.
    bool isDead(const Setup& setup, std::size_t node, Duration since)
    {
        bool recent = since < restartDelay;
        switch (setup.disturbance) {
        case Disturbance::KillOne:
            return recent && node == 0;
        case Disturbance::KillTwo:
            return recent && node < 2;
        case Disturbance::KillFailureDomain:
            return recent && node % failureDomains == 0;
        default:
            return false;
        }
    }

    bool isStoreDown(const Setup& setup, Duration since)
    {
        bool outage = setup.disturbance == Disturbance::StoreOutage || setup.disturbance == Disturbance::StoreOutageWithDeath;
        return outage && since < std::chrono::hours(2);
    }

    // The batches written to the store: at most one per daemon and commit interval, which holds intents and results.
    struct Batches {
        std::set<std::pair<std::int64_t, std::size_t>> written;
        std::vector<std::uint64_t> perSecond;

        Duration commitAt(Duration time, std::size_t node)
        {
            std::int64_t slot = time / Duration(commitInterval) + 1;
            Duration commit = slot * Duration(commitInterval);
            auto second = static_cast<std::size_t>(commit / Duration(seconds(1)));
            this->perSecond.resize(std::max(this->perSecond.size(), second + 1));
            if (this->written.insert({ slot, node }).second)
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
        while (isDead(setup, node, since))
            node = random() % nodeCount;
        // Requests arrive at random times within the commit interval.
        Duration arrival = since + Duration(random() % static_cast<std::uint64_t>(step.count()));
        ++measured.keys;
        if (isStoreDown(setup, arrival)) {
            ++measured.refusedFirst;
            ++measured.neverAnswered;
            continue;
        }
        Duration commit = batches.commitAt(arrival, node);
        batches.commitAt(commit + storeLatency + targetTime, node);
        measured.addedMs.push_back(std::chrono::duration<double, std::milli>(commit - arrival + storeLatency).count());
    }
    measured.storeWrites = batches.written.size();
    for (std::uint64_t writes : batches.perSecond)
        measured.peakWritesPerSecond = std::max(measured.peakWritesPerSecond, writes);
    return measured;
}

}
