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

    struct Decider {
        HealthState state;
        std::vector<Target> list;
    };

    struct World {
        std::mt19937_64 random;
        TimePoint now { start };
        std::vector<Target> list;
        std::vector<Sickness> sickness;
        HealthPolicy policy;
        TargetLimits limits;
        std::vector<Decider> deciders;
        // One-way cuts: cut[from * deciders + to].
        std::vector<bool> cut;
        std::vector<Message> queue;
        ScheduleResult result;

        std::uint64_t upTo(std::uint64_t bound) { return this->random() % bound; }
        double chance() { return std::uniform_real_distribution<double>(0, 1)(this->random); }
    };

    // Counts capacity anew from the decider's list, without the code under test.
    unsigned capacityOf(const Decider& decider, const std::string& from, TimePoint now, bool withRestrictions)
    {
        unsigned capacity = 0;
        for (const auto& [address, listed] : decider.state.targets) {
            const auto serving = !listed.leaving && now >= listed.warmUntil;
            const auto full = !withRestrictions || standingOf(decider.state, address, from).standing == Standing::Healthy;
            capacity += serving && full ? decider.state.limits.slots : 0;
        }
        return capacity;
    }

    void checkFloor(World& world, const Decider& decider)
    {
        const auto slots = static_cast<double>(decider.state.targets.size() * decider.state.limits.slots);
        const auto floor = static_cast<unsigned>(std::ceil(decider.state.policy.capacityFloor * slots - 1e-9));
        for (const auto* from : { "", "fd0", "fd1", "fd2" }) {
            const auto least = std::min(floor, capacityOf(decider, from, world.now, false));
            if (capacityOf(decider, from, world.now, true) < least)
                world.result.failure = "floor crossed";
        }
    }

    void deliver(World& world, std::size_t to, const Event& event)
    {
        auto& decider = world.deciders[to];
        const auto actions = handle(decider.state, event, world.now);
        world.result.ejections += only<Eject>(actions).size();
        world.result.pathsAvoided += only<PathAvoid>(actions).size();
        world.result.floorHits += only<FloorHit>(actions).size();
        world.result.sharedCauseSeen |= decider.state.sharedCause.on;
        checkFloor(world, decider);
    }

    void showList(World& world, std::size_t to)
    {
        world.deciders[to].list = world.list;
        deliver(world, to, TargetsChanged { world.deciders[to].list });
    }

    World makeWorld(std::uint64_t seed, const Decisions& decisions, std::size_t targets, std::size_t deciders)
    {
        World world;
        world.random.seed(seed);
        world.list = targetList(targets);
        world.sickness.resize(targets);
        world.deciders.resize(deciders);
        world.cut.resize(deciders * deciders);
        for (std::size_t i = 0; i < deciders; ++i) {
            world.deciders[i].state.decisions = decisions;
            deliver(world, i, DocumentChanged { world.policy, world.limits });
            showList(world, i);
        }
        return world;
    }

    void request(World& world, std::size_t by, std::size_t target)
    {
        const auto observer = observerAt(by);
        const auto standing = standingOf(world.deciders[by].state, addressOf(target), observer.failureDomain);
        if (standing.share <= 0 || world.chance() > standing.share)
            return;
        const auto& sick = world.sickness[target];
        auto result = world.chance() < sick.errorShare ? Result::Error : Result::Ok;
        if (sick.cutFrom >= 0 && observer.failureDomain == "fd" + std::to_string(sick.cutFrom))
            result = Result::ConnectFailure;
        const auto latency = std::chrono::milliseconds((sick.slow ? 100 : 20) + world.upTo(10));
        deliver(world, by, Observation { addressOf(target), result, latency, observer, true });
    }

    // A round of requests from every decider, about one to each target.
    void traffic(World& world)
    {
        for (std::size_t by = 0; by < world.deciders.size(); ++by) {
            for (std::size_t target = 0; target < world.sickness.size(); ++target) {
                if (world.upTo(4))
                    request(world, by, target);
            }
        }
    }

    void gossip(World& world, std::size_t from)
    {
        const auto since = world.now - std::chrono::seconds(world.upTo(60));
        const auto summary = makeSummary(world.deciders[from].state, observerAt(from), since);
        const auto count = world.deciders.size();
        for (std::size_t to = 0; to < count; ++to) {
            if (to == from || world.cut[from * count + to] || world.upTo(5) == 0)
                continue;
            for (std::uint64_t copies = 1 + (world.upTo(8) == 0); copies; --copies)
                world.queue.push_back({ to, world.now + std::chrono::milliseconds(world.upTo(3000)), summary });
        }
    }

    void receive(World& world)
    {
        std::shuffle(world.queue.begin(), world.queue.end(), world.random);
        std::vector<Message> later;
        for (auto& message : world.queue) {
            if (message.due > world.now)
                later.push_back(std::move(message));
            else
                deliver(world, message.to, message.summary);
        }
        world.queue = std::move(later);
    }

    void changeList(World& world)
    {
        const auto count = world.sickness.size();
        const auto index = world.upTo(count);
        const auto known = std::find_if(world.list.begin(), world.list.end(), [&](const Target& target) { return target.address == addressOf(index); });
        if (known == world.list.end())
            world.list.push_back(targetList(count)[index]);
        else if (world.upTo(2))
            known->leaving = !known->leaving;
        else if (world.list.size() > 1)
            world.list.erase(known);
    }

    void changeDocument(World& world)
    {
        world.policy.capacityFloor = static_cast<double>(world.upTo(11)) / 10;
        world.policy.falseEjectionCost = 1 + static_cast<double>(world.upTo(50));
        world.policy.baseEjection = std::chrono::seconds(1 + world.upTo(30));
        world.limits.slots = 1 + static_cast<unsigned>(world.upTo(4));
    }

    void changeSickness(World& world)
    {
        if (world.upTo(6) == 0) {
            const auto share = world.chance();
            for (auto& sick : world.sickness)
                sick.errorShare = share;
            return;
        }
        constexpr double shares[] { 0.002, 0.002, 0.3, 1.0 };
        auto& sick = world.sickness[world.upTo(world.sickness.size())];
        sick = { shares[world.upTo(4)], world.upTo(5) == 0, world.upTo(6) ? -1 : static_cast<int>(world.upTo(3)) };
    }

    void excludeCrash(World& world, std::size_t by)
    {
        const auto target = addressOf(world.upTo(world.sickness.size()));
        deliver(world, by, CrashExcluded { target, observerAt(by), world.now });
    }

    void disturb(World& world)
    {
        const auto deciders = world.deciders.size();
        if (world.upTo(6) == 0)
            changeSickness(world);
        if (world.upTo(10) == 0)
            changeList(world);
        if (world.upTo(25) == 0)
            changeDocument(world);
        if (world.upTo(10) == 0)
            world.cut[world.upTo(world.cut.size())].flip();
        if (world.upTo(3) == 0)
            showList(world, world.upTo(deciders));
        if (world.upTo(4) == 0)
            deliver(world, world.upTo(deciders), DocumentChanged { world.policy, world.limits });
        if (world.upTo(8) == 0)
            excludeCrash(world, world.upTo(deciders));
        if (world.upTo(8) == 0)
            deliver(world, world.upTo(deciders), ProbeResult { addressOf(world.upTo(world.sickness.size())), false });
    }

    void tickAll(World& world, Duration step)
    {
        world.now += step;
        for (std::size_t i = 0; i < world.deciders.size(); ++i)
            deliver(world, i, Tick {});
    }

    void exchangeAll(World& world, Duration span)
    {
        const auto count = world.deciders.size();
        for (std::size_t from = 0; from < count; ++from) {
            const auto summary = makeSummary(world.deciders[from].state, observerAt(from), world.now - span);
            for (std::size_t to = 0; to < count; ++to) {
                if (to != from)
                    deliver(world, to, summary);
            }
        }
    }

    std::uint32_t pooledTotal(const Decider& decider)
    {
        std::uint32_t total = 0;
        for (const auto& [address, evidence] : decider.state.evidence) {
            const auto sums = tally(evidence.pooled.coarse, Symptom::Errors, 0);
            total += sums.total + sums.bad;
        }
        return total;
    }

    // Heals the network, shows everyone the same and checks that the views become one.
    void checkAgreement(World& world)
    {
        receive(world);
        for (std::size_t i = 0; i < world.deciders.size(); ++i) {
            showList(world, i);
            deliver(world, i, DocumentChanged { world.policy, world.limits });
        }
        tickAll(world, world.limits.warmUp + std::chrono::seconds(1));
        for (int round = 0; round < 3; ++round)
            exchangeAll(world, std::chrono::minutes(10));
        tickAll(world, Duration(0));
        const auto& first = world.deciders.front();
        for (const auto& decider : world.deciders) {
            if (decider.state.applied != first.state.applied)
                world.result.failure = "deciders disagree on the restrictions";
            if (pooledTotal(decider) != pooledTotal(first))
                world.result.failure = "deciders disagree on the evidence";
        }
    }

    template <typename Body>
    ScheduleResult guarded(World& world, Body body)
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
    return guarded(world, [&] {
        for (int step = 0; step < 90; ++step) {
            disturb(world);
            traffic(world);
            gossip(world, world.upTo(world.deciders.size()));
            receive(world);
            tickAll(world, std::chrono::milliseconds(20 + world.upTo(world.upTo(20) ? 200 : 8000)));
        }
        checkAgreement(world);
    });
}

ScheduleResult runSharedCauseSchedule(std::uint64_t seed, const Decisions& decisions)
{
    std::mt19937_64 sizes(seed);
    auto world = makeWorld(seed, decisions, 3 + sizes() % 13, 1);
    return guarded(world, [&] {
        const auto onset = 30 + world.upTo(30);
        const auto share = 0.1 + 0.9 * world.chance();
        const auto slow = world.upTo(3) == 0;
        const auto pace = std::chrono::milliseconds(20 + world.upTo(300));
        for (std::uint64_t step = 0; step < onset + 80; ++step) {
            for (auto& sick : world.sickness)
                sick = step < onset ? Sickness {} : Sickness { slow ? 0.002 : share, slow, -1 };
            traffic(world);
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
    return guarded(world, [&] {
        world.sickness[world.upTo(world.sickness.size())].cutFrom = static_cast<int>(world.upTo(3));
        for (int step = 0; step < 60; ++step) {
            traffic(world);
            exchangeAll(world, std::chrono::seconds(1));
            tickAll(world, std::chrono::milliseconds(100));
        }
        if (world.result.ejections)
            world.result.failure = "a fault of the path ejected a target everywhere";
        else if (world.result.pathsAvoided == 0)
            world.result.failure = "the path was not avoided";
    });
}

}
