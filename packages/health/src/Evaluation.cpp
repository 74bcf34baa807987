#include "flamingowick/health/detail/Evaluation.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::health::detail {

namespace {

    // A target counts as observed if it has at least this many outcomes within the observation window.
    constexpr std::uint32_t minOutcomes = 3;
    constexpr Duration observationWindow = std::chrono::seconds(10);
    // A shared cause ends when it has not been detected for this long.
    constexpr Duration sharedCauseClearDelay = std::chrono::seconds(5);
    // Ejections up to this age are cancelled when a shared cause is detected, or when their errors turn out to be
    // the fault of a request that crashes targets.
    constexpr Duration maxCancellableAge = std::chrono::seconds(5);
    // Lowers the threshold after a failed probe or an overload report, which make a failure ten times as likely a
    // priori.
    const double suspicionLogOdds = std::log(10.0);
    constexpr double slownessSeverityFactor = 0.5;
    // By Wald's bound, a failing pool is mistaken for a healthy one with a probability of at most 1 %.
    const double healthyPoolEvidence = std::log(100.0);
    // A score of this many times the threshold suffices without evidence that the rest of the pool is healthy. It must
    // not exceed the ratio of Thresholds::ceiling to Thresholds::eject, or no score could reach it.
    constexpr double thresholdFactorWithoutPoolEvidence = 1.45;

    // Returns the index of the first bucket that begins at or after the given time.
    std::int64_t firstBucketSince(TimePoint from, Duration width) noexcept
    {
        if (from <= TimePoint {})
            return 0;
        return bucketIndex(from - Duration(1), width) + 1;
    }

    const Ring& ringOfWidth(const Rings& rings, Duration width) noexcept
    {
        return width == coarseWidth ? rings.coarse : rings.fine;
    }

    const Rings* findRings(const HealthState& state, const Scope& scope)
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

    // Returns the typical share of bad outcomes in the pool from a bucket on, without the evaluated target.
    double typicalShareOfOthers(const HealthState& state, std::string_view evaluated, Symptom symptom, Duration width, std::int64_t from)
    {
        std::vector<double> shares;
        for (const auto& [address, listed] : state.targets) {
            const auto found = state.evidence.find(address);
            if (address == evaluated || found == state.evidence.end())
                continue;
            const auto sums = tally(ringOfWidth(found->second.pooled, width), symptom, from);
            if (sums.total >= minOutcomes)
                shares.push_back(static_cast<double>(sums.bad) / sums.total);
        }
        return state.decisions.typical(shares);
    }

    // Returns the test relative to the pool's share of bad outcomes, either during the score's period or within the
    // observation window, whichever is greater: the former reacts to a fault that has just begun, the latter has less
    // variance.
    SequentialTest makePoolRelativeTest(const HealthState& state, std::string_view evaluated, const SequentialTest& test, const Score& score, TimePoint now)
    {
        const auto firstRecent = firstBucketSince(now - observationWindow, score.width);
        const auto shareDuringScore = typicalShareOfOthers(state, evaluated, test.symptom, score.width, score.since);
        const auto recentShare = typicalShareOfOthers(state, evaluated, test.symptom, score.width, firstRecent);
        return relativeTo(test, std::max(shareDuringScore, recentShare));
    }

    // Returns true if the evidence shows the rest of the pool healthy during a score's period. Each target contributes
    // at most one bad outcome, so that a few failing targets don't prevent the ejection of another.
    bool isPoolHealthySince(const HealthState& state, std::string_view evaluated, const SequentialTest& test, const Score& score)
    {
        const auto tests = testsFor(state.policy);
        const auto& healthTest = test.symptom == Symptom::Slowness ? tests.back() : tests.front();
        const auto oneBadOutcome = std::log(healthTest.failingShare / healthTest.healthyShare);
        double sum = 0;
        for (const auto& [address, listed] : state.targets) {
            const auto found = state.evidence.find(address);
            if (address == evaluated || found == state.evidence.end())
                continue;
            const auto& ring = ringOfWidth(found->second.pooled, score.width);
            sum += std::min(logLikelihoodRatio(ring, healthTest, score.since), oneBadOutcome);
        }
        return sum <= -healthyPoolEvidence;
    }

    // Evaluates one ring of a scope with one test, first absolutely and then relative to the pool.
    std::optional<Verdict> evaluateRing(const HealthState& state, const Scope& scope, const Ring& ring, const SequentialTest& test, TimePoint now)
    {
        const auto thresholds = thresholdsFor(state.policy);
        const auto threshold = thresholdOf(state, scope, now);
        if (highestScore(ring, test) < threshold)
            return std::nullopt;
        const auto from = firstBucketSince(evidenceStartOf(state, scope), ring.width);
        const auto absoluteScore = cusum(ring, test, from, thresholds);
        if (absoluteScore.value < threshold)
            return std::nullopt;
        const auto relativeTest = makePoolRelativeTest(state, scope.target, test, absoluteScore, now);
        const auto score = cusum(ring, relativeTest, from, thresholds);
        if (score.value < threshold)
            return std::nullopt;
        if (score.value < threshold * thresholdFactorWithoutPoolEvidence && !isPoolHealthySince(state, scope.target, test, absoluteScore))
            return std::nullopt;
        return Verdict { relativeTest, score, threshold };
    }

    std::optional<Verdict> evaluateScope(const HealthState& state, const Scope& scope, TimePoint now)
    {
        const auto* rings = findRings(state, scope);
        if (!rings)
            return std::nullopt;
        std::optional<Verdict> strongest;
        for (const auto* ring : { &rings->fine, &rings->coarse }) {
            for (const auto& test : testsFor(state.policy)) {
                const auto verdict = evaluateRing(state, scope, *ring, test, now);
                if (verdict && (!strongest || verdict->score.value > strongest->score.value))
                    strongest = verdict;
            }
        }
        return strongest;
    }

    double severityOf(const Verdict& verdict) noexcept
    {
        const auto share = verdict.score.total ? static_cast<double>(verdict.score.bad) / verdict.score.total : 0.0;
        return verdict.test.symptom == Symptom::Slowness ? share * slownessSeverityFactor : share;
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

    // Evaluates the evidence of one failure domain. Returns true if the target needs no further evaluation now.
    bool evaluateFailureDomain(HealthState& state, const Scope& scope, const TargetEvidence& evidence, TimePoint now)
    {
        const auto verdict = evaluateScope(state, scope, now);
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

    bool evaluateFailureDomains(HealthState& state, std::string_view target, const TargetEvidence& evidence, TimePoint now)
    {
        for (const auto& [domain, rings] : evidence.byFailureDomain) {
            const Scope scope { TargetAddress(target), domain };
            if (recordStanding(state, scope, now) == Standing::Ejected)
                continue;
            if (evaluateFailureDomain(state, scope, evidence, now))
                return true;
        }
        return false;
    }

    // Returns one failure domain's share of bad outcomes during a verdict's period.
    double badShareIn(const Rings& rings, const Verdict& verdict)
    {
        const auto sums = tally(ringOfWidth(rings, verdict.score.width), verdict.test.symptom, verdict.score.since);
        return sums.total ? static_cast<double>(sums.bad) / sums.total : 0;
    }

    // Returns false if the verdict on the pooled evidence may be due to one failure domain alone. The decision is then
    // left to that domain's evidence, or to that of the others once it is sufficient.
    bool isTargetFault(const HealthState& state, const TargetEvidence& evidence, const Verdict& verdict, TimePoint now)
    {
        if (evidence.byFailureDomain.size() < 2)
            return true;
        const auto worst = std::max_element(evidence.byFailureDomain.begin(), evidence.byFailureDomain.end(), [&](const auto& a, const auto& b) {
            return badShareIn(a.second, verdict) < badShareIn(b.second, verdict);
        });
        auto accusation = Accusation { worst->first, verdict };
        const auto sums = tally(ringOfWidth(worst->second, verdict.score.width), verdict.test.symptom, verdict.score.since);
        accusation.verdict.score.bad = sums.bad;
        accusation.verdict.score.total = sums.total;
        return state.decisions.blame(evidence, accusation, thresholdsFor(state.policy), now) == Blame::Target;
    }

    bool isCleared(const HealthState& state, const Rings& rings, TimePoint from, Duration width)
    {
        const auto clearEvidence = thresholdsFor(state.policy).clear;
        const auto tests = testsFor(state.policy);
        const auto first = firstBucketSince(from, width);
        const auto passes = [&](const SequentialTest& test) {
            return test.symptom == Symptom::RareErrors
                || logLikelihoodRatio(ringOfWidth(rings, width), test, first) <= -clearEvidence;
        };
        return std::all_of(tests.begin(), tests.end(), passes);
    }

    bool isSuspect(const HealthState& state, const Rings& rings, TimePoint from)
    {
        const auto thresholds = thresholdsFor(state.policy);
        const auto tests = testsFor(state.policy);
        return std::any_of(tests.begin(), tests.end(), [&](const SequentialTest& test) {
            const auto canReachSuspect = std::max(highestScore(rings.fine, test), highestScore(rings.coarse, test)) >= thresholds.suspect;
            return canReachSuspect && higherScore(rings, test, from, thresholds).value >= thresholds.suspect;
        });
    }

    // Returns the start of the evidence for the shared-cause check. For an ejected target, it is the evidence that led to
    // the ejection.
    TimePoint poolEvidenceStart(const HealthState& state, const Scope& scope, TimePoint now)
    {
        const auto found = state.records.find(scope);
        if (found != state.records.end() && standingAt(found->second, state.policy, now).standing == Standing::Ejected)
            return found->second.evidenceFrom;
        return evidenceStartOf(state, scope);
    }

    PoolView countSuspects(const HealthState& state, TimePoint now)
    {
        PoolView view;
        const auto firstRecent = firstBucketSince(now - observationWindow, fineWidth);
        for (const auto& [address, listed] : state.targets) {
            const auto found = state.evidence.find(address);
            if (found == state.evidence.end())
                continue;
            const auto& rings = found->second.pooled;
            if (tally(rings.fine, Symptom::Errors, firstRecent).total < minOutcomes)
                continue;
            ++view.observed;
            if (isSuspect(state, rings, poolEvidenceStart(state, { address, "" }, now)))
                ++view.suspect;
        }
        return view;
    }

    void cancelRecentEjections(HealthState& state, TimePoint now)
    {
        for (auto& [scope, record] : state.records) {
            if (record.phase == Phase::Ejected && record.ejectedAt >= now - maxCancellableAge)
                cancel(record, now);
        }
    }

}

Score higherScore(const Rings& rings, const SequentialTest& test, TimePoint from, const Thresholds& thresholds) noexcept
{
    const auto fine = cusum(rings.fine, test, firstBucketSince(from, fineWidth), thresholds);
    const auto coarse = cusum(rings.coarse, test, firstBucketSince(from, coarseWidth), thresholds);
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
        const auto applies = everywhere || it->first.fromFailureDomain.empty() || it->first == scope;
        if (applies)
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
    return std::max(threshold - suspicionLogOdds, threshold / 2);
}

void evaluateTarget(HealthState& state, std::string_view target, TimePoint now)
{
    const auto listed = state.targets.find(target);
    const auto found = state.evidence.find(target);
    if (listed == state.targets.end() || listed->second.leaving || found == state.evidence.end())
        return;
    const Scope everywhere { TargetAddress(target), "" };
    if (state.sharedCause.on || recordStanding(state, everywhere, now) == Standing::Ejected)
        return;
    const auto& evidence = found->second;
    if (evidence.byFailureDomain.size() > 1 && evaluateFailureDomains(state, target, evidence, now))
        return;
    if (hasPathRestriction(state, target, now))
        return;
    const auto verdict = evaluateScope(state, everywhere, now);
    if (verdict && isTargetFault(state, evidence, *verdict, now))
        eject(state, everywhere, *verdict, now);
}

void startRampIfCleared(HealthState& state, std::string_view target, TimePoint now)
{
    for (auto it = state.records.lower_bound({ TargetAddress(target), "" }); it != state.records.end() && it->first.target == target; ++it) {
        auto& record = it->second;
        if (standingAt(record, state.policy, now).standing != Standing::Trickle)
            continue;
        const auto* rings = findRings(state, it->first);
        const auto from = evidenceStart(record, state.policy);
        if (!rings || !(isCleared(state, *rings, from, fineWidth) || isCleared(state, *rings, from, coarseWidth)))
            continue;
        record.phase = Phase::Ramp;
        record.changedAt = now;
    }
}

void cancelUnsupportedEjection(HealthState& state, std::string_view target, TimePoint now)
{
    const Scope everywhere { TargetAddress(target), "" };
    const auto found = state.records.find(everywhere);
    if (found == state.records.end() || found->second.phase != Phase::Ejected)
        return;
    const auto record = found->second;
    if (record.ejectedAt < now - maxCancellableAge)
        return;
    const auto* rings = findRings(state, everywhere);
    const auto thresholds = thresholdsFor(state.policy);
    const auto tests = testsFor(state.policy);
    const auto isSupported = rings && std::any_of(tests.begin(), tests.end(), [&](const SequentialTest& test) {
        return higherScore(*rings, test, record.evidenceFrom, thresholds).value >= record.reason.threshold;
    });
    if (!isSupported)
        cancel(found->second, now);
}

bool updateSharedCause(HealthState& state, TimePoint now)
{
    auto& shared = state.sharedCause;
    const auto detected = state.decisions.sharedCause(countSuspects(state, now));
    if (detected)
        shared.lastSeen = now;
    const auto active = detected || (shared.on && now - shared.lastSeen < sharedCauseClearDelay);
    if (active == shared.on)
        return false;
    shared.on = active;
    if (active)
        cancelRecentEjections(state, now);
    return true;
}

}
