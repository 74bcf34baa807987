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
    constexpr Duration attemptCheckInterval { milliseconds(500) };
    // Failure probability above which the log calls a target ejected.
    constexpr double loggedEjectionThreshold = 0.55;

}

DispatcherHost::DispatcherHost(asio::io_context& context, std::string component, const ProxySettings& proxySettings, double share, telemetry::EventLog& eventLog, DispatcherCallbacks dispatcherCallbacks)
    : logComponent(std::move(component))
    , settings(proxySettings)
    , retryShare(share)
    , log(eventLog)
    , callbacks(std::move(dispatcherCallbacks))
    , timer(context)
{
}

grants::TargetPool* DispatcherHost::poolOf(std::string_view group)
{
    if (const auto known = this->poolsByGroup.find(group); known != this->poolsByGroup.end())
        return &known->second;
    const std::optional<TargetGroup> parsed = parseGroup(group);
    if (!parsed)
        return nullptr;
    grants::TargetPool& pool = this->poolsByGroup[std::string(group)];
    pool.tieBreakerSeed = stableHash(this->settings.vm);
    pool.limits.nearForLargeResponses = this->settings.placement == PlacementPolicy::Cost;
    pool.limits.placeByCost = this->settings.placement == PlacementPolicy::Cost;
    if (this->settings.admission == AdmissionPolicy::Shares)
        pool.limits.admissionOrder = grants::AdmissionOrder::Shares;
    this->refreshTargets(pool, *parsed);
    this->log.write(telemetry::EventScope::Process, this->logComponent, "pool-opened", telemetry::EventFields().text("group", group).number("targets", static_cast<std::int64_t>(pool.targets.size())));
    return &pool;
}

void DispatcherHost::refreshTargets(grants::TargetPool& pool, const TargetGroup& group)
{
    std::vector<grants::ListedTarget> listed = this->callbacks.listTargets(group.service);
    std::erase_if(listed, [&group](const grants::ListedTarget& target) { return !isInGroup(group, target.instance); });
    for (grants::ListedTarget& target : listed) {
        if (target.requestsPerSecond)
            *target.requestsPerSecond *= this->requestLimitShare;
    }
    const double share = this->retryShare / group.count;
    grants::setRetryBudget(pool.retryBudget, this->settings.retryRatio, this->settings.retryBurst * share);
    this->deliver(grants::setTargets(pool, listed, Clock::now()));
}

bool DispatcherHost::requestGrant(const GrantRequestMessage& message)
{
    grants::TargetPool* pool = this->poolOf(message.group);
    if (!pool)
        return false;
    pool->overallLatency.latencyObjective = message.request.latencyObjective;
    const std::vector<grants::Decision> decisions = grants::requestGrant(*pool, message.request, Clock::now());
    this->deliver(decisions);
    this->scheduleExpiry();
    return std::any_of(decisions.begin(), decisions.end(), [&message](const grants::Decision& decision) { return decision.attemptId == message.request.attemptId; });
}

void DispatcherHost::attemptEnded(std::string_view group, const grants::AttemptId& attemptId, grants::AttemptOutcome outcome, Duration duration)
{
    const auto holdsAttempt = [&attemptId](const auto& item) { return item.second.instanceByAttempt.find(attemptId) != item.second.instanceByAttempt.end(); };
    auto found = this->poolsByGroup.find(group);
    if (found == this->poolsByGroup.end() || !holdsAttempt(*found)) {
        const auto holder = std::find_if(this->poolsByGroup.begin(), this->poolsByGroup.end(), holdsAttempt);
        if (holder != this->poolsByGroup.end())
            found = holder;
    }
    if (found == this->poolsByGroup.end())
        return;
    grants::TargetPool* pool = &found->second;
    const TimePoint now = Clock::now();
    if (outcome == grants::AttemptOutcome::InstanceReplaced)
        this->reportAbsence(*pool, attemptId);
    const auto attempt = pool->instanceByAttempt.find(attemptId);
    const std::string instance = attempt == pool->instanceByAttempt.end() ? std::string() : attempt->second;
    const auto target = pool->targets.find(instance);
    const double before = target == pool->targets.end() ? 0 : grants::failureProbabilityAt(target->second.belief, pool->model, now);
    this->deliver(grants::finishAttempt(*pool, attemptId, outcome, duration, now));
    if (target != pool->targets.end()) {
        const double after = target->second.belief.failureProbability;
        const bool wasEjected = before > loggedEjectionThreshold;
        const bool isEjected = after > loggedEjectionThreshold;
        if (wasEjected != isEjected) {
            this->log.write(telemetry::EventScope::Process, this->logComponent, isEjected ? "ejected" : "readmitted",
                telemetry::EventFields().text("target", instance).text("group", found->first).real("failingBefore", before).real("failing", after).text("outcome", toString(outcome)).milliseconds("lastedMs", duration));
        }
    }
}

void DispatcherHost::reportAbsence(const grants::TargetPool& pool, const grants::AttemptId& attemptId)
{
    const auto attempt = pool.instanceByAttempt.find(attemptId);
    if (attempt == pool.instanceByAttempt.end())
        return;
    // The attempt may have been sent to an earlier start of the target, which says nothing of this one.
    const auto target = pool.targets.find(attempt->second);
    if (target != pool.targets.end() && target->second.inFlight.contains(attemptId))
        this->callbacks.onTargetAbsent(grants::ListedTarget(target->second.listed));
}

void DispatcherHost::attemptRunning(const grants::AttemptId& attemptId, const RunningAttemptMessage& message)
{
    grants::TargetPool* pool = this->poolOf(message.group);
    if (!pool)
        return;
    // The attempt ended with the start of the target's that it was sent to.
    const auto target = pool->targets.find(message.instance);
    const bool outdated = message.targetStartedAt != 0 && target != pool->targets.end() && message.targetStartedAt < target->second.listed.startedAt;
    if (!outdated)
        grants::recordStartedAttempt(*pool, attemptId, message.instance, { Clock::now() - message.age, message.workload }, Clock::now());
    this->scheduleExpiry();
}

void DispatcherHost::handleEntryRestart(std::uint64_t endedIncarnation)
{
    for (auto& [name, pool] : this->poolsByGroup)
        this->deliver(grants::releaseEntry(pool, endedIncarnation, Clock::now()));
}

void DispatcherHost::handleTargetChange(std::string_view service)
{
    for (auto& [name, pool] : this->poolsByGroup) {
        const std::optional<TargetGroup> group = parseGroup(name);
        if (group && group->service == service)
            this->refreshTargets(pool, *group);
    }
}

void DispatcherHost::keepRetryTokensOnlyOf(const std::function<bool(std::string_view group)>& isKept)
{
    for (auto& [name, pool] : this->poolsByGroup) {
        if (!isKept(name))
            grants::forfeitRetryTokens(pool.retryBudget);
    }
}

void DispatcherHost::deliver(std::span<const grants::Decision> decisions)
{
    for (const grants::Decision& decision : decisions)
        this->callbacks.deliverDecision(decision);
}

void DispatcherHost::scheduleExpiry()
{
    const bool hasQueued = std::any_of(this->poolsByGroup.begin(), this->poolsByGroup.end(), [](const auto& item) { return !item.second.queue.empty(); });
    const bool hasRunning = std::any_of(this->poolsByGroup.begin(), this->poolsByGroup.end(), [](const auto& item) { return !item.second.instanceByAttempt.empty(); });
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
        this->expirePools();
    });
}

void DispatcherHost::expirePools()
{
    const TimePoint now = Clock::now();
    for (auto& [name, pool] : this->poolsByGroup) {
        const std::uint64_t freedBefore = pool.slotsFreedByAge;
        this->deliver(grants::expireOverdue(pool, now));
        if (pool.slotsFreedByAge != freedBefore)
            this->log.write(telemetry::EventScope::Process, this->logComponent, "slots-freed-by-age", telemetry::EventFields().text("group", name).number("slots", static_cast<std::int64_t>(pool.slotsFreedByAge - freedBefore)));
    }
    for (auto& [name, pool] : this->poolsByGroup) {
        for (const grants::AttemptId& attemptId : grants::attemptsToQuery(pool, now))
            this->callbacks.queryAttempt(attemptId);
    }
    this->scheduleExpiry();
}

}
