#include "flamingowick/dispatch/Dispatcher.h"

#include "flamingowick/dispatch/detail/Steps.h"

#include <algorithm>
#include <utility>

namespace flamingowick::dispatch {

namespace {

    using detail::Step;

    // Targets that are warming up gain slots without an event, so queued requests are re-examined at this interval.
    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    constexpr unsigned clientClosedRequest = 499;

    // Records the id of the request. Returns false if it was submitted before.
    bool registerSubmission(Step& step, const Ticket& ticket)
    {
        DispatcherState& state = step.state;
        if (state.requests.contains(ticket.id) || state.seen.contains(ticket.id))
            return false;
        state.seen.insert(ticket.id);
        TimePoint until = std::max(ticket.deadline, step.now + state.document.deadlines.maxTimeout);
        state.seenUntil.insert({ until, ticket.id });
        return true;
    }

    void removeExpiredSeenIds(Step& step)
    {
        auto& seenUntil = step.state.seenUntil;
        while (!seenUntil.empty() && seenUntil.begin()->at <= step.now) {
            step.state.seen.erase(seenUntil.begin()->id);
            seenUntil.erase(seenUntil.begin());
        }
    }

    void apply(Step& step, const Submit& event)
    {
        const Ticket& ticket = event.ticket;
        if (!registerSubmission(step, ticket))
            return;
        ActiveRequest request;
        request.ticket = ticket;
        request.expiry = ticket.deadline;
        step.state.requests.emplace(ticket.id, std::move(request));
        if (!detail::finishIfQuarantined(step, ticket.id))
            detail::enqueueRequest(step, ticket.id, false);
    }

    void apply(Step& step, const TargetAnswered& event)
    {
        detail::endAttempt(step, event);
    }

    void apply(Step& step, const Cancelled& event)
    {
        auto found = step.state.requests.find(event.id);
        if (found != step.state.requests.end() && !found->second.finished)
            detail::finish(step, event.id, FinishReason::CallerCancelled, clientClosedRequest, std::nullopt);
    }

    void apply(Step& step, const TargetsChanged& event)
    {
        applyList(step.state.targets, event, step.now);
    }

    void apply(Step& step, const TargetLeaving& event)
    {
        applyLeaving(step.state.targets, event, step.now);
    }

    void apply(Step& step, const TargetStarted& event)
    {
        applyStart(step.state.targets, event, step.now);
    }

    void apply(Step& step, const TargetHealth& event)
    {
        applyHealth(step.state.targets, event, step.now);
    }

    void apply(Step& step, const PeerGrant& event)
    {
        applyGrant(step.state.retries, event);
    }

    void apply(Step& step, const CrashReport& event)
    {
        // The report does not state when the attempt began; the minimum makes each target count only once.
        detail::recordPossibleCrash(step, event.fingerprint, event.target, TimePoint::min());
    }

    void apply(Step& step, const QuarantineNotice& event)
    {
        refuse(step.state.crashes, event.fingerprint, step.now + event.remaining);
        detail::finishAllQuarantined(step);
    }

    void apply(Step& step, const UpdateDocument& event)
    {
        step.state.document = event.document;
        for (const auto& [caller, callerQueue] : step.state.queue.callers) {
            for (const auto& entry : callerQueue.waiting) {
                TimePoint expiry = step.state.requests.at(entry.id).expiry;
                detail::setExpiry(step.state, entry.id, std::min(expiry, step.now + event.document.queue.maxWait));
            }
        }
    }

    void apply(Step&, const Tick&)
    {
    }

}

bool Expiry::operator<(const Expiry& other) const noexcept
{
    if (this->at != other.at)
        return this->at < other.at;
    if (this->id.counter != other.id.counter)
        return this->id.counter < other.id.counter;
    if (this->id.origin.incarnation != other.id.origin.incarnation)
        return this->id.origin.incarnation < other.id.origin.incarnation;
    return this->id.origin.vm < other.id.origin.vm;
}

DispatcherState makeDispatcher(ServiceDocument document, std::string_view failureDomain, std::uint64_t seed, TimePoint now)
{
    DispatcherState state;
    state.document = std::move(document);
    state.failureDomain = failureDomain;
    state.random = seed;
    state.retries.accruedAt = now;
    return state;
}

std::vector<Action> handle(DispatcherState& state, const Event& event, TimePoint now)
{
    std::vector<Action> actions;
    Step step { state, now, actions };
    accrueRetries(state.retries, state.document.retries, now);
    removeExpiredSeenIds(step);
    std::visit([&](const auto& specific) { apply(step, specific); }, event);
    detail::finishExpired(step);
    detail::startWaitingRequests(step);
    detail::enforceQueueLimit(step);
    return actions;
}

std::optional<TimePoint> nextWake(const DispatcherState& state, TimePoint now)
{
    if (state.expiries.empty())
        return std::nullopt;
    TimePoint earliest = state.expiries.begin()->at;
    return state.queue.waiting > 0 ? std::min(earliest, now + tickInterval) : earliest;
}

}
