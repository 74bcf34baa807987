#include "FairQueue.h"

#include "Admission.h"
#include "Placement.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace flamingowick::grants {

namespace {

    // One in so many releases goes to a request past its objective while others can still meet theirs: late responses are
    // worth less, but a refusal after a long wait is worth nothing.
    constexpr unsigned lateServiceInterval = 2;
    // Share of the releases that more urgent requests are expected to take at their recent rate. Their rate varies within
    // the wait, so that keeping all of it would leave slots idle.
    constexpr double urgentWeight = 0.5;
    // Least share of the releases that is assumed for a priority while more urgent ones arrive.
    constexpr double minRateShare = 0.125;
    // How fast the allowed wait shrinks: it is halved when the queue has not been empty for this many times that wait.
    constexpr double waitsToHalf = 10;
    // Share of the time to the latest start up to which a wait may be expected, since half of the waits are longer than
    // expected.
    constexpr double waitMargin = 0.85;
    // A queued request is refused when even its expected wait divided by this exceeds the time left, as the rate varies.
    constexpr int hopelessWaitDivisor = 2;
    // Divisor of the caller's time that bounds the delay it is told, so that it has time left for the second attempt.
    constexpr int maxReturnDivisor = 3;
    // Cost of a request in units of a mean one.
    constexpr double meanCost = 1;

    Duration durationOf(double seconds)
    {
        constexpr double longest = 3600;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, longest)));
    }

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    // Returns the rate at which requests of the priority are served, with room kept for the more urgent ones.
    double rateFor(const TargetPool& pool, unsigned priority, double weightOfUrgent, const Capacity& capacity, TimePoint now)
    {
        const double releases = releasesPerSecond(pool) * capacity.awaitedShare;
        return std::max(releases - weightOfUrgent * arrivalsPerSecond(pool.arrivals, priority, now), releases * minRateShare);
    }

    // The longer an overload lasts, the shorter the queue is kept: a standing queue serves no more requests, it only makes all
    // of them late.
    Duration allowedWait(Duration longestWait, Duration overloaded)
    {
        const double longest = std::max(secondsOf(longestWait), 1e-3);
        return durationOf(waitMargin * longest / (1 + secondsOf(overloaded) / (waitsToHalf * longest)));
    }

    // Number of queued requests of one priority that are served before a newcomer, and those past their objective.
    struct Ahead {
        std::size_t onTime { 0 };
        std::size_t late { 0 };
    };

    Ahead countAhead(const TargetPool& pool, const QueuedRequest& newcomer, TimePoint now)
    {
        const unsigned priority = newcomer.request.priority;
        const std::uint64_t organisation = newcomer.request.organisation;
        Ahead ahead;
        std::unordered_map<std::uint64_t, std::size_t> queuedByOrganisation;
        std::size_t ownAhead = 0;
        for (const auto& [queuedPriority, queued] : pool.queue) {
            if (queuedPriority > priority)
                break;
            if (isLate(queued, now))
                ++ahead.late;
            else if (queuedPriority < priority)
                ++ahead.onTime;
            else if (queued.request.organisation != organisation)
                ++queuedByOrganisation[queued.request.organisation];
            else if (queued.latestStartForObjective <= newcomer.latestStartForObjective)
                ++ownAhead;
        }
        const double start = nextStart(pool.shares, organisation) + static_cast<double>(ownAhead) * meanCost / weightOf(pool.shares, organisation);
        ahead.onTime += ownAhead;
        for (const auto& [other, count] : queuedByOrganisation) {
            const double before = std::ceil(std::max(start - nextStart(pool.shares, other), 0.0) * weightOf(pool.shares, other) / meanCost);
            ahead.onTime += std::min(count, static_cast<std::size_t>(before));
        }
        return ahead;
    }

}

bool isLate(const QueuedRequest& queued, TimePoint now) noexcept { return now > queued.latestStartForObjective; }

Queue::iterator nextInOrder(TargetPool& pool, const std::function<bool(const GrantRequest&)>& accepts, TimePoint now)
{
    const auto none = pool.queue.end();
    auto onTime = none;
    auto late = none;
    std::tuple<double, TimePoint> lowest;
    // The requests are in the order of priority, so that the first priority with an accepted request decides.
    for (auto queued = pool.queue.begin(); queued != none; ++queued) {
        if (onTime != none && queued->first != onTime->first)
            break;
        if (late != none && queued->first != late->first)
            break;
        if (!accepts(queued->second.request))
            continue;
        if (isLate(queued->second, now)) {
            if (late == none || queued->second.latestStart < late->second.latestStart)
                late = queued;
            continue;
        }
        const std::tuple key { nextStart(pool.shares, queued->second.request.organisation), queued->second.latestStartForObjective };
        if (onTime == none || key < lowest) {
            onTime = queued;
            lowest = key;
        }
    }
    if (onTime == none)
        return late;
    return late != none && pool.servedSinceLate + 1 >= lateServiceInterval ? late : onTime;
}

void recordServed(TargetPool& pool, const QueuedRequest& queued, TimePoint now)
{
    pool.servedSinceLate = isLate(queued, now) ? 0 : pool.servedSinceLate + 1;
    recordService(pool.shares, queued.request.organisation, meanCost);
}

Admission admitByShares(TargetPool& pool, const GrantRequest& request, const Capacity& capacity, TimePoint now)
{
    Admission admission;
    const Duration latency = expectedLatency(pool, request.workload);
    const TimePoint latestStart = request.deadline - latency;
    const TimePoint latestStartForObjective = std::min(now + maxQueueWait(pool, request), latestStart);
    admission.request = { request, now, latestStart, latestStartForObjective };
    const Ahead ahead = countAhead(pool, admission.request, now);
    const double rate = rateFor(pool, request.priority, urgentWeight, capacity, now);
    const Duration limited = capacity.timeToToken.value_or(Duration::zero());
    const Duration wait = limited + durationOf(static_cast<double>(ahead.onTime + 1) / rate);
    const Duration overloaded = pool.queueNonEmptySince ? now - *pool.queueNonEmptySince : Duration::zero();
    const Duration longestWait = allowedWait(latestStartForObjective - now, overloaded);
    // An overload that has lasted for some time is expected to last for as long again, in which late requests come last.
    const Duration waitWhenLate = limited + overloaded + durationOf(static_cast<double>(ahead.onTime + ahead.late + 1) / rateFor(pool, request.priority, 1, capacity, now));
    // Hedges aren't queued: the first attempt may still answer.
    admission.meetsObjective = wait <= longestWait;
    admission.queued = !request.isHedge && (admission.meetsObjective || now + waitWhenLate <= latestStart);
    admission.roomAfter = overloaded + std::max(wait - longestWait, durationOf(1 / rate));
    return admission;
}

Duration bookReturn(TargetPool& pool, const GrantRequest& request, Duration roomAfter, TimePoint now)
{
    const TimePoint returnAt = std::max(now + roomAfter, pool.nextReturnAt);
    const Duration longest = std::max<Duration>(request.deadline - now, Duration::zero()) / maxReturnDivisor;
    if (returnAt - now <= longest) {
        pool.nextReturnAt = returnAt + durationOf(1 / releasesPerSecond(pool));
        return returnAt - now;
    }
    // No room is expected in that time, so that the returns are only spread.
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t step = combineHashes(request.attemptId.entry, request.attemptId.number) % steps;
    return longest / 2 + longest / 2 * step / steps;
}

std::vector<GrantRequest> removeHopeless(TargetPool& pool, TimePoint now)
{
    struct Ranked {
        Queue::iterator queued;
        bool late;
        double start;
    };
    std::vector<Ranked> order;
    std::unordered_map<std::uint64_t, double> startByOrganisation;
    for (auto queued = pool.queue.begin(); queued != pool.queue.end(); ++queued)
        order.push_back({ queued, isLate(queued->second, now), 0 });
    const auto latestStartOf = [](const Ranked& each) { return each.late ? each.queued->second.latestStart : each.queued->second.latestStartForObjective; };
    std::sort(order.begin(), order.end(), [&latestStartOf](const Ranked& a, const Ranked& b) { return latestStartOf(a) < latestStartOf(b); });
    for (Ranked& each : order) {
        if (each.late)
            continue;
        const std::uint64_t organisation = each.queued->second.request.organisation;
        const auto [start, isNew] = startByOrganisation.try_emplace(organisation, nextStart(pool.shares, organisation));
        each.start = start->second;
        start->second += meanCost / weightOf(pool.shares, organisation);
    }
    std::stable_sort(order.begin(), order.end(), [](const Ranked& a, const Ranked& b) { return std::tuple(a.queued->first, a.late, a.start) < std::tuple(b.queued->first, b.late, b.start); });
    std::vector<GrantRequest> hopeless;
    const double releases = releasesPerSecond(pool);
    std::size_t ahead = 0;
    for (const Ranked& each : order) {
        const Duration timeToStart = each.queued->second.latestStart - now;
        const Duration wait = durationOf(static_cast<double>(ahead + 1) / releases);
        if (timeToStart > Duration::zero() && timeToStart > wait / hopelessWaitDivisor) {
            ++ahead;
            continue;
        }
        hopeless.push_back(std::move(each.queued->second.request));
        pool.queue.erase(each.queued);
    }
    return hopeless;
}

}
