#include "flamingowick/keys/KeyParser.h"
#include "flamingowick/keys/detail/Parts.h"

#include <limits>
#include <vector>

namespace flamingowick::keys::detail {

namespace {

    constexpr unsigned statusUnavailable = 503;
    constexpr std::chrono::seconds defaultRetryDelay { 1 };
    // Maximum number of forwards of one request. After a refusal, which guarantees that no entry was made, the request
    // may go to the next owner; a range that changes its owner more often during one request indicates a fault.
    constexpr unsigned maxForwards = 6;

    void answerWithoutOwner(Context& context, const RequestId& id, std::string_view reason)
    {
        State& state = context.state;
        Outcome outcome = state.policy.outcomeWithoutOwner();
        Answer answer = makeProblem(statusUnavailable, outcome, reason, retryAfterSeconds(3 * state.limits.stampSettle));
        context.actions.emplace_back(AnswerCaller { id, std::move(answer), std::nullopt, std::nullopt });
        state.entry.attempts.erase(id);
    }

    // Returns the owner's latest heartbeat time that had been received at least stampSettle before acceptedAt.
    std::optional<TimePoint> settledStampAt(const State& state, const DaemonId& owner, TimePoint acceptedAt)
    {
        auto found = state.entry.stamps.find(owner.vm);
        if (found == state.entry.stamps.end() || found->second.incarnation != owner.incarnation)
            return std::nullopt;
        const OwnerStamps& stamps = found->second;
        Duration settle = state.limits.stampSettle;
        if (stamps.newer && stamps.newerSince + settle <= acceptedAt)
            return stamps.newer;
        if (stamps.usable && stamps.usableSince + settle <= acceptedAt)
            return stamps.usable;
        return std::nullopt;
    }

    void forwardTo(Context& context, Attempt& attempt, const DaemonId& owner, std::uint64_t epoch)
    {
        std::optional<TimePoint> stamp = settledStampAt(context.state, owner, attempt.acceptedAt);
        if (!stamp) {
            answerWithoutOwner(context, attempt.request.id, "the owner of the key was not heard yet");
            return;
        }
        attempt.forwardedTo = owner;
        attempt.forwardedAt = context.now;
        attempt.epoch = epoch;
        attempt.waitUntil.reset();
        ++attempt.forwards;
        context.actions.emplace_back(Forward { { attempt.request, attempt.range, epoch, owner, stamp, {} } });
    }

    void lookUpOwner(Context& context, const RangeId& id)
    {
        auto [lookup, added] = context.state.entry.lookups.try_emplace(id, context.now);
        bool retryDue = context.now - lookup->second >= context.state.limits.retryInterval;
        if (!added && !retryDue)
            return;
        lookup->second = context.now;
        context.actions.emplace_back(ReadRecord { id });
    }

    // Returns the attempts that wait for an owner of the range and were last forwarded in the epoch or an earlier one.
    std::vector<RequestId> attemptsWaitingFor(const State& state, const RangeId& id, std::uint64_t epoch)
    {
        std::vector<RequestId> waiting;
        for (const auto& [requestId, attempt] : state.entry.attempts) {
            bool open = attempt.forwards == 0 || attempt.waitUntil;
            if (open && attempt.range == id && epoch >= attempt.epoch)
                waiting.push_back(requestId);
        }
        return waiting;
    }

    // Forwards the waiting attempts to the currently known owner.
    void forwardWaitingAttempts(Context& context, const RangeId& id, std::uint64_t epoch)
    {
        const RangeRecord& view = context.state.entry.views.at(id);
        for (const RequestId& waiting : attemptsWaitingFor(context.state, id, epoch)) {
            Attempt& attempt = context.state.entry.attempts.at(waiting);
            if (attempt.forwards < maxForwards)
                forwardTo(context, attempt, view.owner, view.epoch);
        }
    }

}

void handleCallerRequest(Context& context, const Request& request)
{
    EntrySide& entry = context.state.entry;
    auto issued = parseIssuedKey(request.idempotencyKey);
    RangeId range = rangeOf(request.service, request.idempotencyKey, context.state.limits.rangesPerService);
    if (issued)
        range.range = issuedRangeNumber;
    auto [position, added] = entry.attempts.try_emplace(request.id, Attempt { request, range, context.now, {}, {}, 0, 0, {} });
    if (!added)
        return;
    auto view = entry.views.find(range);
    if (issued)
        forwardTo(context, position->second, issued->issuer, 0);
    else if (view != entry.views.end())
        forwardTo(context, position->second, view->second.owner, view->second.epoch);
    else
        lookUpOwner(context, range);
}

void handleCallerGone(Context& context, const RequestId& id)
{
    auto& attempts = context.state.entry.attempts;
    auto found = attempts.find(id);
    if (found == attempts.end())
        return;
    if (found->second.forwards > 0)
        context.actions.emplace_back(ForwardCancel { found->second.forwardedTo, id });
    attempts.erase(found);
}

void handleHeartbeat(Context& context, const HeartbeatReceived& event)
{
    OwnerStamps& stamps = context.state.entry.stamps[event.from.vm];
    if (event.from.incarnation < stamps.incarnation)
        return;
    if (event.from.incarnation > stamps.incarnation)
        stamps = OwnerStamps();
    stamps.incarnation = event.from.incarnation;
    stamps.heardAt = context.now;
    bool settled = stamps.newer && stamps.newerSince + context.state.limits.stampSettle <= context.now;
    if (settled) {
        stamps.usable = stamps.newer;
        stamps.usableSince = stamps.newerSince;
    }
    if ((settled && event.stamp > *stamps.newer) || !stamps.newer) {
        stamps.newer = event.stamp;
        stamps.newerSince = context.now;
    }
}

void updateOwnerView(Context& context, const RangeRecord& record)
{
    EntrySide& entry = context.state.entry;
    if (entry.views.size() >= context.state.limits.maxViews && !entry.views.contains(record.id))
        entry.views.erase(entry.views.begin());
    RangeRecord& view = entry.views[record.id];
    if (record.epoch > view.epoch)
        view = record;
    entry.lookups.erase(record.id);
    forwardWaitingAttempts(context, record.id, view.epoch - 1);
}

void handleOwnerAnnounced(Context& context, const RangeRecord& record)
{
    updateOwnerView(context, record);
    // A new owner refuses requests until it is active, and then announces itself in the same epoch. Attempts that it
    // had refused are forwarded to it again.
    if (record.epoch >= context.state.entry.views.at(record.id).epoch)
        forwardWaitingAttempts(context, record.id, record.epoch);
}

void handleOwnerLookupFailed(Context& context, const RangeId& id)
{
    context.state.entry.lookups.erase(id);
    for (const RequestId& waiting : attemptsWaitingFor(context.state, id, std::numeric_limits<std::uint64_t>::max()))
        answerWithoutOwner(context, waiting, "the owner of the key is not known");
}

void handleForwardAnswered(Context& context, const ForwardAnswered& event)
{
    State& state = context.state;
    auto found = state.entry.attempts.find(event.id);
    if (found == state.entry.attempts.end())
        return;
    TimePoint tellBy = found->second.forwardedAt + event.heldFor + state.limits.tellLimit;
    state.entry.attempts.erase(found);
    AnswerCaller action { event.id, event.answer, std::nullopt, std::nullopt };
    if (event.answer.outcome == Outcome::NotRun) {
        action.tellBy = tellBy;
        action.otherwise = makeProblem(statusUnavailable, Outcome::Unknown, "the answer of the owner came late", defaultRetryDelay);
    }
    if (action.tellBy && context.now > tellBy)
        action = { event.id, *action.otherwise, std::nullopt, std::nullopt };
    context.actions.emplace_back(std::move(action));
}

void handleForwardRefused(Context& context, const ForwardRefused& event)
{
    EntrySide& entry = context.state.entry;
    if (event.record)
        updateOwnerView(context, *event.record);
    auto found = entry.attempts.find(event.id);
    if (found == entry.attempts.end())
        return;
    Attempt& attempt = found->second;
    bool issued = attempt.range.range == issuedRangeNumber;
    if (issued || attempt.forwards >= maxForwards) {
        answerWithoutOwner(context, event.id, "the owner of the key has changed");
        return;
    }
    auto view = entry.views.find(attempt.range);
    if (view != entry.views.end() && view->second.epoch > attempt.epoch) {
        forwardTo(context, attempt, view->second.owner, view->second.epoch);
        return;
    }
    attempt.waitUntil = context.now + context.state.limits.handOverPatience;
    lookUpOwner(context, attempt.range);
}

void handlePeerUnreachable(Context& context, const RequestId& id)
{
    auto found = context.state.entry.attempts.find(id);
    if (found == context.state.entry.attempts.end())
        return;
    if (found->second.range.range != issuedRangeNumber)
        lookUpOwner(context, found->second.range);
    answerWithoutOwner(context, id, "the owner of the key can't be reached");
}

void expireAttempts(Context& context)
{
    std::vector<RequestId> expired;
    for (const auto& [id, attempt] : context.state.entry.attempts) {
        bool waitExpired = attempt.waitUntil && *attempt.waitUntil <= context.now;
        if (waitExpired || attempt.request.deadline <= context.now)
            expired.push_back(id);
    }
    for (const RequestId& id : expired)
        answerWithoutOwner(context, id, "the owner of the key gave no answer in time");
}

}
