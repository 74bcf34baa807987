#include "flamingowick/dispatch/detail/Steps.h"

#include <algorithm>

namespace flamingowick::dispatch::detail {

namespace {

    constexpr unsigned firstServerError = 500;
    constexpr unsigned badGateway = 502;
    constexpr unsigned serviceUnavailable = 503;

    // Whether an attempt that was cancelled tells that its target is slow: it lasted to the deadline,
    // or until its caller hung up far beyond the usual time.
    bool wasSlow(const Step& step, const Ticket& ticket, Duration taken)
    {
        auto usual = std::chrono::duration<double, Duration::period>(step.state.serviceTime.mean);
        bool known = usual.count() > 0;
        return step.now >= ticket.deadline || (known && taken > usual * step.state.document.health.slowFactor);
    }

    std::optional<EvidenceKind> evidenceOf(const Step& step, const Ticket& ticket, const AttemptResult& result, Duration taken)
    {
        switch (result.kind) {
        case AttemptKind::Answered:
            return result.status < firstServerError ? EvidenceKind::Ok : EvidenceKind::Error;
        case AttemptKind::Cancelled:
            return wasSlow(step, ticket, taken) ? std::optional(EvidenceKind::Slow) : std::nullopt;
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

    // Whether a target is left that the request has not tried and that takes new work.
    bool hasOtherTarget(const DispatcherState& state, const ActiveRequest& request)
    {
        const auto& targets = state.targets.byAddress;
        return std::any_of(targets.begin(), targets.end(), [&](const auto& entry) {
            bool tried = std::find(request.tried.begin(), request.tried.end(), entry.first) != request.tried.end();
            return !tried && !entry.second.ejected && takesNewWork(entry.second);
        });
    }

    // None when the request may be attempted again; the right to a retry is then taken.
    std::optional<FinishReason> objectionToRetry(Step& step, const ActiveRequest& request, const AttemptResult& result)
    {
        DispatcherState& state = step.state;
        if (!state.policy.mayRepeat(request.ticket.idempotent, result))
            return FinishReason::NotRepeatable;
        if (refusedUntil(step, request.ticket))
            return FinishReason::RequestQuarantined;
        if (request.tried.size() >= state.document.retries.maxAttempts || !hasOtherTarget(state, request))
            return FinishReason::AttemptsExhausted;
        if (!canFinish(state.serviceTime, step.now, request.ticket.deadline))
            return FinishReason::DeadlineExceeded;
        if (!state.policy.takeRetry(state.retries))
            return FinishReason::RetryBudgetSpent;
        return std::nullopt;
    }

    void accountAttempt(Step& step, ActiveRequest& request, const Attempt& attempt, const TargetAnswered& event)
    {
        DispatcherState& state = step.state;
        Duration taken = step.now - attempt.startedAt;
        request.attempt.reset();
        request.mayHaveRun = request.mayHaveRun || !state.policy.certainlyNotRun(event.result.kind);
        releaseSlot(state.targets, attempt.target);
        dispatch::endAttempt(state.queue, request.ticket.caller, attempt.expected, taken);
        for (std::uint64_t fingerprint : fingerprints(request.ticket)) {
            auto running = state.running.find(fingerprint);
            if (--running->second == 0)
                state.running.erase(running);
        }
        auto kind = evidenceOf(step, request.ticket, event.result, taken);
        if (kind)
            step.actions.push_back(Evidence { attempt.target, *kind, taken, state.failureDomain });
        if (kind == EvidenceKind::Ok)
            recordServiceTime(state.serviceTime, taken);
    }

    // The drain signal of an earlier life says nothing of the present one.
    void accountDrain(Step& step, const Attempt& attempt)
    {
        const auto& targets = step.state.targets.byAddress;
        auto place = targets.find(attempt.target);
        if (place != targets.end() && place->second.life == attempt.life)
            applyLeaving(step.state.targets, { attempt.target, 0 }, step.now);
    }

    void accountCrash(Step& step, const Ticket& ticket, const Attempt& attempt, const TargetAnswered& event)
    {
        for (std::uint64_t fingerprint : fingerprints(ticket)) {
            if (event.result.kind == AttemptKind::Answered)
                recordSurvival(step.state.crashes, fingerprint);
            if (event.result.kind != AttemptKind::Crashed)
                continue;
            step.actions.push_back(CrashReport { fingerprint, event.target });
            noteCrash(step, fingerprint, event.target, attempt.startedAt);
        }
    }

    void concludeOrRetry(Step& step, const RequestId& id, const AttemptResult& result)
    {
        ActiveRequest& request = step.state.requests.at(id);
        bool answered = result.kind == AttemptKind::Answered;
        if (!answered && finishIfRefused(step, id))
            return;
        auto objection = objectionToRetry(step, request, result);
        if (!objection) {
            wait(step, id, true);
            return;
        }
        if (answered) {
            step.actions.push_back(PassAnswer { id });
            forget(step.state, id);
            return;
        }
        unsigned status = request.mayHaveRun ? badGateway : serviceUnavailable;
        finish(step, id, *objection, status, std::nullopt);
    }

}

void endAttempt(Step& step, const TargetAnswered& event)
{
    auto place = step.state.requests.find(event.id);
    if (place == step.state.requests.end())
        return;
    ActiveRequest& request = place->second;
    if (!request.attempt || request.attempt->target != event.target)
        return;
    Attempt attempt = *request.attempt;
    accountAttempt(step, request, attempt, event);
    if (event.result.kind == AttemptKind::Drained)
        accountDrain(step, attempt);
    accountCrash(step, request.ticket, attempt, event);
    if (request.finished)
        forget(step.state, event.id);
    else
        concludeOrRetry(step, event.id, event.result);
}

}
