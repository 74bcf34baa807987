#include "flamingowick/proxy/DispatcherHost.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;

    // Interval at which queued requests are decided again: a target's failure probability falls with time, so it
    // may become eligible without any event.
    constexpr Duration queueCheckInterval { milliseconds(50) };
    // Interval at which attempts are checked for ends that were lost.
    constexpr Duration attemptCheckInterval { std::chrono::seconds(3) };
    // Failure probability above which the log calls a target ejected.
    constexpr double loggedEjectionThreshold = 0.55;

}

DispatcherHost::DispatcherHost(asio::io_context& context, std::string hostPart, const ProxySettings& proxySettings, double share, telemetry::EventLog& eventLog, DispatcherPorts dispatcherPorts)
    : part(std::move(hostPart))
    , settings(proxySettings)
    , retryShare(share)
    , log(eventLog)
    , ports(std::move(dispatcherPorts))
    , timer(context)
{
}

grants::TargetPool* DispatcherHost::poolOf(std::string_view group)
{
    if (const auto known = this->groups.find(group); known != this->groups.end())
        return &known->second;
    const std::optional<TargetGroup> parsed = parseGroup(group);
    if (!parsed)
        return nullptr;
    grants::TargetPool& pool = this->groups[std::string(group)];
    pool.salt = stableHash(this->settings.vm);
    this->refreshTargets(pool, *parsed);
    this->log.write(telemetry::Weight::Process, this->part, "pool-opened", telemetry::EventFields().text("group", group).number("targets", static_cast<std::int64_t>(pool.targets.size())));
    return &pool;
}

void DispatcherHost::refreshTargets(grants::TargetPool& pool, const TargetGroup& group)
{
    std::vector<grants::ListedTarget> listed = this->ports.targets(group.service);
    std::erase_if(listed, [&group](const grants::ListedTarget& target) { return !inGroup(group, target.instance); });
    const double share = this->retryShare / group.count;
    grants::setAllowance(pool.retries, this->settings.retryRatio, this->settings.retryBurst * share);
    this->pass(grants::setTargets(pool, listed, Clock::now()));
}

bool DispatcherHost::ask(const AskMessage& message)
{
    grants::TargetPool* pool = this->poolOf(message.group);
    if (!pool)
        return false;
    pool->latency.assumed = message.request.objective;
    const std::vector<grants::Decision> decisions = grants::submit(*pool, message.request, Clock::now());
    this->pass(decisions);
    this->planExpiry();
    return std::any_of(decisions.begin(), decisions.end(), [&message](const grants::Decision& decision) { return decision.key == message.request.key; });
}

void DispatcherHost::end(std::string_view group, const grants::AttemptKey& key, grants::Outcome outcome, Duration duration)
{
    if (group.empty()) {
        for (auto& [name, known] : this->groups) {
            if (known.attempts.find(key) != known.attempts.end()) {
                this->end(name, key, outcome, duration);
                return;
            }
        }
        return;
    }
    grants::TargetPool* pool = this->poolOf(group);
    if (!pool)
        return;
    const TimePoint now = Clock::now();
    const auto attempt = pool->attempts.find(key);
    const std::string instance = attempt == pool->attempts.end() ? std::string() : attempt->second;
    const auto target = pool->targets.find(instance);
    const double before = target == pool->targets.end() ? 0 : grants::relaxed(target->second.belief, pool->model, now);
    this->pass(grants::finish(*pool, key, outcome, duration, now));
    if (target != pool->targets.end()) {
        const double after = target->second.belief.failing;
        const bool wasEjected = before > loggedEjectionThreshold;
        const bool isEjected = after > loggedEjectionThreshold;
        if (wasEjected != isEjected) {
            this->log.write(telemetry::Weight::Process, this->part, isEjected ? "ejected" : "readmitted",
                telemetry::EventFields().text("target", instance).text("group", group).real("failingBefore", before).real("failing", after).text("outcome", toString(outcome)).milliseconds("lastedMs", duration));
        }
    }
}

void DispatcherHost::running(const grants::AttemptKey& key, const RunningMessage& message)
{
    if (grants::TargetPool* pool = this->poolOf(message.group))
        grants::noteStarted(*pool, key, message.instance, { Clock::now() - message.age, message.workload });
    this->planExpiry();
}

void DispatcherHost::targetsChanged(std::string_view service)
{
    for (auto& [name, pool] : this->groups) {
        const std::optional<TargetGroup> group = parseGroup(name);
        if (group && group->service == service)
            this->refreshTargets(pool, *group);
    }
}

void DispatcherHost::pass(std::span<const grants::Decision> decisions)
{
    for (const grants::Decision& decision : decisions)
        this->ports.decide(decision);
}

void DispatcherHost::planExpiry()
{
    const bool hasQueued = std::any_of(this->groups.begin(), this->groups.end(), [](const auto& item) { return !item.second.waiting.empty(); });
    const bool hasRunning = std::any_of(this->groups.begin(), this->groups.end(), [](const auto& item) { return !item.second.attempts.empty(); });
    if (!hasQueued && !hasRunning)
        return;
    const TimePoint due = Clock::now() + (hasQueued ? queueCheckInterval : attemptCheckInterval);
    if (this->timerArmed && this->timer.expiry() <= due)
        return;
    this->timerArmed = true;
    this->timer.expires_at(due);
    this->timer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->timerArmed = false;
        this->expireAll();
    });
}

void DispatcherHost::expireAll()
{
    const TimePoint now = Clock::now();
    for (auto& [name, pool] : this->groups)
        this->pass(grants::expire(pool, now));
    this->planExpiry();
}

}
