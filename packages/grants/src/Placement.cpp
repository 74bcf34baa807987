#include "Placement.h"

#include "Losses.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace flamingowick::grants {

namespace {

    // Terms of the placement cost, in units of the probability that a request is lost.
    // For each attempt in flight at the target: if the target fails, all of them are lost together.
    constexpr double inFlightWeight = 0.06;
    // For the last free slot: targets slow down when they are nearly full.
    constexpr double lastSlotWeight = 0.05;
    // For a target that is warming up: it takes about twice as long to answer.
    constexpr double warmUpWeight = 0.15;
    // For traffic to another failure domain and for opening a connection: both have a price.
    constexpr double crossDomainWeight = 0.01;
    constexpr double newConnectionWeight = 0.03;
    // The same for a large response, which is late on a narrow link between failure domains: more than a target with one
    // slot left costs, less than a target that is suspected.
    constexpr double crossDomainLargeWeight = 0.25;
    // Part of the coverage window after which a large response from a target's own failure domain covers the target, so
    // that it seldom takes one from another failure domain.
    constexpr double nearCoveragePart = 0.7;

    // Weight of the probability of failure for idempotent requests. It is below 1 so that these requests, which can be
    // retried, test the targets of uncertain state and the others needn't.
    constexpr double idempotentFailureWeight = 0.4;

    // Terms of the placement by cost.
    // Longest remaining work of an attempt that counts, in multiples of the mean work: an attempt that has lasted very
    // long is judged by the belief.
    constexpr double maxRemainingWorks = 3;
    // Factor up to which a target's slowness excuses late responses, as for one that warms up. A slower one fails its callers
    // all the same, and a request that hangs there must not go unnoticed until its deadline.
    constexpr double maxSoundSlowness = 2;
    // Slowness from which a target is a slow one at all, whatever the objective.
    constexpr double minLateSlowness = 2;
    // Longest expected wait for a target of usual speed, in multiples of the usual work.
    constexpr double maxWaitWorks = 0.25;
    // The same for a healthy target, while a suspected one has room.
    constexpr double maxHealthyWaitWorks = 0.5;

    // Number of responses from which a workload's profile is used instead of the profile of all requests.
    constexpr std::size_t minWorkloadResponses = 12;

    bool isFar(const PooledTarget& target, const GrantRequest& request) noexcept { return target.listed.failureDomain != request.failureDomain; }

    // Whether the request goes to a target in its entry's failure domain before others.
    bool prefersNear(const TargetPool& pool, const GrantRequest& request) noexcept { return pool.limits.nearForLargeResponses && request.largeResponse; }

    // What the placement by cost knows of a request, for all targets.
    struct ExpectedWork {
        // Unknown unless the pool places by cost and has seen enough requests.
        cost::Estimate estimate;
        double meanSeconds { 0 };
        // Of all requests of the service.
        double usualSeconds { 0 };
        double objectiveSeconds { 0 };
        double lastSlotFactor { 1 };
    };

    ExpectedWork expectedWork(const TargetPool& pool, const GrantRequest& request, TimePoint now) noexcept
    {
        ExpectedWork work;
        if (!pool.limits.placeByCost)
            return work;
        work.estimate = cost::estimate(pool.costModel, featuresOf(request.workload, request.organisation), now);
        work.meanSeconds = work.estimate.meanSeconds();
        const cost::DecayingMean& overall = pool.costModel.overall;
        work.usualSeconds = std::exp(overall.mean + overall.variance / 2);
        // Callers that name no objective are taken to expect their response within the latency that is usual.
        const double objective = std::chrono::duration<double>(request.latencyObjective).count();
        work.objectiveSeconds = objective > 0 ? objective : 3 * work.meanSeconds;
        work.lastSlotFactor = std::max(1.0, cost::slownessFactor(pool.lastSlotSlowness, now));
        return work;
    }

    // The work that the target has to do yet, in multiples of the usual.
    double remainingWorks(const PooledTarget& target, const ExpectedWork& work, double slowness, TimePoint now) noexcept
    {
        double works = 0;
        for (const auto& [attemptId, attempt] : target.inFlight) {
            const double age = std::chrono::duration<double>(now - attempt.startedAt).count();
            const cost::Estimate& expected = attempt.expected.isKnown() ? attempt.expected : work.estimate;
            works += std::min(cost::expectedRemainingSeconds(expected, slowness, age) / work.usualSeconds, maxRemainingWorks);
        }
        return works;
    }

    bool takesLastSlot(const PooledTarget& target) noexcept { return usedSlots(target) + 1 >= target.listed.slots && target.listed.slots > 1; }

    double expectedSlowness(const PooledTarget& target, TimePoint now) noexcept { return cost::slownessFactor(target.slowness, now) * warmUpFactor(target, now); }

    double completionSeconds(const PooledTarget& target, const ExpectedWork& work, double slowness) noexcept
    {
        return work.meanSeconds * slowness * (takesLastSlot(target) ? work.lastSlotFactor : 1);
    }

    // The part of the placement cost that follows from the target's speed and load, with the expected completion in units
    // of the caller's objective.
    double completionCost(const PooledTarget& target, const ExpectedWork& work, TimePoint now) noexcept
    {
        const double slowness = expectedSlowness(target, now);
        return completionSeconds(target, work, slowness) / work.objectiveSeconds + inFlightWeight * remainingWorks(target, work, slowness, now) + (takesLastSlot(target) ? lastSlotWeight : 0);
    }

    // Whether the target is so slow that the request is expected to end after its objective there.
    bool isLate(const PooledTarget& target, const ExpectedWork& work, TimePoint now) noexcept
    {
        if (!work.estimate.isKnown())
            return false;
        return cost::slownessFactor(target.slowness, now) >= std::max(minLateSlowness, work.objectiveSeconds / work.meanSeconds);
    }

    // Whether the request waits for a slot at a target of usual speed, behind those queued, rather than run late at the given
    // one. It waits only while little of the load does: otherwise the slots of slow targets would be missed.
    bool isBetterToWait(const PooledTarget& slow, std::span<const Candidate> candidates, std::size_t queued, const ExpectedWork& work, TimePoint now) noexcept
    {
        if (!isLate(slow, work, now))
            return false;
        std::size_t running = 0;
        for (const Candidate& candidate : candidates)
            running += isLate(*candidate.target, work, now) || isAtLimit(*candidate.target, now) ? 0 : candidate.target->inFlight.size();
        // Slots become free at an interval of the usual work divided by the attempts in flight.
        return static_cast<double>(queued + 1) < maxWaitWorks * static_cast<double>(running);
    }

    double loadCost(const PooledTarget& target, TimePoint now) noexcept
    {
        const unsigned used = usedSlots(target);
        double cost = inFlightWeight * used;
        if (takesLastSlot(target))
            cost += lastSlotWeight;
        if (target.warmUpEndsAt > now)
            cost += warmUpWeight;
        return cost;
    }

    double placementCost(const TargetPool& pool, const PooledTarget& target, double failing, const GrantRequest& request, const ExpectedWork& work, TimePoint now)
    {
        const bool near = prefersNear(pool, request);
        // A large response that is lost is sent twice, so that these requests don't test targets of uncertain state.
        double cost = failing * (request.idempotent && !near ? idempotentFailureWeight : 1);
        cost += work.estimate.isKnown() ? completionCost(target, work, now) : loadCost(target, now);
        if (isFar(target, request))
            cost += near ? crossDomainLargeWeight : crossDomainWeight;
        if (!contains(request.idleConnectionInstances, target.listed.instance))
            cost += newConnectionWeight;
        return cost;
    }

    // Returns the share of the targets that must get a request in each coverage window: the given share while few
    // requests are lost, rising to 1 as losses grow.
    double requiredCoverage(const TargetPool& pool, double share, TimePoint now) noexcept
    {
        const PoolLimits& limits = pool.limits;
        const double increase = (lossShare(pool, now) - limits.normalCoverageLossShare) / (limits.fullCoverageLossShare - limits.normalCoverageLossShare);
        return share + (1 - share) * std::clamp(increase, 0.0, 1.0);
    }

    // Returns the target to which this request goes for coverage, or none when enough targets are covered. Targets at which
    // the request is expected to end after its objective count as suspected. Healthy targets without a request in the window come first, by the time of their last request; then suspected ones, by
    // increasing probability of failure. Among either, a large response prefers targets in its entry's failure domain.
    Choice chooseForCoverage(TargetPool& pool, const GrantRequest& request, TimePoint now)
    {
        const ExpectedWork work = expectedWork(pool, request, now);
        Choice healthy;
        Choice suspected;
        std::size_t present = 0;
        std::size_t covered = 0;
        const bool near = prefersNear(pool, request);
        const auto nearWindow = std::chrono::duration_cast<Duration>(pool.limits.coverageWindow * nearCoveragePart);
        for (auto& [instance, target] : pool.targets) {
            const bool isCoveredTarget = now - target.lastGrantedAt < (near && !isFar(target, request) ? nearWindow : pool.limits.coverageWindow);
            // No request can cover a target that is at its limit.
            if (target.listed.leaving || (!isCoveredTarget && isAtLimit(target, now)))
                continue;
            ++present;
            if (isCoveredTarget) {
                ++covered;
                continue;
            }
            if (!hasRoom(target, now) || contains(request.excludedInstances, instance))
                continue;
            const double probability = failureProbability(pool, target, now);
            const bool isHealthy = probability <= pool.limits.maxFailureProbability && !isLate(target, work, now);
            Choice& choice = isHealthy ? healthy : suspected;
            const auto sortKey = [&](const PooledTarget& each, double risk) {
                const bool later = near && isFar(each, request);
                return isHealthy ? std::tuple(later, each.lastGrantedAt, 0.0, each.tieBreaker) : std::tuple(later, TimePoint {}, risk, each.tieBreaker);
            };
            if (!choice.target || sortKey(target, probability) < sortKey(*choice.target, choice.failureProbability)) {
                choice.target = &target;
                choice.failureProbability = probability;
            }
        }
        const auto isCovered = [covered, present](double share) { return covered >= static_cast<std::size_t>(std::ceil(share * static_cast<double>(present))); };
        if (healthy.target && !isCovered(requiredCoverage(pool, pool.limits.healthyCoverageShare, now)))
            return healthy;
        // A request that has failed once isn't risked again.
        if (request.isRetry)
            return {};
        // Idempotent requests test suspected targets at any coverage: a hedge soon follows, so that they aren't lost.
        if (request.idempotent)
            return suspected;
        const bool idempotentRequestsTest = now - pool.lastIdempotentAt < pool.limits.coverageWindow;
        return healthy.target || idempotentRequestsTest || isCovered(requiredCoverage(pool, pool.limits.coverageShare, now)) ? Choice {} : suspected;
    }

    // Whether a slot of a healthy target is due, behind the queued requests, within a small part of the usual work.
    bool isHealthySlotDueSoon(const TargetPool& pool, std::span<const Candidate> candidates) noexcept
    {
        std::size_t running = 0;
        for (const Candidate& candidate : candidates)
            running += isHealthy(pool, candidate) ? candidate.target->inFlight.size() : 0;
        // Slots become free at an interval of the usual work divided by the attempts in flight.
        return static_cast<double>(pool.queue.size() + 1) < maxHealthyWaitWorks * static_cast<double>(running);
    }

    // Whether a request waits for a healthy target rather than run at a suspected one that has room. One that isn't
    // idempotent is mostly lost there. Others may be retried; they use the room of suspected targets, which tests these,
    // unless a healthy one is about to have some. A hedge is no better there than the attempt in flight.
    bool waitsForHealthy(const TargetPool& pool, const GrantRequest& request, std::span<const Candidate> candidates) noexcept
    {
        return request.isHedge || !request.idempotent || isHealthySlotDueSoon(pool, candidates);
    }

    // The cheapest of the targets considered so far.
    struct Cheapest {
        Choice choice;
        double cost { 0 };
    };

    void consider(Cheapest& cheapest, const Candidate& candidate, double cost)
    {
        Choice& choice = cheapest.choice;
        if (choice.target && std::tie(cheapest.cost, choice.target->tieBreaker) <= std::tie(cost, candidate.target->tieBreaker))
            return;
        choice.target = candidate.target;
        choice.failureProbability = candidate.failureProbability;
        cheapest.cost = cost;
    }

    bool anyHasRoom(const TargetPool& pool, TimePoint now)
    {
        return std::any_of(pool.targets.begin(), pool.targets.end(), [now](const auto& item) { return !item.second.listed.leaving && hasRoom(item.second, now); });
    }

}

bool isHealthy(const TargetPool& pool, const Candidate& candidate) noexcept { return candidate.failureProbability <= pool.limits.maxFailureProbability; }

unsigned usedSlots(const PooledTarget& target) noexcept { return static_cast<unsigned>(target.inFlight.size()); }

bool isAtLimit(const PooledTarget& target, TimePoint now) noexcept { return target.requestLimit && !hasToken(*target.requestLimit, now); }

// Whether the target can be granted to a request now.
bool hasRoom(const PooledTarget& target, TimePoint now) noexcept { return usedSlots(target) < target.listed.slots && !isAtLimit(target, now); }

bool contains(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

const LatencyProfile& latencyProfileFor(const TargetPool& pool, std::uint64_t workload)
{
    const auto profile = pool.latencyByWorkload.find(workload);
    return profile != pool.latencyByWorkload.end() && profile->second.count >= minWorkloadResponses ? profile->second : pool.overallLatency;
}

double warmUpFactor(const PooledTarget& target, TimePoint now) noexcept { return target.warmUpEndsAt > now ? 2 : 1; }

double soundSlowness(const TargetPool& pool, const PooledTarget& target, TimePoint now) noexcept
{
    return pool.limits.placeByCost ? std::clamp(cost::slownessFactor(target.slowness, now), 1.0, maxSoundSlowness) : 1;
}

cost::Features featuresOf(std::uint64_t workload, std::uint64_t organisation) noexcept { return { workload, { organisation } }; }

void recordWork(TargetPool& pool, PooledTarget& target, const AttemptInFlight& attempt, Duration duration, TimePoint now)
{
    const cost::Features features = featuresOf(attempt.workload, attempt.organisation);
    const double seconds = std::chrono::duration<double>(duration).count();
    const cost::Estimate expected = cost::estimate(pool.costModel, features, now);
    const double warming = warmUpFactor(target, now);
    const double slowness = cost::slownessFactor(target.slowness, now);
    const double lastSlot = attempt.tookLastSlot ? cost::slownessFactor(pool.lastSlotSlowness, now) : 1;
    cost::observe(target.slowness, expected, warming * lastSlot, seconds, now);
    if (attempt.tookLastSlot)
        cost::observe(pool.lastSlotSlowness, expected, warming * slowness, seconds, now);
    cost::observe(pool.costModel, features, seconds / (warming * slowness * lastSlot), now);
}

std::vector<Candidate> presentTargets(TargetPool& pool, TimePoint now)
{
    std::vector<Candidate> candidates;
    for (auto& [instance, target] : pool.targets) {
        if (!target.listed.leaving)
            candidates.push_back({ &target, failureProbability(pool, target, now) });
    }
    return candidates;
}

std::vector<Candidate> eligibleTargets(TargetPool& pool, TimePoint now)
{
    std::vector<Candidate> candidates = presentTargets(pool, now);
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.failureProbability < b.failureProbability; });
    const auto minEligible = static_cast<std::size_t>(std::ceil(pool.limits.minEligibleShare * static_cast<double>(candidates.size())));
    std::size_t eligibleCount = 0;
    while (eligibleCount < candidates.size() && (eligibleCount < minEligible || isHealthy(pool, candidates[eligibleCount])))
        ++eligibleCount;
    candidates.resize(eligibleCount);
    return candidates;
}

TargetJudgement judge(const TargetPool& pool, const PooledTarget& target, const GrantRequest& request, TimePoint now)
{
    const ExpectedWork work = expectedWork(pool, request, now);
    TargetJudgement judgement;
    judgement.cost = placementCost(pool, target, failureProbability(pool, target, now), request, work, now);
    if (!work.estimate.isKnown())
        return judgement;
    judgement.slowness = expectedSlowness(target, now);
    judgement.completionSeconds = completionSeconds(target, work, judgement.slowness);
    judgement.remainingSeconds = remainingWorks(target, work, judgement.slowness, now) * work.usualSeconds;
    judgement.isLate = isLate(target, work, now);
    return judgement;
}

Choice chooseTarget(TargetPool& pool, const GrantRequest& request, TimePoint now)
{
    if (!anyHasRoom(pool, now)) {
        Choice none;
        none.hasEligible = std::any_of(pool.targets.begin(), pool.targets.end(), [&request](const auto& item) { return !item.second.listed.leaving && !contains(request.excludedInstances, item.first); });
        return none;
    }
    if (Choice uncovered = chooseForCoverage(pool, request, now); uncovered.target)
        return uncovered;
    const ExpectedWork work = expectedWork(pool, request, now);
    const std::vector<Candidate> candidates = presentTargets(pool, now);
    Cheapest healthy;
    Cheapest suspected;
    bool hasEligible = false;
    bool hasHealthy = false;
    for (const Candidate& candidate : candidates) {
        if (contains(request.excludedInstances, candidate.target->listed.instance))
            continue;
        const bool isHealthyTarget = isHealthy(pool, candidate);
        hasEligible = true;
        hasHealthy = hasHealthy || isHealthyTarget;
        if (hasRoom(*candidate.target, now))
            consider(isHealthyTarget ? healthy : suspected, candidate, placementCost(pool, *candidate.target, candidate.failureProbability, request, work, now));
    }
    Choice choice = healthy.choice.target ? healthy.choice : suspected.choice;
    choice.hasEligible = hasEligible;
    if (!choice.target)
        return choice;
    // Retries take a slow target rather than wait for a faster one.
    const bool waits = healthy.choice.target ? !request.isRetry && isBetterToWait(*choice.target, candidates, pool.queue.size(), work, now) : hasHealthy && waitsForHealthy(pool, request, candidates);
    if (waits)
        std::swap(choice.target, choice.fallback);
    if (request.isHedge)
        choice.fallback = nullptr;
    return choice;
}

}
