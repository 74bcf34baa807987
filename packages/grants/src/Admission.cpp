#include "Admission.h"

#include "Losses.h"
#include "Placement.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::grants {

namespace {

    using std::chrono::milliseconds;

    // A queued request is refused when it can't finish by its deadline even at this quantile of the latency.
    constexpr double deadlineLatencyQuantile = 0.6;
    // A request is queued only if it is expected to finish within its objective at this quantile of the latency, or
    // if the expected wait is at most the objective divided by the divisor.
    constexpr double objectiveLatencyQuantile = 0.7;
    constexpr int minQueueWaitDivisor = 4;
    // A queued request is refused early when even its expected wait divided by this exceeds the time left. The
    // divisor allows for variation of the release rate.
    constexpr int expiryWaitDivisor = 2;
    constexpr Duration minRetryAfter { milliseconds(100) };

    // Assumed slots of a pool whose targets name limits near zero, so that waits stay finite.
    constexpr double minCapacitySlots = 0.01;
    // The same for the attempts that run at healthy targets.
    constexpr double minHealthyShare = 0.01;

}

Decision refuse(TargetPool& pool, const GrantRequest& request, RefusalReason reason, Duration retryAfter, TimePoint now)
{
    if (reason == RefusalReason::NoSlotInTime && !request.isRetry)
        recordResult(pool.lossCounts, true, now);
    Decision decision;
    decision.attemptId = request.attemptId;
    decision.requestId = request.requestId;
    decision.kind = DecisionKind::Refused;
    decision.reason = reason;
    decision.retryAfter = std::max(retryAfter, minRetryAfter);
    decision.queueLength = pool.queue.size();
    decision.isRetry = request.isRetry;
    decision.retryTokens = pool.retryBudget.tokens;
    return decision;
}

Capacity eligibleCapacity(TargetPool& pool, TimePoint now)
{
    Capacity capacity;
    const double latencySeconds = medianLatencySeconds(pool);
    bool allAtLimit = true;
    Duration soonestToken = Duration::max();
    for (const Candidate& candidate : eligibleTargets(pool, now)) {
        const double slots = candidate.target->listed.slots;
        const std::optional<RequestLimit>& limit = candidate.target->requestLimit;
        capacity.slots += limit ? std::min(slots, limit->perSecond * latencySeconds) : slots;
        allAtLimit = allAtLimit && isAtLimit(*candidate.target, now);
        if (limit)
            soonestToken = std::min(soonestToken, timeToToken(*limit, now));
    }
    if (allAtLimit && soonestToken != Duration::max())
        capacity.timeToToken = soonestToken;
    capacity.slots = std::max(capacity.slots, minCapacitySlots);
    return capacity;
}

double healthyShareOfAttempts(TargetPool& pool, TimePoint now)
{
    double running = 0;
    double runningAtHealthy = 0;
    for (const Candidate& candidate : presentTargets(pool, now)) {
        running += usedSlots(*candidate.target);
        runningAtHealthy += isHealthy(pool, candidate) ? usedSlots(*candidate.target) : 0;
    }
    return running > 0 ? std::max(runningAtHealthy / running, minHealthyShare) : 1;
}

Decision refuseForLackOfRoom(TargetPool& pool, const GrantRequest& request, const Capacity& capacity, TimePoint now)
{
    Decision decision = refuse(pool, request, RefusalReason::NoSlotInTime, estimateQueueWait(pool, pool.queue.size(), capacity, now), now);
    decision.limited = capacity.timeToToken.has_value();
    return decision;
}

Duration expectedLatency(const TargetPool& pool, std::uint64_t workload)
{
    return quantile(latencyProfileFor(pool, workload), deadlineLatencyQuantile);
}

TimePoint latestUsefulStart(const TargetPool& pool, const GrantRequest& request)
{
    return request.deadline - expectedLatency(pool, request.workload);
}

Duration maxQueueWait(const TargetPool& pool, const GrantRequest& request)
{
    const Duration waitWithinObjective = request.latencyObjective - quantile(latencyProfileFor(pool, request.workload), objectiveLatencyQuantile);
    return std::max<Duration>(waitWithinObjective, request.latencyObjective / minQueueWaitDivisor);
}

bool mayQueue(const TargetPool& pool, const GrantRequest& request, std::size_t ahead, const Capacity& capacity, TimePoint now)
{
    // Hedges aren't queued: the first attempt may still answer.
    if (request.isHedge || static_cast<double>(ahead) >= pool.limits.maxQueuedPerSlot * capacity.slots)
        return false;
    const Duration wait = estimateQueueWait(pool, ahead, capacity, now);
    return now + wait <= latestUsefulStart(pool, request) && wait <= maxQueueWait(pool, request);
}

bool canStillStart(const GrantRequest& request, std::size_t ahead, Duration usualLatency, double releasesPerSecond, TimePoint now)
{
    const Duration timeToStart = request.deadline - usualLatency - now;
    return timeToStart > Duration::zero() && timeToStart > queueWaitAtRate(releasesPerSecond, ahead) / expiryWaitDivisor;
}

}
