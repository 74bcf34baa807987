#include "Schedule.h"

#include "flamingowick/model/Error.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::health::test {

namespace {

    struct Message {
        std::size_t to;
        TimePoint due;
        PooledSummary summary;
    };

    struct Daemon {
        HealthState state;
        std::vector<Target> list;
    };

    struct World {
        std::mt19937_64 random;
        TimePoint now { start };
        std::vector<Target> list;
        std::vector<TargetFault> faults;
        HealthPolicy policy;
        TargetLimits limits;
        std::vector<Daemon> daemons;
        // True for each one-way link that loses all messages, at index from * daemons.size() + to.
        std::vector<bool> linkDown;
        std::vector<Message> inTransit;
        ScheduleResult result;

        std::uint64_t randomBelow(std::uint64_t bound) { return this->random() % bound; }
        double randomShare() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    };

    // Computes the capacity from the daemon's target list, independently of the code under test.
    unsigned capacityOf(const Daemon& daemon, const std::string& from, TimePoint now, bool withRestrictions)
    {
        unsigned capacity = 0;
        for (const auto& [address, listed] : daemon.state.targets) {
            const auto serving = !listed.leaving && now >= listed.warmUntil;
            const auto full = !withRestrictions || standingOf(daemon.state, address, from).standing == Standing::Healthy;
            capacity += serving && full ? daemon.state.limits.slots : 0;
        }
        return capacity;
    }

    void checkFloor(World& world, const Daemon& daemon)
    {
        const auto slots = static_cast<double>(daemon.state.targets.size() * daemon.state.limits.slots);
        const auto floor = static_cast<unsigned>(std::ceil(daemon.state.policy.capacityFloor * slots - 1e-9));
        for (const auto* from : { "", "fd0", "fd1", "fd2" }) {
            const auto minCapacity = std::min(floor, capacityOf(daemon, from, world.now, false));
            if (capacityOf(daemon, from, world.now, true) < minCapacity)
                world.result.failure = "healthy capacity fell below the floor";
        }
    }

    void deliver(World& world, std::size_t to, const Event& event)
    {
        auto& daemon = world.daemons[to];
        const auto actions = handle(daemon.state, event, world.now);
        world.result.ejections += actionsOfType<Eject>(actions).size();
        world.result.pathsAvoided += actionsOfType<PathAvoid>(actions).size();
        world.result.floorHits += actionsOfType<FloorHit>(actions).size();
        world.result.sharedCauseSeen |= daemon.state.sharedCause.on;
        checkFloor(world, daemon);
    }

    void deliverTargetList(World& world, std::size_t to)
    {
        world.daemons[to].list = world.list;
        deliver(world, to, TargetsChanged { world.daemons[to].list });
    }

    World makeWorld(std::uint64_t seed, const Decisions& decisions, std::size_t targets, std::size_t daemonCount)
    {
        World world;
        world.random.seed(seed);
        world.list = targetList(targets);
        world.faults.resize(targets);
        world.daemons.resize(daemonCount);
        world.linkDown.resize(daemonCount * daemonCount);
        for (std::size_t i = 0; i < daemonCount; ++i) {
            world.daemons[i].state.decisions = decisions;
            deliver(world, i, DocumentChanged { world.policy, world.limits });
            deliverTargetList(world, i);
        }
        return world;
    }

    void sendRequest(World& world, std::size_t by, std::size_t target)
    {
        const auto observer = observerAt(by);
        const auto standing = standingOf(world.daemons[by].state, addressOf(target), observer.failureDomain);
        if (standing.share <= 0 || world.randomShare() > standing.share)
            return;
        const auto& fault = world.faults[target];
        auto result = world.randomShare() < fault.errorShare ? Result::Error : Result::Ok;
        if (fault.unreachableFrom >= 0 && observer.failureDomain == "fd" + std::to_string(fault.unreachableFrom))
            result = Result::ConnectFailure;
        const auto latency = std::chrono::milliseconds((fault.slow ? 100 : 20) + world.randomBelow(10));
        deliver(world, by, Observation { addressOf(target), result, latency, observer, true });
    }

    // Sends a request from every daemon to every target with a probability of 3/4, reduced by the target's share.
    void sendRequests(World& world)
    {
        for (std::size_t by = 0; by < world.daemons.size(); ++by) {
            for (std::size_t target = 0; target < world.faults.size(); ++target) {
                if (world.randomBelow(4))
                    sendRequest(world, by, target);
            }
        }
    }

    void sendSummary(World& world, std::size_t from)
    {
        const auto since = world.now - std::chrono::seconds(world.randomBelow(60));
        const auto summary = makeSummary(world.daemons[from].state, observerAt(from), since);
        const auto count = world.daemons.size();
        for (std::size_t to = 0; to < count; ++to) {
            if (to == from || world.linkDown[from * count + to] || world.randomBelow(5) == 0)
                continue;
            for (std::uint64_t copies = 1 + (world.randomBelow(8) == 0); copies; --copies)
                world.inTransit.push_back({ to, world.now + std::chrono::milliseconds(world.randomBelow(3000)), summary });
        }
    }

    void deliverDueMessages(World& world)
    {
        std::shuffle(world.inTransit.begin(), world.inTransit.end(), world.random);
        std::vector<Message> later;
        for (auto& message : world.inTransit) {
            if (message.due > world.now)
                later.push_back(std::move(message));
            else
                deliver(world, message.to, message.summary);
        }
        world.inTransit = std::move(later);
    }

    void changeTargetList(World& world)
    {
        const auto count = world.faults.size();
        const auto index = world.randomBelow(count);
        const auto known = std::find_if(world.list.begin(), world.list.end(), [&](const Target& target) { return target.address == addressOf(index); });
        if (known == world.list.end())
            world.list.push_back(targetList(count)[index]);
        else if (world.randomBelow(2))
            known->leaving = !known->leaving;
        else if (world.list.size() > 1)
            world.list.erase(known);
    }

    void changeDocument(World& world)
    {
        world.policy.capacityFloor = static_cast<double>(world.randomBelow(11)) / 10;
        world.policy.falseEjectionCost = 1 + static_cast<double>(world.randomBelow(50));
        world.policy.baseEjection = std::chrono::seconds(1 + world.randomBelow(30));
        world.limits.slots = 1 + static_cast<unsigned>(world.randomBelow(4));
    }

    void changeFaults(World& world)
    {
        if (world.randomBelow(6) == 0) {
            const auto share = world.randomShare();
            for (auto& fault : world.faults)
                fault.errorShare = share;
            return;
        }
        constexpr double shares[] { 0.002, 0.002, 0.3, 1.0 };
        auto& fault = world.faults[world.randomBelow(world.faults.size())];
        fault = { shares[world.randomBelow(4)], world.randomBelow(5) == 0, world.randomBelow(6) ? -1 : static_cast<int>(world.randomBelow(3)) };
    }

    void excludeCrash(World& world, std::size_t by)
    {
        const auto target = addressOf(world.randomBelow(world.faults.size()));
        deliver(world, by, CrashExcluded { target, observerAt(by), world.now });
    }

    void injectChanges(World& world)
    {
        const auto daemonCount = world.daemons.size();
        if (world.randomBelow(6) == 0)
            changeFaults(world);
        if (world.randomBelow(10) == 0)
            changeTargetList(world);
        if (world.randomBelow(25) == 0)
            changeDocument(world);
        if (world.randomBelow(10) == 0)
            world.linkDown[world.randomBelow(world.linkDown.size())].flip();
        if (world.randomBelow(3) == 0)
            deliverTargetList(world, world.randomBelow(daemonCount));
        if (world.randomBelow(4) == 0)
            deliver(world, world.randomBelow(daemonCount), DocumentChanged { world.policy, world.limits });
        if (world.randomBelow(8) == 0)
            excludeCrash(world, world.randomBelow(daemonCount));
        if (world.randomBelow(8) == 0)
            deliver(world, world.randomBelow(daemonCount), ProbeResult { addressOf(world.randomBelow(world.faults.size())), false });
    }

    void tickAll(World& world, Duration step)
    {
        world.now += step;
        for (std::size_t i = 0; i < world.daemons.size(); ++i)
            deliver(world, i, Tick {});
    }

    void exchangeSummaries(World& world, Duration span)
    {
        const auto count = world.daemons.size();
        for (std::size_t from = 0; from < count; ++from) {
            const auto summary = makeSummary(world.daemons[from].state, observerAt(from), world.now - span);
            for (std::size_t to = 0; to < count; ++to) {
                if (to != from)
                    deliver(world, to, summary);
            }
        }
    }

    std::uint32_t pooledTotal(const Daemon& daemon)
    {
        std::uint32_t total = 0;
        for (const auto& [address, evidence] : daemon.state.evidence) {
            const auto sums = tally(evidence.pooled.coarse, Symptom::Errors, 0);
            total += sums.total + sums.bad;
        }
        return total;
    }

    // Delivers the due messages and the same target list and document to every daemon, exchanges summaries without
    // loss, and checks that the daemons reach the same restrictions and evidence.
    void checkConvergence(World& world)
    {
        deliverDueMessages(world);
        for (std::size_t i = 0; i < world.daemons.size(); ++i) {
            deliverTargetList(world, i);
            deliver(world, i, DocumentChanged { world.policy, world.limits });
        }
        tickAll(world, world.limits.warmUp + std::chrono::seconds(1));
        for (int round = 0; round < 3; ++round)
            exchangeSummaries(world, std::chrono::minutes(10));
        tickAll(world, Duration(0));
        const auto& first = world.daemons.front();
        for (const auto& daemon : world.daemons) {
            if (daemon.state.applied != first.state.applied)
                world.result.failure = "daemons disagree on the restrictions";
            if (pooledTotal(daemon) != pooledTotal(first))
                world.result.failure = "daemons disagree on the evidence";
        }
    }

    template <typename Body>
    ScheduleResult catchInvariantViolation(World& world, Body body)
    {
        try {
            body();
        } catch (const InvariantViolation& violation) {
            world.result.failure = violation.what();
        }
        return world.result;
    }

}

ScheduleResult runMixedSchedule(std::uint64_t seed, const Decisions& decisions)
{
    std::mt19937_64 sizes(seed);
    auto world = makeWorld(seed, decisions, 2 + sizes() % 11, 2 + sizes() % 3);
    return catchInvariantViolation(world, [&] {
        for (int step = 0; step < 90; ++step) {
            injectChanges(world);
            sendRequests(world);
            sendSummary(world, world.randomBelow(world.daemons.size()));
            deliverDueMessages(world);
            tickAll(world, std::chrono::milliseconds(20 + world.randomBelow(world.randomBelow(20) ? 200 : 8000)));
        }
        checkConvergence(world);
    });
}

ScheduleResult runSharedCauseSchedule(std::uint64_t seed, const Decisions& decisions)
{
    std::mt19937_64 sizes(seed);
    auto world = makeWorld(seed, decisions, 3 + sizes() % 13, 1);
    return catchInvariantViolation(world, [&] {
        const auto onset = 30 + world.randomBelow(30);
        const auto share = 0.1 + 0.9 * world.randomShare();
        const auto slow = world.randomBelow(3) == 0;
        const auto pace = std::chrono::milliseconds(20 + world.randomBelow(300));
        for (std::uint64_t step = 0; step < onset + 80; ++step) {
            for (auto& fault : world.faults)
                fault = step < onset ? TargetFault {} : TargetFault { slow ? 0.002 : share, slow, -1 };
            sendRequests(world);
            tickAll(world, pace);
        }
        if (world.result.ejections)
            world.result.failure = "a shared cause ejected a target";
    });
}

ScheduleResult runPathSchedule(std::uint64_t seed, const Decisions& decisions)
{
    std::mt19937_64 sizes(seed);
    auto world = makeWorld(seed, decisions, 3 + sizes() % 10, 3);
    return catchInvariantViolation(world, [&] {
        world.faults[world.randomBelow(world.faults.size())].unreachableFrom = static_cast<int>(world.randomBelow(3));
        for (int step = 0; step < 60; ++step) {
            sendRequests(world);
            exchangeSummaries(world, std::chrono::seconds(1));
            tickAll(world, std::chrono::milliseconds(100));
        }
        if (world.result.ejections)
            world.result.failure = "a path fault ejected a target everywhere";
        else if (world.result.pathsAvoided == 0)
            world.result.failure = "the path was not avoided";
    });
}

}
