#include "flamingowick/dispatch/detail/Steps.h"

#include <algorithm>

namespace flamingowick::dispatch::detail {

namespace {

    constexpr unsigned firstServerError = 500;
    constexpr unsigned badGateway = 502;
    constexpr unsigned serviceUnavailable = 503;

    // Whether a cancelled attempt is evidence that its target is slow: it ran until the deadline, or its caller
    // closed the connection after much longer than the mean service time.
    bool isSlowCancellation(const Step& step, const Ticket& ticket, Duration elapsed)
    {
        auto meanTime = std::chrono::duration<double, Duration::period>(step.state.serviceTime.mean);
        bool known = meanTime.count() > 0;
        return step.now >= ticket.deadline || (known && elapsed > meanTime * step.state.document.health.slowFactor);
    }

    std::optional<EvidenceKind> evidenceOf(const Step& step, const Ticket& ticket, const AttemptResult& result, Duration elapsed)
    {
        switch (result.kind) {
        case AttemptKind::Answered:
            return result.status < firstServerError ? EvidenceKind::Ok : EvidenceKind::Error;
        case AttemptKind::Cancelled:
            return isSlowCancellation(step, ticket, elapsed) ? std::optional(EvidenceKind::Slow) : std::nullopt;
        case AttemptKind::ConnectFailed:
            return EvidenceKind::PathFailure;
        case AttemptKind::MaybeRun:
            return EvidenceKind::Error;
        case AttemptKind::TimedOut:
            return EvidenceKind::Slow;
        case AttemptKind::Crashed:
            return EvidenceKind::CrashExcluded;
        case AttemptKind::Shed:
        case AttemptKind::Drained:
            return std::nullopt;
        }
        return std::nullopt;
    }

    // Whether there is a target that takes new work, is not ejected, and has not been tried by the request.
    bool hasUntriedTarget(const DispatcherState& state, const ActiveRequest& request)
    {
        const auto& targets = state.targets.byAddress;
        return std::any_of(targets.begin(), targets.end(), [&](const auto& entry) {
            bool tried = std::find(request.tried.begin(), request.tried.end(), entry.first) != request.tried.end();
            return !tried && !entry.second.ejected && takesNewWork(entry.second);
        });
    }

    // Returns why the request cannot be retried. Returns nullopt if it can; a token of the retry budget is then taken.
    std::optional<FinishReason> findRetryObstacle(Step& step, const ActiveRequest& request, const AttemptResult& result)
    {
        DispatcherState& state = step.state;
        if (!state.policy.mayRepeat(request.ticket.idempotent, result))
            return FinishReason::NotRepeatable;
        if (quarantinedUntil(step, request.ticket))
            return FinishReason::RequestQuarantined;
        if (request.tried.size() >= state.document.retries.maxAttempts || !hasUntriedTarget(state, request))
            return FinishReason::AttemptsExhausted;
        if (!canFinish(state.serviceTime, step.now, request.ticket.deadline))
            return FinishReason::DeadlineExceeded;
        if (!state.policy.takeRetry(state.retries))
            return FinishReason::RetryBudgetSpent;
        return std::nullopt;
    }

    void recordAttemptEnd(Step& step, ActiveRequest& request, const Attempt& attempt, const TargetAnswered& event)
    {
        DispatcherState& state = step.state;
        Duration elapsed = step.now - attempt.startedAt;
        request.attempt.reset();
        request.mayHaveRun = request.mayHaveRun || !state.policy.certainlyNotRun(event.result.kind);
        releaseSlot(state.targets, attempt.target);
        dispatch::endAttempt(state.queue, request.ticket.caller, attempt.expected, elapsed);
        for (std::uint64_t fingerprint : fingerprints(request.ticket)) {
            auto running = state.running.find(fingerprint);
            if (--running->second == 0)
                state.running.erase(running);
        }
        auto kind = evidenceOf(step, request.ticket, event.result, elapsed);
        if (kind)
            step.actions.push_back(Evidence { attempt.target, *kind, elapsed, state.failureDomain });
        if (kind == EvidenceKind::Ok)
            recordServiceTime(state.serviceTime, elapsed);
    }

    // Ignores a drain signal of an earlier incarnation: it does not apply to the current one.
    void applyDrainSignal(Step& step, const Attempt& attempt)
    {
        const auto& targets = step.state.targets.byAddress;
        auto found = targets.find(attempt.target);
        if (found != targets.end() && found->second.life == attempt.life)
            applyLeaving(step.state.targets, { attempt.target, 0 }, step.now);
    }

    void recordCrashOutcome(Step& step, const Ticket& ticket, const Attempt& attempt, const TargetAnswered& event)
    {
        for (std::uint64_t fingerprint : fingerprints(ticket)) {
            if (event.result.kind == AttemptKind::Answered)
                recordSurvival(step.state.crashes, fingerprint);
            if (event.result.kind != AttemptKind::Crashed)
                continue;
            step.actions.push_back(CrashReport { fingerprint, event.target });
            recordPossibleCrash(step, fingerprint, event.target, attempt.startedAt);
        }
    }

    void finishOrRetry(Step& step, const RequestId& id, const AttemptResult& result)
    {
        ActiveRequest& request = step.state.requests.at(id);
        bool answered = result.kind == AttemptKind::Answered;
        if (!answered && finishIfQuarantined(step, id))
            return;
        auto obstacle = findRetryObstacle(step, request, result);
        if (!obstacle) {
            enqueueRequest(step, id, true);
            return;
        }
        if (answered) {
            step.actions.push_back(PassAnswer { id });
            removeRequest(step.state, id);
            return;
        }
        unsigned status = request.mayHaveRun ? badGateway : serviceUnavailable;
        finish(step, id, *obstacle, status, std::nullopt);
    }

}

void endAttempt(Step& step, const TargetAnswered& event)
{
    auto found = step.state.requests.find(event.id);
    if (found == step.state.requests.end())
        return;
    ActiveRequest& request = found->second;
    if (!request.attempt || request.attempt->target != event.target)
        return;
    Attempt attempt = *request.attempt;
    recordAttemptEnd(step, request, attempt, event);
    if (event.result.kind == AttemptKind::Drained)
        applyDrainSignal(step, attempt);
    recordCrashOutcome(step, request.ticket, attempt, event);
    if (request.finished)
        removeRequest(step.state, event.id);
    else
        finishOrRetry(step, event.id, event.result);
}

}
