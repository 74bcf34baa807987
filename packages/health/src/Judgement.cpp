#include "flamingowick/health/detail/Judgement.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::health::detail {

namespace {

    // A target counts as observed by this many outcomes within observedSpan.
    constexpr std::uint32_t leastOutcomes = 3;
    constexpr Duration observedSpan = std::chrono::seconds(10);
    // How long a shared cause is taken to last after its last sign.
    constexpr Duration sharedCauseHold = std::chrono::seconds(5);
    // Ejections this young are withdrawn by a shared cause, or by a crash that excuses them.
    constexpr Duration recentEjection = std::chrono::seconds(5);
    // A bad probe or load report makes failing ten times as likely beforehand.
    const double suspicionBonus = std::log(10.0);
    constexpr double slownessSeverity = 0.5;
    // One chance in a hundred that a sick pool is taken for healthy, by Wald's bound.
    const double poolClearEvidence = std::log(100.0);
    // How far above the threshold a score suffices although the rest of the pool has not shown itself
    // healthy meanwhile. No more than the ceiling's ratio.
    constexpr double withoutPoolEvidence = 1.45;

    // The first bucket that begins at a time or later.
    std::int64_t firstBucket(TimePoint from, Duration width) noexcept
    {
        if (from <= TimePoint {})
            return 0;
        return bucketIndex(from - Duration(1), width) + 1;
    }

    const Ring& ringOf(const Rings& rings, Duration width) noexcept
    {
        return width == coarseWidth ? rings.coarse : rings.fine;
    }

    const Rings* ringsOf(const HealthState& state, const Scope& scope)
    {
        const auto found = state.evidence.find(scope.target);
        if (found == state.evidence.end())
            return nullptr;
        if (scope.fromFailureDomain.empty())
            return &found->second.pooled;
        const auto domain = found->second.byFailureDomain.find(scope.fromFailureDomain);
        return domain == found->second.byFailureDomain.end() ? nullptr : &domain->second;
    }

    Standing recordStanding(const HealthState& state, const Scope& scope, TimePoint now)
    {
        const auto found = state.records.find(scope);
        if (found == state.records.end())
            return Standing::Healthy;
        return standingAt(found->second, state.policy, now).standing;
    }

    bool hasPathRestriction(const HealthState& state, std::string_view target, TimePoint now)
    {
        const Scope first { TargetAddress(target), "" };
        for (auto it = state.records.upper_bound(first); it != state.records.end() && it->first.target == target; ++it) {
            if (standingAt(it->second, state.policy, now).standing != Standing::Healthy)
                return true;
        }
        return false;
    }

    // The pool's typical bad share from a bucket on, without the accused.
    double shareOfOthers(const HealthState& state, std::string_view accused, Symptom symptom, Duration width, std::int64_t from)
    {
        std::vector<double> shares;
        for (const auto& [address, listed] : state.targets) {
            const auto found = state.evidence.find(address);
            if (address == accused || found == state.evidence.end())
                continue;
            const auto sums = tally(ringOf(found->second.pooled, width), symptom, from);
            if (sums.total >= leastOutcomes)
                shares.push_back(static_cast<double>(sums.bad) / sums.total);
        }
        return state.decisions.typical(shares);
    }

    // The test against the pool as it was in the span that a score covers or of late, whichever is
    // worse: the former notices a fault that has just begun, the latter is the steadier estimate.
    SequentialTest testAgainstPool(const HealthState& state, std::string_view accused, const SequentialTest& test, const Score& score, TimePoint now)
    {
        const auto recent = firstBucket(now - observedSpan, score.width);
        const auto since = shareOfOthers(state, accused, test.symptom, score.width, score.since);
        const auto late = shareOfOthers(state, accused, test.symptom, score.width, recent);
        return relativeTo(test, std::max(since, late));
    }

    // Returns true when the rest of the pool has shown itself healthy in the span of a score. A few sick
    // targets count for one bad outcome each, so that they can't hide another.
    bool isPoolHealthySince(const HealthState& state, std::string_view accused, const SequentialTest& test, const Score& score)
    {
        const auto tests = testsFor(state.policy);
        const auto& clear = test.symptom == Symptom::Slowness ? tests.back() : tests.front();
        const auto oneBad = std::log(clear.failingShare / clear.healthyShare);
        double sum = 0;
        for (const auto& [address, listed] : state.targets) {
            const auto found = state.evidence.find(address);
            if (address == accused || found == state.evidence.end())
                continue;
            const auto& ring = ringOf(found->second.pooled, score.width);
            sum += std::min(logLikelihoodRatio(ring, clear, score.since), oneBad);
        }
        return sum <= -poolClearEvidence;
    }

    // Weighs one scope's evidence by one test in one ring: alone first, then against the pool.
    std::optional<Verdict> weigh(const HealthState& state, const Scope& scope, const Ring& ring, const SequentialTest& test, TimePoint now)
    {
        const auto thresholds = thresholdsFor(state.policy);
        const auto threshold = thresholdOf(state, scope, now);
        if (highestScore(ring, test) < threshold)
            return std::nullopt;
        const auto from = firstBucket(evidenceStartOf(state, scope), ring.width);
        const auto alone = cusum(ring, test, from, thresholds);
        if (alone.value < threshold)
            return std::nullopt;
        const auto relative = testAgainstPool(state, scope.target, test, alone, now);
        const auto score = cusum(ring, relative, from, thresholds);
        if (score.value < threshold)
            return std::nullopt;
        if (score.value < threshold * withoutPoolEvidence && !isPoolHealthySince(state, scope.target, test, alone))
            return std::nullopt;
        return Verdict { relative, score, threshold };
    }

    std::optional<Verdict> verdictOn(const HealthState& state, const Scope& scope, TimePoint now)
    {
        const auto* rings = ringsOf(state, scope);
        if (!rings)
            return std::nullopt;
        std::optional<Verdict> strongest;
        for (const auto* ring : { &rings->fine, &rings->coarse }) {
            for (const auto& test : testsFor(state.policy)) {
                const auto verdict = weigh(state, scope, *ring, test, now);
                if (verdict && (!strongest || verdict->score.value > strongest->score.value))
                    strongest = verdict;
            }
        }
        return strongest;
    }

    double severityOf(const Verdict& verdict) noexcept
    {
        const auto share = verdict.score.total ? static_cast<double>(verdict.score.bad) / verdict.score.total : 0.0;
        return verdict.test.symptom == Symptom::Slowness ? share * slownessSeverity : share;
    }

    void eject(HealthState& state, const Scope& scope, const Verdict& verdict, TimePoint now)
    {
        const auto found = state.records.find(scope);
        EjectionRecord record;
        record.ejectedAt = now;
        record.evidenceFrom = evidenceStartOf(state, scope);
        if (found != state.records.end()) {
            record.repeats = repeatsAt(found->second, state.policy, now);
            record.ejectedAt = std::max(now, found->second.ejectedAt + Duration(1));
        }
        record.until = record.ejectedAt + ejectionDuration(state.policy, record.repeats);
        record.severity = severityOf(verdict);
        record.reason = { verdict.test.symptom, verdict.score.bad, verdict.score.total, verdict.score.value, verdict.threshold };
        state.records[scope] = record;
    }

    void cancel(EjectionRecord& record, TimePoint now) noexcept
    {
        record.phase = Phase::Cancelled;
        record.changedAt = now;
    }

    // Judges by what one failure domain has seen; returns true when the target needs no further
    // judgement for now.
    bool judgeDomain(HealthState& state, const Scope& scope, const TargetEvidence& evidence, TimePoint now)
    {
        const auto verdict = verdictOn(state, scope, now);
        if (!verdict)
            return false;
        const Accusation accusation { scope.fromFailureDomain, *verdict };
        switch (state.decisions.blame(evidence, accusation, thresholdsFor(state.policy), now)) {
        case Blame::Path:
            eject(state, scope, *verdict, now);
            return false;
        case Blame::Target:
            eject(state, { scope.target, "" }, *verdict, now);
            return true;
        case Blame::Undecided:
            return true;
        }
        return true;
    }

    bool judgeDomains(HealthState& state, std::string_view target, const TargetEvidence& evidence, TimePoint now)
    {
        for (const auto& [domain, rings] : evidence.byFailureDomain) {
            const Scope scope { TargetAddress(target), domain };
            if (recordStanding(state, scope, now) == Standing::Ejected)
                continue;
            if (judgeDomain(state, scope, evidence, now))
                return true;
        }
        return false;
    }

    // The share of bad outcomes that one failure domain has seen in the span of a verdict.
    double shareIn(const Rings& rings, const Verdict& verdict)
    {
        const auto sums = tally(ringOf(rings, verdict.score.width), verdict.test.symptom, verdict.score.since);
        return sums.total ? static_cast<double>(sums.bad) / sums.total : 0;
    }

    // Returns true unless the pooled verdict may rest on one failure domain alone. That domain's own
    // evidence then decides, or that of the others once they have seen enough.
    bool isPooledFault(const HealthState& state, const TargetEvidence& evidence, const Verdict& verdict, TimePoint now)
    {
        if (evidence.byFailureDomain.size() < 2)
            return true;
        const auto worst = std::max_element(evidence.byFailureDomain.begin(), evidence.byFailureDomain.end(), [&](const auto& a, const auto& b) {
            return shareIn(a.second, verdict) < shareIn(b.second, verdict);
        });
        auto accusation = Accusation { worst->first, verdict };
        const auto sums = tally(ringOf(worst->second, verdict.score.width), verdict.test.symptom, verdict.score.since);
        accusation.verdict.score.bad = sums.bad;
        accusation.verdict.score.total = sums.total;
        return state.decisions.blame(evidence, accusation, thresholdsFor(state.policy), now) == Blame::Target;
    }

    bool isCleared(const HealthState& state, const Rings& rings, TimePoint from, Duration width)
    {
        const auto clearEvidence = thresholdsFor(state.policy).clear;
        const auto tests = testsFor(state.policy);
        const auto first = firstBucket(from, width);
        const auto passes = [&](const SequentialTest& test) {
            return test.symptom == Symptom::RareErrors
                || logLikelihoodRatio(ringOf(rings, width), test, first) <= -clearEvidence;
        };
        return std::all_of(tests.begin(), tests.end(), passes);
    }

    bool isSuspect(const HealthState& state, const Rings& rings, TimePoint from)
    {
        const auto thresholds = thresholdsFor(state.policy);
        const auto tests = testsFor(state.policy);
        return std::any_of(tests.begin(), tests.end(), [&](const SequentialTest& test) {
            const auto possible = std::max(highestScore(rings.fine, test), highestScore(rings.coarse, test)) >= thresholds.suspect;
            return possible && strongerScore(rings, test, from, thresholds).value >= thresholds.suspect;
        });
    }

    // Where a look at the pool begins: for a target that is out, at the evidence that put it there.
    TimePoint poolEvidenceStart(const HealthState& state, const Scope& scope, TimePoint now)
    {
        const auto found = state.records.find(scope);
        if (found != state.records.end() && standingAt(found->second, state.policy, now).standing == Standing::Ejected)
            return found->second.evidenceFrom;
        return evidenceStartOf(state, scope);
    }

    PoolView viewPool(const HealthState& state, TimePoint now)
    {
        PoolView view;
        const auto recent = firstBucket(now - observedSpan, fineWidth);
        for (const auto& [address, listed] : state.targets) {
            const auto found = state.evidence.find(address);
            if (found == state.evidence.end())
                continue;
            const auto& rings = found->second.pooled;
            if (tally(rings.fine, Symptom::Errors, recent).total < leastOutcomes)
                continue;
            ++view.observed;
            if (isSuspect(state, rings, poolEvidenceStart(state, { address, "" }, now)))
                ++view.suspect;
        }
        return view;
    }

    void cancelRecent(HealthState& state, TimePoint now)
    {
        for (auto& [scope, record] : state.records) {
            if (record.phase == Phase::Ejected && record.ejectedAt >= now - recentEjection)
                cancel(record, now);
        }
    }

}

Score strongerScore(const Rings& rings, const SequentialTest& test, TimePoint from, const Thresholds& thresholds) noexcept
{
    const auto fine = cusum(rings.fine, test, firstBucket(from, fineWidth), thresholds);
    const auto coarse = cusum(rings.coarse, test, firstBucket(from, coarseWidth), thresholds);
    return coarse.value > fine.value ? coarse : fine;
}

TimePoint evidenceStartOf(const HealthState& state, const Scope& scope)
{
    TimePoint start {};
    const auto listed = state.targets.find(scope.target);
    if (listed != state.targets.end())
        start = listed->second.evidenceFrom;
    const auto everywhere = scope.fromFailureDomain.empty();
    for (auto it = state.records.lower_bound({ scope.target, "" }); it != state.records.end() && it->first.target == scope.target; ++it) {
        const auto bears = everywhere || it->first.fromFailureDomain.empty() || it->first == scope;
        if (bears)
            start = std::max(start, evidenceStart(it->second, state.policy));
    }
    return start;
}

double thresholdOf(const HealthState& state, const Scope& scope, TimePoint now)
{
    const auto thresholds = thresholdsFor(state.policy);
    const auto standing = recordStanding(state, scope, now);
    const auto returning = standing == Standing::Trickle || standing == Standing::Ramp;
    const auto threshold = returning ? thresholds.probation : thresholds.eject;
    const auto suspect = state.suspectUntil.find(scope.target);
    if (suspect == state.suspectUntil.end() || suspect->second < now)
        return threshold;
    return std::max(threshold - suspicionBonus, threshold / 2);
}

void judge(HealthState& state, std::string_view target, TimePoint now)
{
    const auto listed = state.targets.find(target);
    const auto found = state.evidence.find(target);
    if (listed == state.targets.end() || listed->second.leaving || found == state.evidence.end())
        return;
    const Scope everywhere { TargetAddress(target), "" };
    if (state.sharedCause.on || recordStanding(state, everywhere, now) == Standing::Ejected)
        return;
    const auto& evidence = found->second;
    if (evidence.byFailureDomain.size() > 1 && judgeDomains(state, target, evidence, now))
        return;
    if (hasPathRestriction(state, target, now))
        return;
    const auto verdict = verdictOn(state, everywhere, now);
    if (verdict && isPooledFault(state, evidence, *verdict, now))
        eject(state, everywhere, *verdict, now);
}

void advanceTrickle(HealthState& state, std::string_view target, TimePoint now)
{
    for (auto it = state.records.lower_bound({ TargetAddress(target), "" }); it != state.records.end() && it->first.target == target; ++it) {
        auto& record = it->second;
        if (standingAt(record, state.policy, now).standing != Standing::Trickle)
            continue;
        const auto* rings = ringsOf(state, it->first);
        const auto from = evidenceStart(record, state.policy);
        if (!rings || !(isCleared(state, *rings, from, fineWidth) || isCleared(state, *rings, from, coarseWidth)))
            continue;
        record.phase = Phase::Ramp;
        record.changedAt = now;
    }
}

void reconsider(HealthState& state, std::string_view target, TimePoint now)
{
    const Scope everywhere { TargetAddress(target), "" };
    const auto found = state.records.find(everywhere);
    if (found == state.records.end() || found->second.phase != Phase::Ejected)
        return;
    const auto record = found->second;
    if (record.ejectedAt < now - recentEjection)
        return;
    const auto* rings = ringsOf(state, everywhere);
    const auto thresholds = thresholdsFor(state.policy);
    const auto tests = testsFor(state.policy);
    const auto stands = rings && std::any_of(tests.begin(), tests.end(), [&](const SequentialTest& test) {
        return strongerScore(*rings, test, record.evidenceFrom, thresholds).value >= record.reason.threshold;
    });
    if (!stands)
        cancel(found->second, now);
}

bool updateSharedCause(HealthState& state, TimePoint now)
{
    auto& shared = state.sharedCause;
    const auto seen = state.decisions.sharedCause(viewPool(state, now));
    if (seen)
        shared.lastSeen = now;
    const auto on = seen || (shared.on && now - shared.lastSeen < sharedCauseHold);
    if (on == shared.on)
        return false;
    shared.on = on;
    if (on)
        cancelRecent(state, now);
    return true;
}

}
