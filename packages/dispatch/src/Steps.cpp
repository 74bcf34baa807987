#include "flamingowick/dispatch/detail/Steps.h"

#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::dispatch::detail {

namespace {

    constexpr std::chrono::seconds minRetryAfter { 1 };
    constexpr std::chrono::seconds maxRetryAfter { 60 };
    constexpr unsigned serviceUnavailable = 503;
    constexpr unsigned gatewayTimeout = 504;

    Outcome outcomeOf(const ActiveRequest& request)
    {
        return request.attempt || request.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }

}

std::vector<std::uint64_t> fingerprints(const Ticket& ticket)
{
    if (ticket.keyDigest && *ticket.keyDigest != ticket.digest)
        return { ticket.digest, *ticket.keyDigest };
    return { ticket.digest };
}

std::chrono::seconds suggestRetryAfter(const DispatcherState& state, TimePoint now)
{
    unsigned slots = std::max(1U, totalSlots(state.targets, state.document.targets, now));
    auto rounds = static_cast<std::int64_t>(state.queue.waiting / slots);
    auto wait = std::chrono::ceil<std::chrono::seconds>(state.serviceTime.mean * rounds);
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
}

void setExpiry(DispatcherState& state, const RequestId& id, TimePoint expiry)
{
    ActiveRequest& request = state.requests.at(id);
    state.expiries.erase({ request.expiry, id });
    request.expiry = expiry;
    state.expiries.insert({ expiry, id });
}

void removeRequest(DispatcherState& state, const RequestId& id)
{
    auto found = state.requests.find(id);
    state.expiries.erase({ found->second.expiry, id });
    state.requests.erase(found);
}

void finish(Step& step, const RequestId& id, FinishReason reason, unsigned status, std::optional<std::chrono::seconds> retryAfter)
{
    ActiveRequest& request = step.state.requests.at(id);
    Outcome outcome = outcomeOf(request);
    bool possiblyRun = request.attempt || request.mayHaveRun;
    checkInvariant(!request.finished, Invariant::OwnAnswerOnly, "a request is finished twice");
    checkInvariant(outcome != Outcome::NotRun || !possiblyRun, Invariant::NotRunIsTrue, "not-run is reported for a request that may have run");
    step.actions.push_back(Finish { id, outcome, status, reason, retryAfter.value_or(suggestRetryAfter(step.state, step.now)) });
    request.finished = true;
    step.state.expiries.erase({ request.expiry, id });
    if (request.attempt) {
        step.actions.push_back(CancelAttempt { id, request.attempt->target });
        return;
    }
    removeWaiting(step.state.queue, request.ticket.caller, id);
    removeRequest(step.state, id);
}

std::optional<TimePoint> quarantinedUntil(const Step& step, const Ticket& ticket)
{
    std::optional<TimePoint> latest;
    for (std::uint64_t fingerprint : fingerprints(ticket))
        latest = std::max(latest, step.state.policy.refusal(step.state.crashes, fingerprint, step.now));
    return latest;
}

bool finishIfQuarantined(Step& step, const RequestId& id)
{
    auto until = quarantinedUntil(step, step.state.requests.at(id).ticket);
    if (!until)
        return false;
    auto remaining = std::chrono::ceil<std::chrono::seconds>(*until - step.now);
    finish(step, id, FinishReason::RequestQuarantined, serviceUnavailable, remaining);
    return true;
}

void enqueueRequest(Step& step, const RequestId& id, bool first)
{
    const Ticket& ticket = step.state.requests.at(id).ticket;
    enqueue(step.state.queue, ticket.caller, id, first);
    setExpiry(step.state, id, std::min(ticket.deadline, step.now + step.state.document.queue.maxWait));
}

void enforceQueueLimit(Step& step)
{
    WaitQueue& queue = step.state.queue;
    while (queue.waiting > step.state.document.queue.maxWaiting) {
        std::string_view caller = step.state.policy.displace(queue);
        RequestId newest = queue.callers.find(caller)->second.waiting.back().id;
        finish(step, newest, FinishReason::QueueFull, serviceUnavailable, std::nullopt);
    }
}

void finishExpired(Step& step)
{
    auto& expiries = step.state.expiries;
    while (!expiries.empty() && expiries.begin()->at <= step.now) {
        RequestId id = expiries.begin()->id;
        bool deadlinePassed = step.state.requests.at(id).ticket.deadline <= step.now;
        if (deadlinePassed)
            finish(step, id, FinishReason::DeadlineExceeded, gatewayTimeout, std::nullopt);
        else
            finish(step, id, FinishReason::WaitTooLong, serviceUnavailable, std::nullopt);
    }
}

void finishAllQuarantined(Step& step)
{
    std::vector<RequestId> waiting;
    for (const auto& [caller, callerQueue] : step.state.queue.callers) {
        for (const auto& entry : callerQueue.waiting)
            waiting.push_back(entry.id);
    }
    for (const RequestId& id : waiting)
        finishIfQuarantined(step, id);
}

void recordPossibleCrash(Step& step, std::uint64_t fingerprint, const TargetAddress& target, TimePoint startedAt)
{
    const CrashPolicy& policy = step.state.document.crashes;
    if (!recordCrash(step.state.crashes, fingerprint, target, startedAt, policy, step.now))
        return;
    step.actions.push_back(QuarantineNotice { fingerprint, policy.refuseFor });
    finishAllQuarantined(step);
}

}
