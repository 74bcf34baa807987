#include "flamingowick/grants/TargetPool.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace flamingowick::grants {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Weights of the placement, in units of the probability that a request is lost.
    // A request shares its target's fate with the others in flight there.
    constexpr double sharedFateWeight = 0.06;
    // Targets slow down when they are nearly full.
    constexpr double lastSlotWeight = 0.05;
    // A target that has just started takes about twice as long.
    constexpr double coldWeight = 0.15;
    // Traffic between failure domains and new connections are priced.
    constexpr double foreignDomainWeight = 0.01;
    constexpr double newConnectionWeight = 0.03;
    // Memory of the pace at which slots become free, and the least share of the undisturbed pace that is
    // assumed, so that a lull is not taken for a standstill.
    constexpr double releaseMemorySeconds = 1;
    constexpr double leastPaceShare = 0.1;

    // An attempt whose end was never reported gives its slot back after this time.
    constexpr Duration attemptLimit { seconds(12) };
    // Share of answers by whose time a waiting request must still be able to finish.
    constexpr double servedQuantile = 0.6;
    // Share of answers by whose time a request that waits should finish within its objective.
    constexpr double timelyQuantile = 0.7;
    constexpr int leastWaitPart = 4;
    // A waiting request is given up once even this part of the expected wait is too long: the pace varies.
    constexpr int hopelessWaitPart = 2;
    constexpr Duration leastRetryAfter { milliseconds(100) };

    unsigned usedSlots(const PooledTarget& target) noexcept { return static_cast<unsigned>(target.inFlight.size()); }

    bool contains(std::span<const std::string> names, std::string_view name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    struct Candidate {
        PooledTarget* target { nullptr };
        double failing { 0 };
    };

    // Targets that take new requests, likeliest sound first.
    std::vector<Candidate> eligibleTargets(TargetPool& pool, TimePoint now)
    {
        std::vector<Candidate> candidates;
        for (auto& [instance, target] : pool.targets) {
            if (!target.listed.leaving)
                candidates.push_back({ &target, failing(pool, target, now) });
        }
        std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.failing < b.failing; });
        const auto floor = static_cast<std::size_t>(std::ceil(pool.limits.floorShare * static_cast<double>(candidates.size())));
        std::size_t kept = 0;
        while (kept < candidates.size() && (kept < floor || candidates[kept].failing <= pool.limits.quarantineAbove))
            ++kept;
        candidates.resize(kept);
        return candidates;
    }

    // Requests that may be repeated try targets of unknown standing, so that others need not.
    constexpr double idempotentRiskShare = 0.4;

    // A workload's own profile counts once it has seen a few answers.
    constexpr std::size_t ownProfileAnswers = 12;
    constexpr std::size_t maxWorkloads = 64;

    const LatencyProfile& profileOf(const TargetPool& pool, std::uint64_t workload)
    {
        const auto own = pool.workloads.find(workload);
        return own != pool.workloads.end() && own->second.count >= ownProfileAnswers ? own->second : pool.latency;
    }

    double costOf(const Candidate& candidate, const GrantRequest& request, TimePoint now)
    {
        const PooledTarget& target = *candidate.target;
        const unsigned used = usedSlots(target);
        double cost = candidate.failing * (request.idempotent ? idempotentRiskShare : 1) + sharedFateWeight * used;
        if (used + 1 >= target.listed.slots && target.listed.slots > 1)
            cost += lastSlotWeight;
        if (target.coldUntil > now)
            cost += coldWeight;
        if (target.listed.failureDomain != request.failureDomain)
            cost += foreignDomainWeight;
        if (!contains(request.warm, target.listed.instance))
            cost += newConnectionWeight;
        return cost;
    }

    struct Choice {
        PooledTarget* target { nullptr };
        double failing { 0 };
        bool anyEligible { false };
    };

    // Memory of the share of requests that are lost.
    constexpr double lossMemorySeconds = 2;

    void recordEnd(RecentLosses& losses, bool lost, TimePoint now) noexcept
    {
        const double kept = std::exp(-std::chrono::duration<double>(now - losses.at).count() / lossMemorySeconds);
        losses.ended = losses.ended * kept + 1;
        losses.lost = losses.lost * kept + (lost ? 1 : 0);
        losses.at = now;
    }

    // Returns the share of the targets to be covered: the given one while few requests are lost, all once
    // many are.
    double coverageNeeded(const TargetPool& pool, double share) noexcept
    {
        // A few requests that ended say little.
        constexpr double assumedServed = 10;
        const PoolLimits& limits = pool.limits;
        const double lost = pool.losses.lost / (pool.losses.ended + assumedServed);
        const double doubt = (lost - limits.trustBelow) / (limits.doubtAbove - limits.trustBelow);
        return share + (1 - share) * std::clamp(doubt, 0.0, 1.0);
    }

    // Returns the target that has waited longest for a request among those that look sound and had none
    // within the window. When there is none, those under suspicion follow, likeliest sound first. Returns
    // no target when enough are covered.
    Choice chooseForCoverage(TargetPool& pool, const GrantRequest& request, TimePoint now)
    {
        Choice sound;
        Choice suspect;
        std::size_t present = 0;
        std::size_t covered = 0;
        for (auto& [instance, target] : pool.targets) {
            if (target.listed.leaving)
                continue;
            ++present;
            if (now - target.lastGranted < pool.limits.coverageWindow) {
                ++covered;
                continue;
            }
            if (usedSlots(target) >= target.listed.slots || contains(request.avoid, instance))
                continue;
            const double probability = failing(pool, target, now);
            const bool looksSound = probability <= pool.limits.quarantineAbove;
            Choice& choice = looksSound ? sound : suspect;
            const auto rank = [looksSound](const PooledTarget& each, double chance) { return looksSound ? std::tuple(each.lastGranted, 0.0, each.order) : std::tuple(TimePoint {}, chance, each.order); };
            if (!choice.target || rank(target, probability) < rank(*choice.target, choice.failing)) {
                choice.target = &target;
                choice.failing = probability;
            }
        }
        const auto reaches = [covered, present](double share) { return covered >= static_cast<std::size_t>(std::ceil(share * static_cast<double>(present))); };
        if (sound.target && !reaches(coverageNeeded(pool, pool.limits.soundCoverageShare)))
            return sound;
        // A repeatable request loses nothing by it, since it is sent once more at once.
        if (request.idempotent)
            return suspect;
        const bool leftToOthers = now - pool.lastIdempotent < pool.limits.coverageWindow;
        return sound.target || leftToOthers || reaches(coverageNeeded(pool, pool.limits.coverageShare)) ? Choice {} : suspect;
    }

    bool hasFreeSlot(const TargetPool& pool)
    {
        return std::any_of(pool.targets.begin(), pool.targets.end(), [](const auto& item) { return !item.second.listed.leaving && usedSlots(item.second) < item.second.listed.slots; });
    }

    Choice choose(TargetPool& pool, const GrantRequest& request, TimePoint now)
    {
        if (!hasFreeSlot(pool)) {
            Choice none;
            none.anyEligible = std::any_of(pool.targets.begin(), pool.targets.end(), [&request](const auto& item) { return !item.second.listed.leaving && !contains(request.avoid, item.first); });
            return none;
        }
        if (Choice untested = chooseForCoverage(pool, request, now); untested.target)
            return untested;
        Choice choice;
        double best = 0;
        for (const Candidate& candidate : eligibleTargets(pool, now)) {
            if (contains(request.avoid, candidate.target->listed.instance))
                continue;
            choice.anyEligible = true;
            if (usedSlots(*candidate.target) >= candidate.target->listed.slots)
                continue;
            const double cost = costOf(candidate, request, now);
            if (!choice.target || std::tie(cost, candidate.target->order) < std::tie(best, choice.target->order)) {
                choice.target = candidate.target;
                choice.failing = candidate.failing;
                best = cost;
            }
        }
        return choice;
    }

    Decision grant(TargetPool& pool, const GrantRequest& request, const Choice& choice, TimePoint now)
    {
        Decision decision;
        decision.key = request.key;
        decision.label = request.label;
        decision.instance = choice.target->listed.instance;
        decision.unusualAfter = doubtedAfter(pool.model, profileOf(pool, request.workload), choice.failing);
        decision.failing = choice.failing;
        decision.inFlight = usedSlots(*choice.target);
        decision.waiting = pool.waiting.size();
        choice.target->inFlight.emplace(request.key, PooledAttempt { now, request.workload });
        choice.target->lastGranted = now;
        pool.attempts[request.key] = decision.instance;
        return decision;
    }

    Decision refuse(TargetPool& pool, const GrantRequest& request, RefusalReason reason, Duration retryAfter, TimePoint now)
    {
        if (reason == RefusalReason::NoRoom && !request.repeat)
            recordEnd(pool.losses, true, now);
        Decision decision;
        decision.key = request.key;
        decision.label = request.label;
        decision.verdict = Verdict::Refused;
        decision.reason = reason;
        decision.retryAfter = std::max(retryAfter, leastRetryAfter);
        decision.waiting = pool.waiting.size();
        return decision;
    }

    unsigned eligibleSlots(TargetPool& pool, TimePoint now)
    {
        unsigned slots = 0;
        for (const Candidate& candidate : eligibleTargets(pool, now))
            slots += candidate.target->listed.slots;
        return slots;
    }

    double currentRate(const ReleaseRate& releases, TimePoint now) noexcept
    {
        const double elapsed = std::chrono::duration<double>(now - releases.at).count();
        return releases.perSecond * std::exp(-elapsed / releaseMemorySeconds);
    }

    void recordRelease(ReleaseRate& releases, TimePoint now) noexcept
    {
        releases.perSecond = currentRate(releases, now) + 1 / releaseMemorySeconds;
        releases.at = now;
    }

    // Slots that become free in a second: by the pace of late, or by the usual latency while little is
    // known of that.
    double expectedPace(const TargetPool& pool, unsigned slots, TimePoint now)
    {
        const double typical = std::chrono::duration<double>(quantile(pool.latency, 0.5)).count();
        const double undisturbed = std::max(1U, slots) / std::max(typical, 1e-3);
        const double saturated = pool.saturatedSince ? std::chrono::duration<double>(now - *pool.saturatedSince).count() : 0;
        const double trust = 1 - std::exp(-saturated / releaseMemorySeconds);
        const double observed = std::max(currentRate(pool.releases, now), undisturbed * leastPaceShare);
        return trust * observed + (1 - trust) * undisturbed;
    }

    // How long until the given number of waiting requests has been served.
    Duration waitAtPace(double pace, std::size_t ahead)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((static_cast<double>(ahead) + 1) / pace));
    }

    Duration expectedWait(const TargetPool& pool, std::size_t ahead, unsigned slots, TimePoint now)
    {
        return waitAtPace(expectedPace(pool, slots, now), ahead);
    }

    // The last moment at which a waiting request is still worth sending.
    TimePoint lastUsefulStart(const TargetPool& pool, const GrantRequest& request)
    {
        return request.deadline - quantile(profileOf(pool, request.workload), servedQuantile);
    }

    // The longest wait that a request is let into the queue for. A longer queue serves no more requests
    // when targets are short of slots; it only makes all of them late.
    Duration longestWait(const TargetPool& pool, const GrantRequest& request)
    {
        const Duration timely = request.objective - quantile(profileOf(pool, request.workload), timelyQuantile);
        return std::max<Duration>(timely, request.objective / leastWaitPart);
    }

    std::vector<Decision> serveWaiting(TargetPool& pool, TimePoint now)
    {
        std::vector<Decision> decisions;
        // What finds no target for one request finds none for the others of its kind. Under overload this is
        // called for each answer, with hundreds waiting.
        std::array<bool, 2> noTargetFor { false, false };
        for (auto waiting = pool.waiting.begin(); waiting != pool.waiting.end() && !(noTargetFor[0] && noTargetFor[1]);) {
            const GrantRequest& request = waiting->second.request;
            bool& noTarget = noTargetFor.at(request.idempotent ? 1 : 0);
            const Choice choice = noTarget ? Choice {} : choose(pool, request, now);
            if (!choice.target) {
                noTarget = noTarget || request.avoid.empty();
                ++waiting;
                continue;
            }
            decisions.push_back(grant(pool, waiting->second.request, choice, now));
            waiting = pool.waiting.erase(waiting);
        }
        if (pool.waiting.empty())
            pool.saturatedSince.reset();
        return decisions;
    }

    void learnLatency(TargetPool& pool, std::uint64_t workload, Duration latency)
    {
        recordLatency(pool.latency, latency);
        auto own = pool.workloads.find(workload);
        if (own == pool.workloads.end() && pool.workloads.size() < maxWorkloads) {
            own = pool.workloads.emplace(workload, LatencyProfile {}).first;
            own->second.assumed = pool.latency.assumed;
        }
        if (own != pool.workloads.end())
            recordLatency(own->second, latency);
    }

    void releaseAttempt(TargetPool& pool, const AttemptKey& key, std::string_view instance)
    {
        if (const auto target = pool.targets.find(instance); target != pool.targets.end())
            target->second.inFlight.erase(key);
    }

    bool waits(const TargetPool& pool, const AttemptKey& key)
    {
        return std::any_of(pool.waiting.begin(), pool.waiting.end(), [&key](const auto& item) { return item.second.request.key == key; });
    }

}

std::string_view toString(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::NoTarget:
        return "no-target";
    case RefusalReason::NoRoom:
        return "no-room";
    case RefusalReason::NoRetry:
        return "no-retry";
    }
    return "none";
}

double failing(const TargetPool& pool, const PooledTarget& target, TimePoint now)
{
    double probability = relaxed(target.belief, pool.model, now);
    // A cold target is slow, so that its requests take longer without meaning harm.
    const int slowness = target.coldUntil > now ? 2 : 1;
    for (const auto& [key, attempt] : target.inFlight)
        probability = updated(probability, pendingRatio(pool.model, profileOf(pool, attempt.workload), (now - attempt.startedAt) / slowness));
    return probability;
}

std::vector<Decision> setTargets(TargetPool& pool, std::span<const ListedTarget> listed, TimePoint now)
{
    std::map<std::string, PooledTarget, std::less<>> targets;
    for (const ListedTarget& item : listed) {
        PooledTarget target;
        if (const auto known = pool.targets.find(item.instance); known != pool.targets.end()) {
            target = std::move(known->second);
        } else {
            target.belief = { pool.model.failingShare, now };
            target.coldUntil = now + item.cold;
            target.lastGranted = now;
            target.order = combineHashes(stableHash(item.instance), pool.salt);
        }
        target.listed = item;
        targets.emplace(item.instance, std::move(target));
    }
    pool.targets = std::move(targets);
    return serveWaiting(pool, now);
}

std::vector<Decision> submit(TargetPool& pool, GrantRequest request, TimePoint now)
{
    // A repeated message about an attempt that runs: the first answer was lost.
    if (const auto running = pool.attempts.find(request.key); running != pool.attempts.end()) {
        Decision again;
        again.key = request.key;
        again.label = request.label;
        again.instance = running->second;
        if (const auto target = pool.targets.find(running->second); target != pool.targets.end())
            again.unusualAfter = doubtedAfter(pool.model, profileOf(pool, request.workload), failing(pool, target->second, now));
        return { again };
    }
    if (waits(pool, request.key))
        return {};
    if (request.idempotent)
        pool.lastIdempotent = now;
    if (request.repeat) {
        if (pool.retries.tokens < 1)
            return { refuse(pool, request, RefusalReason::NoRetry, Duration::zero(), now) };
    } else {
        earnRetry(pool.retries);
    }
    const Choice choice = choose(pool, request, now);
    if (choice.target) {
        if (request.repeat)
            spendRetry(pool.retries);
        return { grant(pool, request, choice, now) };
    }
    if (!choice.anyEligible)
        return { refuse(pool, request, RefusalReason::NoTarget, seconds(1), now) };
    const auto ahead = static_cast<std::size_t>(std::distance(pool.waiting.begin(), pool.waiting.upper_bound(request.rank)));
    const unsigned slots = eligibleSlots(pool, now);
    const Duration wait = expectedWait(pool, ahead, slots, now);
    // Further attempts don't queue: their first attempt may still answer.
    if (request.repeat || ahead >= std::size_t { pool.limits.waitingPerSlot } * slots || now + wait > lastUsefulStart(pool, request) || wait > longestWait(pool, request))
        return { refuse(pool, request, RefusalReason::NoRoom, expectedWait(pool, pool.waiting.size(), slots, now), now) };
    const unsigned rank = request.rank;
    pool.waiting.emplace(rank, WaitingRequest { std::move(request), now });
    if (!pool.saturatedSince)
        pool.saturatedSince = now;
    return {};
}

void noteStarted(TargetPool& pool, const AttemptKey& key, std::string_view instance, const PooledAttempt& started)
{
    const auto target = pool.targets.find(instance);
    if (target == pool.targets.end())
        return;
    target->second.inFlight.emplace(key, started);
    pool.attempts[key] = std::string(instance);
}

std::vector<Decision> finish(TargetPool& pool, const AttemptKey& key, Outcome outcome, Duration lasted, TimePoint now)
{
    const auto attempt = pool.attempts.find(key);
    if (attempt == pool.attempts.end()) {
        withdraw(pool, key);
        return {};
    }
    const auto target = pool.targets.find(attempt->second);
    std::uint64_t workload = 0;
    if (target != pool.targets.end()) {
        if (const auto running = target->second.inFlight.find(key); running != target->second.inFlight.end()) {
            workload = running->second.workload;
            target->second.inFlight.erase(running);
        }
        observe(target->second.belief, pool.model, profileOf(pool, workload), outcome, lasted, now);
    }
    pool.attempts.erase(attempt);
    recordRelease(pool.releases, now);
    if (outcome != Outcome::Abandoned)
        recordEnd(pool.losses, outcome != Outcome::Succeeded, now);
    if (outcome == Outcome::Succeeded)
        learnLatency(pool, workload, lasted);
    return serveWaiting(pool, now);
}

void withdraw(TargetPool& pool, const AttemptKey& key)
{
    for (auto waiting = pool.waiting.begin(); waiting != pool.waiting.end(); ++waiting) {
        if (waiting->second.request.key == key) {
            pool.waiting.erase(waiting);
            return;
        }
    }
}

std::vector<Decision> expire(TargetPool& pool, TimePoint now)
{
    std::vector<std::pair<AttemptKey, std::string>> lost;
    for (const auto& [instance, target] : pool.targets) {
        for (const auto& [key, attempt] : target.inFlight) {
            if (now - attempt.startedAt > attemptLimit)
                lost.emplace_back(key, instance);
        }
    }
    for (const auto& [key, instance] : lost) {
        releaseAttempt(pool, key, instance);
        pool.attempts.erase(key);
    }
    std::vector<Decision> decisions = serveWaiting(pool, now);
    if (pool.waiting.empty())
        return decisions;
    const unsigned slots = eligibleSlots(pool, now);
    const double pace = expectedPace(pool, slots, now);
    std::map<std::uint64_t, Duration> usual;
    std::size_t ahead = 0;
    for (auto waiting = pool.waiting.begin(); waiting != pool.waiting.end();) {
        const GrantRequest& request = waiting->second.request;
        const auto [known, isNew] = usual.try_emplace(request.workload);
        if (isNew)
            known->second = quantile(profileOf(pool, request.workload), servedQuantile);
        const Duration left = request.deadline - known->second - now;
        if (left > Duration::zero() && left > waitAtPace(pace, ahead) / hopelessWaitPart) {
            ++waiting;
            ++ahead;
            continue;
        }
        const GrantRequest late = std::move(waiting->second.request);
        waiting = pool.waiting.erase(waiting);
        decisions.push_back(refuse(pool, late, RefusalReason::NoRoom, expectedWait(pool, pool.waiting.size(), slots, now), now));
    }
    return decisions;
}

}
