#include "Simulation.h"

#include <algorithm>
#include <memory>

namespace flamingowick::dispatch::bench {

namespace {

    constexpr Duration shedTime = std::chrono::milliseconds(1);
    constexpr Duration resendDelay = std::chrono::milliseconds(100);
    constexpr unsigned ok = 200;
    constexpr unsigned serviceUnavailable = 503;

    Duration exponential(Simulation& simulation, double meanSeconds)
    {
        std::exponential_distribution<double> distribution(1 / meanSeconds);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(distribution(simulation.random)));
    }

    double toSeconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    TimePoint endOf(const Simulation& simulation)
    {
        return TimePoint(std::chrono::hours(1)) + simulation.scenario.length;
    }

    // One third of the targets is faulty during the middle third of the run.
    bool isFaulty(const Simulation& simulation, unsigned target)
    {
        Duration elapsed = simulation.loop.now - TimePoint(std::chrono::hours(1));
        Duration third = simulation.scenario.length / 3;
        return target < simulation.scenario.targets / 3 && elapsed > third && elapsed < 2 * third;
    }

    void sendCall(Simulation& simulation, Call call)
    {
        call.sent = simulation.loop.now;
        ++simulation.measured.sends;
        simulation.send(call);
    }

    void sendNext(Simulation& simulation, std::size_t group, const std::string& caller)
    {
        const CallerGroup& kind = simulation.scenario.groups[group];
        after(simulation.loop, exponential(simulation, 1 / kind.rate), [&simulation, group, caller] {
            if (simulation.loop.now >= endOf(simulation))
                return;
            Call call { group, caller, simulation.loop.now, {}, simulation.scenario.resends, {} };
            call.service = exponential(simulation, toSeconds(simulation.scenario.groups[group].meanService));
            GroupResult& result = simulation.measured.groups[group];
            ++result.calls;
            ++result.byCaller[caller].first;
            sendCall(simulation, call);
            sendNext(simulation, group, caller);
        });
    }

    void openConnection(Simulation& simulation, unsigned vm, unsigned target)
    {
        auto& pools = simulation.backend.connections[target];
        auto& [inUse, open] = pools[vm];
        open = std::max(open, ++inUse);
        unsigned sum = 0;
        for (const auto& [owner, pool] : pools)
            sum += pool.second;
        simulation.measured.connections = std::max(simulation.measured.connections, sum);
    }

}

void after(Loop& loop, Duration delay, std::function<void()> callback)
{
    loop.events.push({ loop.now + delay, loop.sequence++, std::move(callback) });
}

void runUntil(Loop& loop, TimePoint end)
{
    while (!loop.events.empty() && loop.events.top().at <= end) {
        ScheduledEvent next = loop.events.top();
        loop.events.pop();
        loop.now = next.at;
        next.callback();
    }
}

double uniform(Simulation& simulation)
{
    return std::uniform_real_distribution<double>(0, 1)(simulation.random);
}

void startCallers(Simulation& simulation)
{
    simulation.random.seed(simulation.scenario.seed);
    simulation.backend.busy.assign(simulation.scenario.targets, 0);
    simulation.backend.connections.resize(simulation.scenario.targets);
    for (std::size_t group = 0; group < simulation.scenario.groups.size(); ++group) {
        const CallerGroup& kind = simulation.scenario.groups[group];
        simulation.measured.groups.push_back({ kind.name, 0, 0, {}, {} });
        for (unsigned caller = 0; caller < kind.callers; ++caller)
            sendNext(simulation, group, kind.name + std::to_string(caller));
    }
}

std::function<void()> attempt(Simulation& simulation, unsigned vm, unsigned target, const Call& call, std::function<void(AttemptResult)> done)
{
    ++simulation.measured.attempts;
    openConnection(simulation, vm, target);
    bool overrun = simulation.backend.busy[target] >= simulation.scenario.slots;
    double errorShare = isFaulty(simulation, target) ? simulation.scenario.faultShare : simulation.scenario.errorShare;
    bool fails = uniform(simulation) < errorShare;
    simulation.measured.overruns += overrun;
    simulation.backend.busy[target] += !overrun;
    auto ended = std::make_shared<bool>(false);
    auto end = [&simulation, vm, target, overrun, ended] {
        *ended = true;
        simulation.backend.busy[target] -= !overrun;
        --simulation.backend.connections[target][vm].first;
    };
    after(simulation.loop, overrun ? shedTime : call.service, [overrun, fails, ended, end, done = std::move(done)] {
        if (*ended)
            return;
        end();
        AttemptKind kind = overrun ? AttemptKind::Shed : AttemptKind::Answered;
        done({ kind, overrun || fails ? serviceUnavailable : ok });
    });
    return [&simulation, ended, end, startedAt = simulation.loop.now] {
        if (*ended)
            return;
        end();
        simulation.measured.wasted += simulation.loop.now - startedAt;
    };
}

void concludeSend(Simulation& simulation, const Call& call, bool succeeded, Duration added)
{
    GroupResult& result = simulation.measured.groups[call.group];
    if (succeeded) {
        ++result.succeeded;
        ++result.byCaller[call.caller].second;
        result.addedMilliseconds.push_back(toSeconds(added) * 1000);
        return;
    }
    if (call.resendsLeft == 0)
        return;
    Call resend = call;
    --resend.resendsLeft;
    auto delay = std::chrono::duration_cast<Duration>(resendDelay * (0.5 + uniform(simulation)));
    after(simulation.loop, delay, [&simulation, resend] { sendCall(simulation, resend); });
}

}
