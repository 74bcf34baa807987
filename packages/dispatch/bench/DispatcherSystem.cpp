#include "Systems.h"

#include <algorithm>

namespace flamingowick::dispatch::bench {

namespace {

    constexpr Duration sendTimeout = std::chrono::seconds(2);
    constexpr Duration drainTime = std::chrono::seconds(10);
    constexpr double unlimitedRatio = 1e6;

    struct Running {
        Call call;
        std::function<void()> stop;
        TimePoint startedAt;
        // Whether the attempt was cancelled in favour of another caller. The request is then submitted again.
        bool revoked { false };
    };

    struct System {
        Simulation simulation;
        DispatcherState state;
        Fairness fairness;
        std::map<std::uint64_t, Running> requests;
        std::uint64_t counter { 0 };
        bool tickScheduled { false };
    };

    void deliver(System&, const Event&);

    void submit(System& system, const Call& call)
    {
        Ticket ticket;
        ticket.id = { { "vm", 1 }, ++system.counter };
        ticket.caller = call.caller;
        ticket.deadline = call.sent + sendTimeout;
        ticket.digest = system.counter;
        system.requests[system.counter] = { call, nullptr, {}, false };
        deliver(system, Submit { ticket });
    }

    void conclude(System& system, const RequestId& id, bool succeeded)
    {
        auto found = system.requests.find(id.counter);
        Call call = found->second.call;
        system.requests.erase(found);
        Duration added = system.simulation.loop.now - call.sent - call.service + system.simulation.scenario.hop;
        concludeSend(system.simulation, call, succeeded, added);
    }

    void start(System& system, const StartAttempt& action)
    {
        Running& running = system.requests.at(action.id.counter);
        running.startedAt = system.simulation.loop.now;
        auto target = static_cast<unsigned>(std::stoul(action.target));
        running.stop = attempt(system.simulation, 0, target, running.call, [&system, action](AttemptResult result) {
            deliver(system, TargetAnswered { action.id, action.target, result });
        });
    }

    void cancel(System& system, const CancelAttempt& action, const Running& running)
    {
        running.stop();
        Call call = running.call;
        bool revoked = running.revoked;
        after(system.simulation.loop, Duration::zero(), [&system, action, call, revoked] {
            deliver(system, TargetAnswered { action.id, action.target, { AttemptKind::Cancelled, 0 } });
            if (revoked)
                submit(system, call);
        });
    }

    // Carries out the dispatcher's actions. lastWasOk states whether the event that caused them was an answer with
    // status 200; only such an answer counts as a success.
    void perform(System& system, const std::vector<Action>& actions, bool lastWasOk)
    {
        std::map<std::uint64_t, Running> finished;
        for (const Action& action : actions) {
            if (const auto* begin = std::get_if<StartAttempt>(&action))
                start(system, *begin);
            if (const auto* pass = std::get_if<PassAnswer>(&action))
                conclude(system, pass->id, lastWasOk);
            if (const auto* stop = std::get_if<CancelAttempt>(&action))
                cancel(system, *stop, finished.at(stop->id.counter));
            if (const auto* end = std::get_if<Finish>(&action)) {
                finished[end->id.counter] = system.requests.at(end->id.counter);
                if (finished[end->id.counter].revoked)
                    system.requests.erase(end->id.counter);
                else
                    conclude(system, end->id, false);
            }
        }
    }

    // Returns the newest attempt of the caller that is farthest above its equal share, or 0 if no caller is above it.
    std::uint64_t newestExcess(const System& system, double equalShare)
    {
        std::string_view most;
        double excess = 0;
        for (const auto& [caller, callerQueue] : system.state.queue.callers) {
            if (callerQueue.inFlight - equalShare > excess) {
                excess = callerQueue.inFlight - equalShare;
                most = caller;
            }
        }
        std::uint64_t newest = 0;
        for (const auto& [id, active] : system.state.requests) {
            if (active.attempt && !active.finished && active.ticket.caller == most)
                newest = std::max(newest, id.counter);
        }
        return newest;
    }

    void revokeOne(System& system)
    {
        const auto& callers = system.state.queue.callers;
        unsigned slots = totalSlots(system.state.targets, system.state.document.targets, system.simulation.loop.now);
        double equalShare = static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(1, callers.size()));
        bool anyBelow = std::any_of(callers.begin(), callers.end(), [&](const auto& entry) {
            return !entry.second.waiting.empty() && entry.second.inFlight + 1 <= equalShare;
        });
        std::uint64_t victim = anyBelow ? newestExcess(system, equalShare) : 0;
        if (victim == 0)
            return;
        ++system.simulation.measured.revocations;
        system.requests.at(victim).revoked = true;
        deliver(system, Cancelled { { { "vm", 1 }, victim } });
    }

    void scheduleTick(System& system)
    {
        auto wake = nextWake(system.state, system.simulation.loop.now);
        if (!wake || system.tickScheduled)
            return;
        system.tickScheduled = true;
        after(system.simulation.loop, std::max(Duration::zero(), *wake - system.simulation.loop.now), [&system] {
            system.tickScheduled = false;
            deliver(system, Tick {});
        });
    }

    void deliver(System& system, const Event& event)
    {
        const auto* answer = std::get_if<TargetAnswered>(&event);
        bool isOk = answer && answer->result.status == 200;
        perform(system, handle(system.state, event, system.simulation.loop.now), isOk);
        if (system.fairness.revoke && !std::holds_alternative<Cancelled>(event))
            revokeOne(system);
        scheduleTick(system);
    }

    void deliverTargets(System& system)
    {
        std::vector<Target> targets;
        for (unsigned target = 0; target < system.simulation.scenario.targets; ++target)
            targets.push_back({ std::to_string(target), "a", false });
        deliver(system, TargetsChanged { targets });
        deliver(system, PeerGrant { 1, TimePoint::max() });
    }

}

ServiceDocument documentOf(const Scenario& scenario)
{
    ServiceDocument document;
    document.targets.slots = scenario.slots;
    if (!scenario.retryBudget)
        document.retries.ratio = unlimitedRatio;
    return document;
}

Measurement measureDispatcher(const Scenario& scenario, const Fairness& fairness)
{
    System system;
    system.simulation.scenario = scenario;
    system.fairness = fairness;
    TimePoint begin = system.simulation.loop.now;
    system.state = makeDispatcher(documentOf(scenario), "a", scenario.seed, begin);
    system.state.policy.rankCaller = fairness.rank;
    system.state.policy.displace = fairness.displace;
    system.simulation.send = [&system](const Call& call) {
        after(system.simulation.loop, system.simulation.scenario.hop, [&system, call] { submit(system, call); });
    };
    startCallers(system.simulation);
    deliverTargets(system);
    runUntil(system.simulation.loop, begin + scenario.length + drainTime);
    return std::move(system.simulation.measured);
}

}
