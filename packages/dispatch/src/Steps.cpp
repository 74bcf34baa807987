#include "flamingowick/dispatch/detail/Steps.h"

#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::dispatch::detail {

namespace {

    constexpr std::chrono::seconds shortestRetryAfter { 1 };
    constexpr std::chrono::seconds longestRetryAfter { 60 };
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
    return std::clamp(wait, shortestRetryAfter, longestRetryAfter);
}

void setExpiry(DispatcherState& state, const RequestId& id, TimePoint expiry)
{
    ActiveRequest& request = state.requests.at(id);
    state.expiries.erase({ request.expiry, id });
    request.expiry = expiry;
    state.expiries.insert({ expiry, id });
}

void forget(DispatcherState& state, const RequestId& id)
{
    auto place = state.requests.find(id);
    state.expiries.erase({ place->second.expiry, id });
    state.requests.erase(place);
}

void finish(Step& step, const RequestId& id, FinishReason reason, unsigned status, std::optional<std::chrono::seconds> retryAfter)
{
    ActiveRequest& request = step.state.requests.at(id);
    Outcome outcome = outcomeOf(request);
    bool handedOver = request.attempt || request.mayHaveRun;
    checkInvariant(!request.finished, Invariant::OwnAnswerOnly, "a request is finished twice");
    checkInvariant(outcome != Outcome::NotRun || !handedOver, Invariant::NotRunIsTrue, "not-run is said of a request that may have run");
    step.actions.push_back(Finish { id, outcome, status, reason, retryAfter.value_or(suggestRetryAfter(step.state, step.now)) });
    request.finished = true;
    step.state.expiries.erase({ request.expiry, id });
    if (request.attempt) {
        step.actions.push_back(CancelAttempt { id, request.attempt->target });
        return;
    }
    removeWaiting(step.state.queue, request.ticket.caller, id);
    forget(step.state, id);
}

std::optional<TimePoint> refusedUntil(const Step& step, const Ticket& ticket)
{
    std::optional<TimePoint> latest;
    for (std::uint64_t fingerprint : fingerprints(ticket))
        latest = std::max(latest, step.state.policy.refusal(step.state.crashes, fingerprint, step.now));
    return latest;
}

bool finishIfRefused(Step& step, const RequestId& id)
{
    auto until = refusedUntil(step, step.state.requests.at(id).ticket);
    if (!until)
        return false;
    auto remaining = std::chrono::ceil<std::chrono::seconds>(*until - step.now);
    finish(step, id, FinishReason::RequestQuarantined, serviceUnavailable, remaining);
    return true;
}

void wait(Step& step, const RequestId& id, bool first)
{
    const Ticket& ticket = step.state.requests.at(id).ticket;
    enqueue(step.state.queue, ticket.caller, id, first);
    setExpiry(step.state, id, std::min(ticket.deadline, step.now + step.state.document.queue.maxWait));
}

void shortenQueue(Step& step)
{
    WaitQueue& queue = step.state.queue;
    while (queue.waiting > step.state.document.queue.maxWaiting) {
        std::string_view caller = step.state.policy.displace(queue);
        RequestId newest = queue.callers.find(caller)->second.waiting.back().id;
        finish(step, newest, FinishReason::QueueFull, serviceUnavailable, std::nullopt);
    }
}

void expire(Step& step)
{
    auto& expiries = step.state.expiries;
    while (!expiries.empty() && expiries.begin()->at <= step.now) {
        RequestId id = expiries.begin()->id;
        bool late = step.state.requests.at(id).ticket.deadline <= step.now;
        if (late)
            finish(step, id, FinishReason::DeadlineExceeded, gatewayTimeout, std::nullopt);
        else
            finish(step, id, FinishReason::WaitTooLong, serviceUnavailable, std::nullopt);
    }
}

void finishRefused(Step& step)
{
    std::vector<RequestId> waiting;
    for (const auto& [caller, own] : step.state.queue.callers) {
        for (const auto& entry : own.waiting)
            waiting.push_back(entry.id);
    }
    for (const RequestId& id : waiting)
        finishIfRefused(step, id);
}

void noteCrash(Step& step, std::uint64_t fingerprint, const TargetAddress& target, TimePoint startedAt)
{
    const CrashPolicy& policy = step.state.document.crashes;
    if (!recordCrash(step.state.crashes, fingerprint, target, startedAt, policy, step.now))
        return;
    step.actions.push_back(QuarantineNotice { fingerprint, policy.refuseFor });
    finishRefused(step);
}

}
