#include "flamingowick/grants/TargetPool.h"

#include "Admission.h"
#include "FairQueue.h"
#include "Losses.h"
#include "Placement.h"
#include "QueueWait.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <array>
#include <set>

namespace flamingowick::grants {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Age at which the slot of an attempt whose end was never reported is freed, unless its deadline is later.
    constexpr Duration maxAttemptAge { seconds(12) };
    // Time after the deadline for the end to be reported.
    constexpr Duration endReportTime { seconds(1) };
    // Age from which the entry of an attempt is asked whether it still runs, and the interval of further questions.
    constexpr Duration firstQueryAge { milliseconds(500) };
    constexpr Duration queryInterval { seconds(1) };

    constexpr std::size_t maxWorkloads = 64;

    // Records the work that is expected of an attempt that starts at the target.
    void recordExpectedWork(const TargetPool& pool, const PooledTarget& target, AttemptInFlight& started, TimePoint now)
    {
        if (!pool.limits.placeByCost)
            return;
        started.expected = cost::estimate(pool.costModel, featuresOf(started.workload, started.organisation), now);
        started.tookLastSlot = usedSlots(target) + 1 >= target.listed.slots && target.listed.slots > 1;
    }

    // Whether the retry budget allows an attempt of the request now.
    bool hasRetryToken(const TargetPool& pool, const GrantRequest& request) noexcept { return !request.isRetry || pool.retryBudget.tokens >= 1; }

    Decision grant(TargetPool& pool, const GrantRequest& request, const Choice& choice, TimePoint now)
    {
        if (request.isRetry)
            takeRetryToken(pool.retryBudget);
        Decision decision;
        decision.attemptId = request.attemptId;
        decision.requestId = request.requestId;
        decision.instance = choice.target->listed.instance;
        decision.suspicionAge = suspicionAge(pool.model, latencyProfileFor(pool, request.workload), choice.failureProbability);
        decision.failureProbability = choice.failureProbability;
        decision.inFlight = usedSlots(*choice.target);
        decision.queueLength = pool.queue.size();
        decision.isRetry = request.isRetry;
        decision.retryTokens = pool.retryBudget.tokens;
        decision.limited = choice.target->requestLimit.has_value();
        if (choice.target->requestLimit)
            takeToken(*choice.target->requestLimit, now);
        AttemptInFlight started { now, request.workload, std::nullopt, request.deadline, overdueAge(latencyProfileFor(pool, request.workload)), request.organisation };
        recordExpectedWork(pool, *choice.target, started, now);
        choice.target->inFlight.emplace(request.attemptId, started);
        choice.target->lastGrantedAt = now;
        pool.instanceByAttempt[request.attemptId] = decision.instance;
        return decision;
    }

    // Grants in the order of shares. The order changes with each grant, so that the next request is searched anew.
    std::vector<Decision> grantByShares(TargetPool& pool, TimePoint now)
    {
        std::vector<Decision> decisions;
        std::array<bool, 2> noTargetFor { false, false };
        std::set<AttemptId> withoutTarget;
        const auto hasRoomNow = [now](const auto& item) { return !item.second.listed.leaving && hasRoom(item.second, now); };
        const auto accepts = [&pool, &noTargetFor, &withoutTarget](const GrantRequest& request) {
            return hasRetryToken(pool, request) && !noTargetFor.at(request.idempotent ? 1 : 0) && !withoutTarget.contains(request.attemptId);
        };
        while (!pool.queue.empty() && std::any_of(pool.targets.begin(), pool.targets.end(), hasRoomNow)) {
            const auto queued = nextInOrder(pool, accepts, now);
            if (queued == pool.queue.end())
                break;
            const GrantRequest& request = queued->second.request;
            const Choice choice = chooseTarget(pool, request, now);
            if (!choice.target) {
                if (request.excludedInstances.empty())
                    noTargetFor.at(request.idempotent ? 1 : 0) = true;
                else
                    withoutTarget.insert(request.attemptId);
                continue;
            }
            decisions.push_back(grant(pool, request, choice, now));
            recordServed(pool, queued->second, now);
            pool.queue.erase(queued);
        }
        if (pool.queue.empty() && pool.queueNonEmptySince) {
            pool.queueNonEmptySince.reset();
            endBusyPeriod(pool.shares);
        }
        return decisions;
    }

    std::vector<Decision> grantQueued(TargetPool& pool, TimePoint now)
    {
        if (pool.limits.admissionOrder == AdmissionOrder::Shares)
            return grantByShares(pool, now);
        std::vector<Decision> decisions;
        // When one request without excluded instances finds no target, no other request of its idempotence does,
        // so these are skipped. Under overload this function runs for each response, with hundreds of queued requests.
        std::array<bool, 2> noTargetFor { false, false };
        for (auto queued = pool.queue.begin(); queued != pool.queue.end() && !(noTargetFor[0] && noTargetFor[1]);) {
            const GrantRequest& request = queued->second.request;
            bool& noTarget = noTargetFor.at(request.idempotent ? 1 : 0);
            if (!hasRetryToken(pool, request)) {
                ++queued;
                continue;
            }
            const Choice choice = noTarget ? Choice {} : chooseTarget(pool, request, now);
            if (!choice.target) {
                noTarget = noTarget || request.excludedInstances.empty();
                ++queued;
                continue;
            }
            decisions.push_back(grant(pool, queued->second.request, choice, now));
            queued = pool.queue.erase(queued);
        }
        if (pool.queue.empty())
            pool.queueNonEmptySince.reset();
        return decisions;
    }

    Decision refuseByShares(TargetPool& pool, const GrantRequest& request, Duration roomAfter, const Capacity& capacity, TimePoint now)
    {
        Decision decision = refuse(pool, request, RefusalReason::NoSlotInTime, bookReturn(pool, request, roomAfter, now), now);
        decision.limited = capacity.timeToToken.has_value();
        return decision;
    }

    std::vector<Decision> queueByShares(TargetPool& pool, const GrantRequest& request, Choice choice, TimePoint now)
    {
        Capacity capacity = eligibleCapacity(pool, now);
        if (choice.fallback)
            capacity.awaitedShare = healthyShareOfAttempts(pool, now);
        Admission admission = admitByShares(pool, request, capacity, now);
        if (choice.fallback && !(admission.queued && admission.meetsObjective)) {
            // A late or unlikely response is better than none.
            choice.target = choice.fallback;
            return { grant(pool, request, choice, now) };
        }
        if (!admission.queued)
            return { refuseByShares(pool, request, admission.roomAfter, capacity, now) };
        pool.queue.emplace(request.priority, std::move(admission.request));
        if (!pool.queueNonEmptySince)
            pool.queueNonEmptySince = now;
        return {};
    }

    // Grants suspected and slow targets to queued requests that can't meet their objective any more. Linear in the queue, and
    // in the targets for each request that is late.
    std::vector<Decision> grantFallbacks(TargetPool& pool, TimePoint now)
    {
        std::vector<Decision> decisions;
        for (auto queued = pool.queue.begin(); queued != pool.queue.end();) {
            const GrantRequest& request = queued->second.request;
            Choice choice = isLate(queued->second, now) && hasRetryToken(pool, request) ? chooseTarget(pool, request, now) : Choice {};
            if (!choice.target)
                choice.target = choice.fallback;
            if (!choice.target) {
                ++queued;
                continue;
            }
            decisions.push_back(grant(pool, request, choice, now));
            recordServed(pool, queued->second, now);
            queued = pool.queue.erase(queued);
        }
        return decisions;
    }

    std::vector<Decision> refuseHopeless(TargetPool& pool, TimePoint now)
    {
        std::vector<Decision> decisions;
        const Capacity capacity = eligibleCapacity(pool, now);
        for (const GrantRequest& request : removeHopeless(pool, now))
            decisions.push_back(refuseByShares(pool, request, Duration::zero(), capacity, now));
        return decisions;
    }

    void recordResponseLatency(TargetPool& pool, std::uint64_t workload, Duration latency)
    {
        recordLatency(pool.overallLatency, latency);
        auto profile = pool.latencyByWorkload.find(workload);
        if (profile == pool.latencyByWorkload.end() && pool.latencyByWorkload.size() < maxWorkloads) {
            profile = pool.latencyByWorkload.emplace(workload, LatencyProfile {}).first;
            profile->second.latencyObjective = pool.overallLatency.latencyObjective;
        }
        if (profile != pool.latencyByWorkload.end())
            recordLatency(profile->second, latency);
    }

    void releaseSlot(TargetPool& pool, const AttemptId& attemptId, std::string_view instance)
    {
        if (const auto target = pool.targets.find(instance); target != pool.targets.end())
            target->second.inFlight.erase(attemptId);
    }

    // Follows the limit in the target's entry.
    void updateRequestLimit(PooledTarget& target, TimePoint now)
    {
        if (!target.listed.requestsPerSecond)
            target.requestLimit.reset();
        else if (target.requestLimit)
            setRate(*target.requestLimit, *target.listed.requestsPerSecond, now);
        else
            target.requestLimit = makeRequestLimit(*target.listed.requestsPerSecond, now);
    }

    bool isSameIncarnation(const ListedTarget& first, const ListedTarget& second)
    {
        return first.startedAt == second.startedAt && first.address == second.address;
    }

    bool isQueued(const TargetPool& pool, const AttemptId& attemptId)
    {
        return std::any_of(pool.queue.begin(), pool.queue.end(), [&attemptId](const auto& item) { return item.second.request.attemptId == attemptId; });
    }

}

std::string_view toString(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::NoSlotInTime:
        return "no-room";
    case RefusalReason::RetryBudgetExhausted:
        return "no-retry";
    case RefusalReason::RequestQuarantined:
        return "request-quarantined";
    }
    return "none";
}

double failureProbability(const TargetPool& pool, const PooledTarget& target, TimePoint now)
{
    double probability = failureProbabilityAt(target.belief, pool.model, now);
    // A target that is warming up takes about twice as long, so that the age of its attempts counts half as evidence.
    const double expectedSlowdown = warmUpFactor(target, now) * soundSlowness(pool, target, now);
    for (const auto& [attemptId, attempt] : target.inFlight) {
        const auto age = std::chrono::duration_cast<Duration>((now - attempt.startedAt) / expectedSlowdown);
        probability = bayesUpdate(probability, pendingLikelihoodRatio(pool.model, latencyProfileFor(pool, attempt.workload), age));
    }
    return probability;
}

std::vector<Decision> setTargets(TargetPool& pool, std::span<const ListedTarget> listed, TimePoint now)
{
    std::map<std::string, PooledTarget, std::less<>> targets;
    std::vector<std::string> restarted;
    for (const ListedTarget& item : listed) {
        PooledTarget target;
        const auto known = pool.targets.find(item.instance);
        if (known != pool.targets.end() && isSameIncarnation(known->second.listed, item)) {
            target = std::move(known->second);
        } else {
            if (known != pool.targets.end())
                restarted.push_back(item.instance);
            target.belief = { pool.model.priorFailingShare, now };
            target.warmUpEndsAt = now + item.warmUpTime;
            target.lastGrantedAt = now;
            target.tieBreaker = combineHashes(stableHash(item.instance), pool.tieBreakerSeed);
        }
        target.listed = item;
        updateRequestLimit(target, now);
        targets.emplace(item.instance, std::move(target));
    }
    std::erase_if(pool.instanceByAttempt, [&restarted](const auto& item) { return std::find(restarted.begin(), restarted.end(), item.second) != restarted.end(); });
    pool.targets = std::move(targets);
    return grantQueued(pool, now);
}

std::vector<Decision> requestGrant(TargetPool& pool, GrantRequest request, TimePoint now)
{
    // The attempt was granted already: the entry resends its request because the grant reply was lost.
    if (const auto running = pool.instanceByAttempt.find(request.attemptId); running != pool.instanceByAttempt.end()) {
        Decision resentGrant;
        resentGrant.attemptId = request.attemptId;
        resentGrant.requestId = request.requestId;
        resentGrant.instance = running->second;
        if (const auto target = pool.targets.find(running->second); target != pool.targets.end()) {
            resentGrant.suspicionAge = suspicionAge(pool.model, latencyProfileFor(pool, request.workload), failureProbability(pool, target->second, now));
            resentGrant.limited = target->second.requestLimit.has_value();
        }
        return { resentGrant };
    }
    if (isQueued(pool, request.attemptId))
        return {};
    if (request.idempotent)
        pool.lastIdempotentAt = now;
    if (request.earnsRetryCredit)
        depositRetryCredit(pool.retryBudget);
    const bool byShares = pool.limits.admissionOrder == AdmissionOrder::Shares;
    if (byShares)
        advanceSlotTime(pool.slotTime, pool.instanceByAttempt.size(), 0, now);
    if (byShares && !request.isRetry) {
        recordArrival(pool.arrivals, request.priority, now);
        recordArrival(pool.shares, request.organisation, now);
    }
    if (!hasRetryToken(pool, request))
        return { refuse(pool, request, RefusalReason::RetryBudgetExhausted, Duration::zero(), now) };
    Choice choice = chooseTarget(pool, request, now);
    if (choice.target)
        return { grant(pool, request, choice, now) };
    if (!choice.hasEligible)
        return { refuse(pool, request, RefusalReason::NoTarget, seconds(1), now) };
    if (byShares)
        return queueByShares(pool, request, choice, now);
    const auto ahead = static_cast<std::size_t>(std::distance(pool.queue.begin(), pool.queue.upper_bound(request.priority)));
    const Capacity capacity = eligibleCapacity(pool, now);
    if (!mayQueue(pool, request, ahead, capacity, now)) {
        // A late response is better than none.
        if (choice.fallback) {
            choice.target = choice.fallback;
            return { grant(pool, request, choice, now) };
        }
        return { refuseForLackOfRoom(pool, request, capacity, now) };
    }
    const unsigned priority = request.priority;
    pool.queue.emplace(priority, QueuedRequest { std::move(request), now });
    if (!pool.queueNonEmptySince)
        pool.queueNonEmptySince = now;
    return {};
}

void recordStartedAttempt(TargetPool& pool, const AttemptId& attemptId, std::string_view instance, const AttemptInFlight& started, TimePoint now)
{
    const auto target = pool.targets.find(instance);
    if (target == pool.targets.end())
        return;
    if (pool.limits.admissionOrder == AdmissionOrder::Shares)
        advanceSlotTime(pool.slotTime, pool.instanceByAttempt.size(), 0, now);
    AttemptInFlight recorded = started;
    recordExpectedWork(pool, target->second, recorded, now);
    const bool isNew = target->second.inFlight.emplace(attemptId, recorded).second;
    if (isNew && target->second.requestLimit)
        takeToken(*target->second.requestLimit, now);
    pool.instanceByAttempt[attemptId] = std::string(instance);
}

std::vector<Decision> finishAttempt(TargetPool& pool, const AttemptId& attemptId, AttemptOutcome outcome, Duration duration, TimePoint now)
{
    const auto attempt = pool.instanceByAttempt.find(attemptId);
    if (attempt == pool.instanceByAttempt.end()) {
        cancelQueued(pool, attemptId);
        return {};
    }
    const auto target = pool.targets.find(attempt->second);
    std::uint64_t workload = 0;
    std::optional<AttemptInFlight> ended;
    if (target != pool.targets.end()) {
        if (const auto running = target->second.inFlight.find(attemptId); running != target->second.inFlight.end()) {
            workload = running->second.workload;
            ended = running->second;
            target->second.inFlight.erase(running);
        }
        // The belief gets what the slowness known before doesn't explain; then the slowness learns from the response.
        const auto unexplained = std::chrono::duration_cast<Duration>(duration / soundSlowness(pool, target->second, now));
        // The attempt may have run at an earlier start of the target, which says nothing of this one.
        if (ended)
            updateBelief(target->second.belief, pool.model, latencyProfileFor(pool, workload), outcome, unexplained, now);
        if (pool.limits.placeByCost && ended && outcome == AttemptOutcome::Succeeded)
            recordWork(pool, target->second, *ended, duration, now);
    }
    if (pool.limits.admissionOrder == AdmissionOrder::Shares)
        advanceSlotTime(pool.slotTime, pool.instanceByAttempt.size(), 1, now);
    pool.instanceByAttempt.erase(attempt);
    recordRelease(pool.releaseRate, now);
    if (outcome != AttemptOutcome::Abandoned)
        recordResult(pool.lossCounts, outcome != AttemptOutcome::Succeeded, now);
    if (outcome == AttemptOutcome::Succeeded)
        recordResponseLatency(pool, workload, duration);
    return grantQueued(pool, now);
}

void cancelQueued(TargetPool& pool, const AttemptId& attemptId)
{
    for (auto queued = pool.queue.begin(); queued != pool.queue.end(); ++queued) {
        if (queued->second.request.attemptId == attemptId) {
            pool.queue.erase(queued);
            return;
        }
    }
}

std::vector<Decision> expireOverdue(TargetPool& pool, TimePoint now)
{
    std::vector<std::pair<AttemptId, std::string>> unreported;
    for (const auto& [instance, target] : pool.targets) {
        for (const auto& [attemptId, attempt] : target.inFlight) {
            const TimePoint freedAt = std::max(attempt.startedAt + maxAttemptAge, attempt.deadline ? *attempt.deadline + endReportTime : TimePoint {});
            if (now > freedAt)
                unreported.emplace_back(attemptId, instance);
        }
    }
    for (const auto& [attemptId, instance] : unreported) {
        releaseSlot(pool, attemptId, instance);
        pool.instanceByAttempt.erase(attemptId);
        ++pool.slotsFreedByAge;
    }
    std::vector<Decision> decisions = grantQueued(pool, now);
    if (pool.queue.empty())
        return decisions;
    if (pool.limits.admissionOrder == AdmissionOrder::Shares) {
        const std::vector<Decision> fallbacks = grantFallbacks(pool, now);
        decisions.insert(decisions.end(), fallbacks.begin(), fallbacks.end());
        const std::vector<Decision> refusals = refuseHopeless(pool, now);
        decisions.insert(decisions.end(), refusals.begin(), refusals.end());
        return decisions;
    }
    const Capacity capacity = eligibleCapacity(pool, now);
    const double releasesPerSecond = estimateReleaseRate(pool, capacity, now);
    std::map<std::uint64_t, Duration> latencyByWorkload;
    std::size_t ahead = 0;
    for (auto queued = pool.queue.begin(); queued != pool.queue.end();) {
        const GrantRequest& request = queued->second.request;
        const auto [latency, isNew] = latencyByWorkload.try_emplace(request.workload);
        if (isNew)
            latency->second = expectedLatency(pool, request.workload);
        if (canStillStart(request, ahead, latency->second, releasesPerSecond, now)) {
            ++queued;
            ++ahead;
            continue;
        }
        const GrantRequest expired = std::move(queued->second.request);
        queued = pool.queue.erase(queued);
        decisions.push_back(refuseForLackOfRoom(pool, expired, capacity, now));
    }
    return decisions;
}

std::vector<AttemptId> attemptsToQuery(TargetPool& pool, TimePoint now)
{
    std::vector<AttemptId> due;
    for (auto& [instance, target] : pool.targets) {
        for (auto& [attemptId, attempt] : target.inFlight) {
            const TimePoint dueAt = attempt.queriedAt ? *attempt.queriedAt + queryInterval : attempt.startedAt + firstQueryAge;
            if (now < dueAt)
                continue;
            attempt.queriedAt = now;
            due.push_back(attemptId);
        }
    }
    return due;
}

std::vector<Decision> releaseEntry(TargetPool& pool, std::uint64_t entry, TimePoint now)
{
    std::erase_if(pool.queue, [entry](const auto& item) { return item.second.request.attemptId.entry == entry; });
    std::erase_if(pool.instanceByAttempt, [&pool, entry](const auto& item) {
        if (item.first.entry != entry)
            return false;
        releaseSlot(pool, item.first, item.second);
        return true;
    });
    return grantQueued(pool, now);
}

}
