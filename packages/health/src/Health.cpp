#include "flamingowick/health/Health.h"

#include "flamingowick/health/detail/Evaluation.h"
#include "flamingowick/model/Invariant.h"

#include <algorithm>
#include <utility>

namespace flamingowick::health {

namespace {

    constexpr Duration suspicionDuration = std::chrono::seconds(5);
    constexpr Duration pruneInterval = std::chrono::seconds(10);

    std::vector<PoolMember> membersAt(const HealthState& state, TimePoint now)
    {
        std::vector<PoolMember> members;
        members.reserve(state.targets.size());
        for (const auto& [address, listed] : state.targets)
            members.push_back({ address, listed.leaving, now < listed.warmUntil });
        return members;
    }

    std::vector<Restriction> wantedRestrictions(const HealthState& state, TimePoint now)
    {
        std::vector<Restriction> wanted;
        for (const auto& [scope, record] : state.records) {
            const auto standing = standingAt(record, state.policy, now);
            if (standing.standing != Standing::Healthy && state.targets.contains(scope.target))
                wanted.push_back({ scope, standing, record.severity });
        }
        return wanted;
    }

    FloorRequest makeFloorRequest(const HealthState& state, std::span<const PoolMember> members, std::span<const Restriction> wanted)
    {
        return { members, wanted, state.limits.slots, state.policy.capacityFloor };
    }

    const Restriction* findScope(std::span<const Restriction> restrictions, const Scope& scope) noexcept
    {
        const auto found = std::find_if(restrictions.begin(), restrictions.end(), [&](const Restriction& restriction) {
            return restriction.scope == scope;
        });
        return found == restrictions.end() ? nullptr : &*found;
    }

    Action actionFor(const HealthState& state, const Restriction& restriction)
    {
        const auto& scope = restriction.scope;
        const auto& record = state.records.at(scope);
        const auto standing = restriction.standing;
        if (standing.standing != Standing::Ejected)
            return Readmit { scope.target, standing.share, standing.standing == Standing::Trickle, scope.fromFailureDomain };
        if (scope.fromFailureDomain.empty())
            return Eject { scope.target, endOf(record, state.policy), record.reason };
        return PathAvoid { scope.target, scope.fromFailureDomain, endOf(record, state.policy), record.reason };
    }

    void appendRestrictionActions(const HealthState& state, std::span<const Restriction> previouslyApplied, std::vector<Action>& actions)
    {
        for (const auto& restriction : previouslyApplied) {
            const auto& scope = restriction.scope;
            if (!findScope(state.applied, scope) && state.targets.contains(scope.target))
                actions.emplace_back(Readmit { scope.target, 1, false, scope.fromFailureDomain });
        }
        for (const auto& restriction : state.applied) {
            const auto* old = findScope(previouslyApplied, restriction.scope);
            if (!old || old->standing != restriction.standing)
                actions.push_back(actionFor(state, restriction));
        }
    }

    std::vector<Scope> scopesOf(std::span<const Restriction> restrictions)
    {
        std::vector<Scope> scopes;
        for (const auto& restriction : restrictions)
            scopes.push_back(restriction.scope);
        return scopes;
    }

    // Recomputes the restrictions in force from the records, targets, document and time.
    void updateRestrictions(HealthState& state, TimePoint now, std::vector<Action>& actions)
    {
        if (state.records.empty() && state.applied.empty())
            return;
        const auto members = membersAt(state, now);
        const auto wanted = wantedRestrictions(state, now);
        const auto request = makeFloorRequest(state, members, wanted);
        auto verdict = state.decisions.floor(request);
        checkInvariant(respectsFloor(request, verdict.applied), Invariant::CapacityFloor, "ejections go below the capacity floor");
        const auto previouslyApplied = std::exchange(state.applied, std::move(verdict.applied));
        appendRestrictionActions(state, previouslyApplied, actions);
        const auto previouslyHeldBack = std::exchange(state.heldBack, std::move(verdict.heldBack));
        auto heldBackScopes = scopesOf(state.heldBack);
        if (heldBackScopes.empty() || heldBackScopes == scopesOf(previouslyHeldBack))
            return;
        const auto floor = floorSlots(members.size(), state.limits.slots, state.policy.capacityFloor);
        actions.emplace_back(FloorHit { healthyCapacity(request, state.applied, ""), floor, std::move(heldBackScopes) });
    }

    // Evaluates a target whose evidence has changed.
    void reevaluateTarget(HealthState& state, std::string_view target, TimePoint now)
    {
        detail::evaluateTarget(state, target, now);
        detail::startRampIfCleared(state, target, now);
    }

    void checkSharedCause(HealthState& state, TimePoint now, std::vector<Action>& actions)
    {
        if (detail::updateSharedCause(state, now))
            actions.emplace_back(SharedCause { state.sharedCause.on });
    }

    // Returns true if a record reduces the target's traffic share, from any failure domain.
    bool isRestricted(const HealthState& state, std::string_view target, TimePoint now)
    {
        for (auto it = state.records.lower_bound({ TargetAddress(target), "" }); it != state.records.end() && it->first.target == target; ++it) {
            if (standingAt(it->second, state.policy, now).standing != Standing::Healthy)
                return true;
        }
        return false;
    }

    Counts countsOf(const Observation& observation, bool slow) noexcept
    {
        const auto failed = observation.result != Result::Ok;
        return { 1, failed ? 1U : 0U, slow ? 1U : 0U, 0 };
    }

    void visit(HealthState& state, const Observation& observation, TimePoint now, std::vector<Action>& actions)
    {
        const auto listed = state.targets.find(observation.target);
        if (listed == state.targets.end())
            return;
        auto& baseline = state.baselines[observation.idempotent ? 1 : 0];
        const auto succeeded = observation.result == Result::Ok;
        const auto warming = now < listed->second.warmUntil;
        const auto slow = succeeded && !warming && isSlow(baseline, observation.latency, state.policy.slowFactor);
        if (succeeded)
            addLatency(baseline, observation.target, observation.latency);
        addCounts(state.evidence[observation.target], observation.observer, now, countsOf(observation, slow));
        if (succeeded && !slow && !isRestricted(state, observation.target, now))
            return;
        if (!succeeded || slow)
            checkSharedCause(state, now, actions);
        reevaluateTarget(state, observation.target, now);
        updateRestrictions(state, now, actions);
    }

    bool isWithinClockTolerance(const EjectionRecord& record, TimePoint now) noexcept
    {
        return record.ejectedAt <= now + clockTolerance && record.changedAt <= now + clockTolerance;
    }

    void mergeRecord(HealthState& state, const ScopedRecord& incoming)
    {
        const auto found = state.records.find(incoming.scope);
        if (found == state.records.end())
            state.records.emplace(incoming.scope, incoming.record);
        else
            found->second = EjectionRecord(state.decisions.join(found->second, incoming.record));
    }

    // Merges a peer's counters and returns the targets for which they add errors or slow responses.
    std::vector<TargetAddress> mergeSummaryCounters(HealthState& state, const PooledSummary& summary, TimePoint now)
    {
        std::vector<TargetAddress> worsened;
        for (const auto& counters : summary.counters) {
            const auto added = state.decisions.merge(state.evidence[counters.target], summary.observer, counters, now);
            if (added.errors || added.slow)
                worsened.push_back(counters.target);
        }
        return worsened;
    }

    void visit(HealthState& state, const PooledSummary& summary, TimePoint now, std::vector<Action>& actions)
    {
        for (const auto& record : summary.records) {
            if (isWithinClockTolerance(record.record, now) && !isSpent(record.record, state.policy, now))
                mergeRecord(state, record);
        }
        const auto worsened = mergeSummaryCounters(state, summary, now);
        if (!worsened.empty())
            checkSharedCause(state, now, actions);
        for (const auto& target : worsened)
            detail::evaluateTarget(state, target, now);
        for (const auto& counters : summary.counters)
            detail::startRampIfCleared(state, counters.target, now);
        updateRestrictions(state, now, actions);
    }

    void raiseSuspicion(HealthState& state, const TargetAddress& target, TimePoint now, std::vector<Action>& actions)
    {
        if (!state.targets.contains(target))
            return;
        state.suspectUntil[target] = now + suspicionDuration;
        detail::evaluateTarget(state, target, now);
        updateRestrictions(state, now, actions);
    }

    void visit(HealthState& state, const ProbeResult& probe, TimePoint now, std::vector<Action>& actions)
    {
        if (!probe.ok)
            raiseSuspicion(state, probe.target, now, actions);
    }

    void visit(HealthState& state, const LoadReport& report, TimePoint now, std::vector<Action>& actions)
    {
        if (report.overloaded)
            raiseSuspicion(state, report.target, now, actions);
    }

    ListedTarget makeListedTarget(const HealthState& state, const Target& target, TimePoint now)
    {
        const auto known = state.targets.find(target.address);
        auto listed = known == state.targets.end() ? ListedTarget {} : known->second;
        listed.leaving = target.leaving;
        if (known == state.targets.end() && state.targetsKnown) {
            listed.warmUntil = now + state.limits.warmUp;
            listed.evidenceFrom = now;
        }
        return listed;
    }

    void visit(HealthState& state, const TargetsChanged& change, TimePoint now, std::vector<Action>& actions)
    {
        std::map<TargetAddress, ListedTarget, std::less<>> targets;
        for (const auto& target : change.targets)
            targets.emplace(target.address, makeListedTarget(state, target, now));
        for (const auto& [address, listed] : state.targets) {
            if (targets.contains(address))
                continue;
            for (auto& baseline : state.baselines)
                forgetTarget(baseline, address);
            state.suspectUntil.erase(address);
        }
        state.targets = std::move(targets);
        state.targetsKnown = true;
        updateRestrictions(state, now, actions);
    }

    void visit(HealthState& state, const DocumentChanged& change, TimePoint now, std::vector<Action>& actions)
    {
        state.policy = change.policy;
        state.limits = change.limits;
        updateRestrictions(state, now, actions);
    }

    void visit(HealthState& state, const CrashExcluded& excluded, TimePoint now, std::vector<Action>& actions)
    {
        const auto found = state.evidence.find(excluded.target);
        if (found == state.evidence.end())
            return;
        addCounts(found->second, excluded.observer, excluded.observedAt, Counts { 0, 0, 0, 1 });
        detail::cancelUnsupportedEjection(state, excluded.target, now);
        updateRestrictions(state, now, actions);
    }

    void prune(HealthState& state, TimePoint now)
    {
        state.prunedAt = now;
        std::erase_if(state.evidence, [&](const auto& entry) {
            return !state.targets.contains(entry.first) && isStale(entry.second, now);
        });
        for (auto& [address, evidence] : state.evidence)
            dropStaleObservers(evidence, now);
        std::erase_if(state.records, [&](const auto& entry) { return isSpent(entry.second, state.policy, now); });
        std::erase_if(state.suspectUntil, [&](const auto& entry) { return entry.second < now; });
    }

    void visit(HealthState& state, const Tick&, TimePoint now, std::vector<Action>& actions)
    {
        if (now - state.prunedAt >= pruneInterval)
            prune(state, now);
        checkSharedCause(state, now, actions);
        for (const auto& [scope, record] : state.records)
            detail::startRampIfCleared(state, scope.target, now);
        updateRestrictions(state, now, actions);
    }

    bool isHeldBack(const HealthState& state, std::string_view target) noexcept
    {
        return std::any_of(state.heldBack.begin(), state.heldBack.end(), [&](const Restriction& restriction) {
            return restriction.scope.target == target;
        });
    }

}

std::vector<Action> handle(HealthState& state, const Event& event, TimePoint now)
{
    std::vector<Action> actions;
    std::visit([&](const auto& concrete) { visit(state, concrete, now, actions); }, event);
    return actions;
}

PooledSummary makeSummary(const HealthState& state, const ObserverId& observer, TimePoint since)
{
    PooledSummary summary { observer, {}, {} };
    for (const auto& [address, evidence] : state.evidence) {
        const auto ownRings = evidence.byObserver.find(observer);
        if (ownRings != evidence.byObserver.end())
            summary.counters.push_back(countersSince(address, ownRings->second, since));
    }
    for (const auto& [scope, record] : state.records)
        summary.records.push_back({ scope, record });
    return summary;
}

StandingShare standingOf(const HealthState& state, std::string_view target, std::string_view fromFailureDomain) noexcept
{
    StandingShare lowest;
    for (const auto& restriction : state.applied) {
        const auto& from = restriction.scope.fromFailureDomain;
        const auto applies = restriction.scope.target == target && (from.empty() || from == fromFailureDomain);
        if (applies && restriction.standing.share < lowest.share)
            lowest = restriction.standing;
    }
    return lowest;
}

unsigned healthyCapacity(const HealthState& state, std::string_view fromFailureDomain, TimePoint now)
{
    const auto members = membersAt(state, now);
    return healthyCapacity(makeFloorRequest(state, members, {}), state.applied, fromFailureDomain);
}

Explanation explain(const HealthState& state, std::string_view target, TimePoint now)
{
    const Scope everywhere { TargetAddress(target), "" };
    Explanation explanation;
    explanation.target = target;
    explanation.standing = standingOf(state, target, "");
    explanation.heldBackByFloor = isHeldBack(state, target);
    explanation.sharedCause = state.sharedCause.on;
    explanation.threshold = detail::thresholdOf(state, everywhere, now);
    const auto record = state.records.find(everywhere);
    if (record != state.records.end())
        explanation.record = record->second;
    const auto evidence = state.evidence.find(target);
    if (evidence == state.evidence.end())
        return explanation;
    explanation.observers = evidence->second.byObserver.size();
    const auto from = detail::evidenceStartOf(state, everywhere);
    const auto tests = testsFor(state.policy);
    for (std::size_t i = 0; i < tests.size(); ++i)
        explanation.scores[i] = detail::higherScore(evidence->second.pooled, tests[i], from, thresholdsFor(state.policy));
    return explanation;
}

}
