#include "World.h"

#include "flamingowick/model/Error.h"

#include <cstdio>
#include <cstdlib>

namespace flamingowick::dispatch {

namespace {

    using std::chrono::milliseconds;

    struct World {
        std::mt19937_64 random;
        DaemonFaults faults;
        DispatcherState state;
        Ledger ledger;
        TimePoint now;
        std::multimap<TimePoint, std::function<void()>> scheduledEvents;
        std::vector<Target> actualTargets;
        std::vector<std::vector<Target>> history;
        std::uint64_t nextStart { 1 };
        std::uint64_t counter { 0 };
        bool versioned { false };
    };

    int pick(World& world, int from, int to)
    {
        return std::uniform_int_distribution(from, to)(world.random);
    }

    bool chance(World& world, int percent)
    {
        return pick(world, 1, 100) <= percent;
    }

    void scheduleWithin(World& world, int from, int to, std::function<void()> callback)
    {
        world.scheduledEvents.emplace(world.now + milliseconds(pick(world, from, to)), std::move(callback));
    }

    void perform(World& world, const Action& action);

    void deliver(World& world, const Event& event, bool reallyRan = false)
    {
        recordEvent(world.ledger, event, reallyRan, world.now);
        std::vector<Action> actions = handle(world.state, event, world.now);
        for (const Action& action : actions) {
            checkAction(world.ledger, action, world.now);
            bool final = std::holds_alternative<Finish>(action) || std::holds_alternative<PassAnswer>(action);
            if (world.faults.duplicateAnswers && final)
                checkAction(world.ledger, action, world.now);
            perform(world, action);
        }
        world.ledger.require(world.state.queue.waiting <= world.state.document.queue.maxWaiting, "the queue is too long");
    }

    void report(World& world, const RequestId& id, const TargetAddress& target, AttemptResult result, bool reallyRan)
    {
        deliver(world, TargetAnswered { id, target, result }, reallyRan);
        if (chance(world, 5))
            deliver(world, TargetAnswered { id, target, { AttemptKind::Answered, 200 } });
    }

    AttemptResult drawResult(World& world, bool crashing)
    {
        int draw = pick(world, 1, 100);
        if (draw <= 6)
            return { AttemptKind::ConnectFailed, 0 };
        if (draw <= 12)
            return { AttemptKind::Shed, 503 };
        if (draw == 13)
            return { AttemptKind::Drained, 503 };
        if (crashing || draw <= 16)
            return { AttemptKind::Crashed, 0 };
        if (draw <= 22)
            return { AttemptKind::MaybeRun, 0 };
        if (draw <= 26)
            return { AttemptKind::TimedOut, 0 };
        return { AttemptKind::Answered, draw <= 34 ? 503U : 200U };
    }

    bool drawRan(World& world, AttemptKind kind)
    {
        if (kind == AttemptKind::Answered)
            return true;
        bool refused = kind == AttemptKind::ConnectFailed || kind == AttemptKind::Shed || kind == AttemptKind::Drained;
        return !refused && chance(world, 50);
    }

    void serve(World& world, const StartAttempt& start)
    {
        bool hangs = chance(world, 6);
        if (hangs)
            return;
        bool crashing = world.ledger.crashingDigests.contains(world.ledger.requests[start.id].ticket.digest);
        AttemptResult result = drawResult(world, crashing);
        scheduleWithin(world, 1, 60, [&world, start, result] {
            if (world.ledger.requests[start.id].running == start.target)
                report(world, start.id, start.target, result, drawRan(world, result.kind));
        });
    }

    void perform(World& world, const Action& action)
    {
        if (const auto* start = std::get_if<StartAttempt>(&action))
            serve(world, *start);
        if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
            scheduleWithin(world, 0, 20, [&world, cancel = *cancel] {
                if (world.ledger.requests[cancel.id].running == cancel.target)
                    report(world, cancel.id, cancel.target, { AttemptKind::Cancelled, 0 }, chance(world, 50));
            });
        }
    }

    void submit(World& world)
    {
        Ticket ticket;
        ticket.id = { { "vm", 1 }, ++world.counter };
        ticket.caller = "caller" + std::to_string(pick(world, 0, 4));
        ticket.idempotent = chance(world, 60);
        ticket.deadline = world.now + milliseconds(pick(world, 0, 400));
        bool crashing = chance(world, 10);
        bool popular = chance(world, 20);
        std::uint64_t ordinary = popular ? static_cast<std::uint64_t>(pick(world, 3, 40)) : 1000 + world.counter;
        ticket.digest = crashing ? static_cast<std::uint64_t>(pick(world, 1, 2)) : ordinary;
        if (chance(world, 30))
            ticket.keyDigest = 1000000 + ticket.digest;
        ticket.originDomain = "domain" + std::to_string(pick(world, 0, 2));
        deliver(world, Submit { ticket });
        if (chance(world, 5))
            scheduleWithin(world, 0, 500, [&world, ticket] { deliver(world, Submit { ticket }); });
        if (chance(world, 8))
            scheduleWithin(world, 0, 80, [&world, ticket] { deliver(world, Cancelled { ticket.id }); });
    }

    void deliverList(World& world)
    {
        world.history.push_back(world.actualTargets);
        std::size_t newest = world.history.size() - 1;
        std::size_t lag = std::min<std::size_t>(newest, static_cast<std::size_t>(pick(world, 0, 3)));
        std::uint64_t version = world.versioned ? newest - lag + 1 : 0;
        if (version != 0 && version < world.state.targets.listVersion)
            return;
        deliver(world, TargetsChanged { world.history[newest - lag], version });
    }

    void changeTarget(World& world)
    {
        std::size_t index = static_cast<std::size_t>(pick(world, 0, 5));
        TargetAddress address = "127.0.0." + std::to_string(index) + ":80";
        auto found = std::find_if(world.actualTargets.begin(), world.actualTargets.end(), [&](const Target& target) { return target.address == address; });
        if (found == world.actualTargets.end()) {
            world.actualTargets.push_back({ address, "domain" + std::to_string(index % 3), false });
            return;
        }
        if (found->leaving && chance(world, 50)) {
            world.actualTargets.erase(found);
            return;
        }
        found->leaving = !found->leaving;
        if (found->leaving)
            deliver(world, TargetLeaving { address, chance(world, 50) ? world.nextStart : 0 });
        else
            deliver(world, TargetStarted { address, world.nextStart++ });
    }

    ServiceDocument drawDocument(World& world)
    {
        ServiceDocument document;
        document.targets.slots = static_cast<unsigned>(pick(world, 1, 4));
        document.targets.warmUp = milliseconds(pick(world, 0, 500));
        document.queue = { static_cast<unsigned>(pick(world, 0, 12)), milliseconds(pick(world, 5, 300)) };
        document.retries.ratio = pick(world, 0, 5) / 10.0;
        document.retries.minPerSecond = pick(world, 0, 5);
        document.deadlines.maxTimeout = std::chrono::seconds(2);
        return document;
    }

    void injectDisturbance(World& world)
    {
        TargetAddress address = "127.0.0." + std::to_string(pick(world, 0, 5)) + ":80";
        switch (pick(world, 0, 8)) {
        case 0:
            return deliver(world, UpdateDocument { drawDocument(world) });
        case 1:
            return deliver(world, TargetHealth { address, chance(world, 40), pick(world, 0, 2) / 4.0 });
        case 2:
            return deliver(world, PeerGrant { pick(world, 0, 4) / 4.0, world.now + milliseconds(pick(world, 0, 500)) });
        case 3:
        case 4:
            return changeTarget(world);
        case 5:
            return deliver(world, CrashReport { static_cast<std::uint64_t>(pick(world, 1, 40)), address });
        case 6:
            return deliver(world, QuarantineNotice { static_cast<std::uint64_t>(pick(world, 1, 40)), milliseconds(pick(world, 0, 300)) });
        default:
            return deliverList(world);
        }
    }

    void prepare(World& world)
    {
        world.versioned = chance(world, 50);
        world.ledger.crashingDigests = { 1, 2 };
        world.ledger.document = drawDocument(world);
        Policy policy = world.state.policy;
        world.state = makeDispatcher(world.ledger.document, "domain0", world.random(), world.now);
        world.state.policy = policy;
        for (int target = 0; target < 4; ++target)
            changeTarget(world);
        deliverList(world);
        int spacing = pick(world, 2, 15);
        for (int arrival = 0; arrival < 120; ++arrival)
            scheduleWithin(world, 0, 120 * spacing, [&world] { submit(world); });
        for (int change = 0; change < 40; ++change)
            scheduleWithin(world, 0, 120 * spacing, [&world] { injectDisturbance(world); });
    }

    // Advances to the next event. Returns false if there is none.
    bool step(World& world)
    {
        auto wake = world.faults.omitTicks ? std::nullopt : nextWake(world.state, world.now);
        if (world.scheduledEvents.empty() && !wake)
            return false;
        if (wake && (world.scheduledEvents.empty() || *wake < world.scheduledEvents.begin()->first)) {
            world.now = std::max(world.now, *wake);
            deliver(world, Tick {});
            return true;
        }
        auto next = world.scheduledEvents.extract(world.scheduledEvents.begin());
        world.now = next.key();
        next.mapped()();
        return true;
    }

}

std::string runSchedule(std::uint64_t seed, const Policy& policy, const DaemonFaults& faults, Coverage& coverage)
{
    World world;
    world.random.seed(seed);
    world.faults = faults;
    world.state.policy = policy;
    world.ledger.coverage = coverage;
    try {
        prepare(world);
        while (world.ledger.violation.empty() && step(world)) { }
        checkEnd(world.ledger, world.state);
        coverage = world.ledger.coverage;
    } catch (const InvariantViolation& violation) {
        return violation.what();
    }
    return world.ledger.violation;
}

std::string runSchedules(const Policy& policy, const DaemonFaults& faults)
{
    Coverage coverage;
    return runSchedules(policy, faults, coverage);
}

std::string runSchedules(const Policy& policy, const DaemonFaults& faults, Coverage& coverage)
{
    const char* seedText = std::getenv("FLAMINGOWICK_SEED");
    const char* secondsText = std::getenv("FLAMINGOWICK_SECONDS");
    std::uint64_t first = seedText ? std::strtoull(seedText, nullptr, 10) : 1;
    auto stop = std::chrono::steady_clock::now() + std::chrono::seconds(secondsText ? std::strtol(secondsText, nullptr, 10) : 0);
    std::uint64_t played = 0;
    while (secondsText ? std::chrono::steady_clock::now() < stop : played < 2000) {
        std::string violation = runSchedule(first + played, policy, faults, coverage);
        if (!violation.empty())
            return "seed " + std::to_string(first + played) + ": " + violation;
        ++played;
    }
    std::printf("%llu schedules from seed %llu\n", static_cast<unsigned long long>(played), static_cast<unsigned long long>(first));
    return {};
}

}
