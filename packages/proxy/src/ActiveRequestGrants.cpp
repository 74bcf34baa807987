#include "ActiveRequest.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>

// How a request gets the grant of a slot: group, dispatchers, local pool, and what follows from the decision.
namespace flamingowick::proxy {

namespace {

    using grants::AttemptOutcome;
    using std::chrono::milliseconds;
    using telemetry::EventFields;
    using telemetry::EventScope;

    // Timeouts for the reply to the first and the second sending of a grant request. A dispatcher on a busy VM
    // replies within a few milliseconds; the second sending covers the loss of one datagram.
    constexpr Duration firstReplyTimeout { milliseconds(25) };
    constexpr Duration secondReplyTimeout { milliseconds(45) };
    // Dispatchers that are tried before the entry decides locally.
    constexpr std::size_t maxDispatchersTried = 2;
    // How often a grant request is sent to one dispatcher that does not reply, before the next one is tried.
    constexpr unsigned maxSendsPerDispatcher = 2;
    // Interval at which a queued grant request is sent again, in case its dispatcher has lost it.
    constexpr Duration grantCheckInterval { milliseconds(250) };
    // Delay before a hedge that was refused is requested again.
    constexpr Duration hedgeRetryDelay { milliseconds(60) };
    // Delay before a retry for which the budget had no token is requested again.
    constexpr Duration retryTokenDelay { milliseconds(200) };
    // Instances with an idle connection that a grant request lists at most; it must fit into one datagram.
    constexpr std::size_t maxIdleInstancesSent = 12;
    constexpr std::size_t maxUnusableInstancesSent = 16;
    // Groups that may refuse a request before the caller gets the refusal.
    constexpr std::size_t maxGroupsTried = 3;

}

std::vector<std::string> ActiveRequest::instancesWithIdleConnection() const
{
    std::vector<std::string> idleInstances;
    const TimePoint now = Clock::now();
    for (const auto& [instance, known] : this->context.directory.entries) {
        if (known.entry.service == this->service && acceptsRequests(known, now) && this->context.links.hasIdle(instance, this->route.idempotent))
            idleInstances.push_back(instance);
    }
    return idleInstances;
}

// Picks two groups at random and returns the one with more idle connections. Groups that refused this request
// are skipped unless all of them did.
unsigned ActiveRequest::chooseGroup(std::span<const std::string> idleInstances, unsigned count) const
{
    std::vector<unsigned> candidates;
    for (unsigned index = 0; index < count; ++index) {
        // Group names are built only when a group has refused, which no group has before the first grant request.
        if (this->refusedGroups.empty() || std::find(this->refusedGroups.begin(), this->refusedGroups.end(), groupName({ this->service, index, count })) == this->refusedGroups.end())
            candidates.push_back(index);
    }
    if (candidates.empty())
        return static_cast<unsigned>(this->entry.random() % count);
    if (this->context.settings.admission == AdmissionPolicy::Shares)
        keepGroupsWithRoom(this->entry.groupRoom, candidates, this->service, count, this->priority, Clock::now());
    const unsigned first = candidates[this->entry.random() % candidates.size()];
    const unsigned second = candidates[this->entry.random() % candidates.size()];
    const auto idleCount = [&](unsigned index) {
        const TargetGroup group { this->service, index, count };
        return std::count_if(idleInstances.begin(), idleInstances.end(), [&group](const std::string& instance) { return isInGroup(group, instance); });
    };
    return idleCount(second) > idleCount(first) ? second : first;
}

unsigned ActiveRequest::targetGroupCount() const
{
    return groupCountFor(countTargets(this->context.directory, this->service));
}

void ActiveRequest::prepareGrantRequest(bool isRetry)
{
    const unsigned count = this->targetGroupCount();
    PendingGrantRequest pending;
    pending.number = this->entry.nextNumber();
    pending.idleConnectionInstances = this->instancesWithIdleConnection();
    const TargetGroup group { this->service, this->chooseGroup(pending.idleConnectionInstances, count), count };
    std::erase_if(pending.idleConnectionInstances, [&group](const std::string& instance) { return !isInGroup(group, instance); });
    pending.idleConnectionInstances.resize(std::min(pending.idleConnectionInstances.size(), maxIdleInstancesSent));
    pending.group = groupName(group);
    pending.dispatchers = dispatchersFor(this->context.fleet, pending.group);
    pending.isRetry = isRetry;
    pending.requestedAt = Clock::now();
    this->pendingGrant = std::move(pending);
    this->entry.pendingGrantRequests[this->pendingGrant->number] = this;
}

void ActiveRequest::requestGrant(bool isRetry)
{
    // While attempts are in flight the request may still be served.
    if (const std::optional<TimePoint> end = soonestHoldOffEnd(this->context.directory, this->service, Clock::now()); end && this->attempts.empty()) {
        this->lastFailureReason = "held-off";
        this->respondWithFailure(*end - Clock::now());
        return;
    }
    this->prepareGrantRequest(isRetry);
    this->sendGrantRequest();
}

void ActiveRequest::appendUnusableInstances(std::string_view group, std::vector<std::string>& instances) const
{
    const std::optional<TargetGroup> parsed = parseGroup(group);
    const TimePoint now = Clock::now();
    std::size_t appended = 0;
    for (const auto& [instance, known] : this->context.directory.entries) {
        if (appended == maxUnusableInstancesSent)
            return;
        if (parsed && known.entry.service == parsed->service && !acceptsRequests(known, now) && isInGroup(*parsed, instance)) {
            instances.push_back(instance);
            ++appended;
        }
    }
}

GrantRequestMessage ActiveRequest::makeGrantRequest()
{
    GrantRequestMessage message;
    message.number = this->pendingGrant->number;
    message.group = this->pendingGrant->group;
    message.fingerprint = this->fingerprint;
    message.timeLeft = this->deadline - Clock::now();
    grants::GrantRequest& request = message.request;
    request.attemptId = { this->context.incarnation, message.number };
    request.requestId = this->requestId;
    request.priority = this->priority;
    request.organisation = this->organisation.empty() ? 0 : stableHash(this->organisation);
    request.isRetry = this->pendingGrant->isRetry;
    this->pendingGrant->isHedge = !this->attempts.empty();
    request.isHedge = this->pendingGrant->isHedge;
    request.earnsRetryCredit = !this->retryCreditSent;
    this->retryCreditSent = true;
    request.idempotent = this->route.idempotent;
    request.workload = this->workload;
    request.largeResponse = this->route.largeResponses;
    request.deadline = this->deadline;
    request.latencyObjective = this->route.latencyObjective;
    request.failureDomain = this->context.settings.failureDomain;
    request.excludedInstances = this->triedInstances;
    this->appendUnusableInstances(message.group, request.excludedInstances);
    request.idleConnectionInstances = this->pendingGrant->idleConnectionInstances;
    return message;
}

void ActiveRequest::sendGrantRequest()
{
    const TimePoint now = Clock::now();
    PendingGrantRequest& pending = *this->pendingGrant;
    while (pending.dispatcherIndex < std::min(pending.dispatchers.size(), maxDispatchersTried)) {
        const std::string& name = pending.dispatchers[pending.dispatcherIndex];
        if (name == this->context.fleet.self) {
            pending.dueAt = now + grantCheckInterval;
            pending.queued = true;
            this->context.hostedPools.requestGrant(this->makeGrantRequest());
            return;
        }
        const auto member = this->context.fleet.members.find(name);
        if (pending.sendCount < maxSendsPerDispatcher && member != this->context.fleet.members.end()) {
            pending.dueAt = now + (pending.sendCount == 0 ? firstReplyTimeout : secondReplyTimeout);
            ++pending.sendCount;
            this->context.peers.send(member->second.address, this->makeGrantRequest());
            return;
        }
        if (markMemberSuspected(this->context.fleet, name, now)) {
            this->context.log.write(EventScope::Process, "fleet", "member-silent", EventFields().text("member", name).text("group", pending.group).text("request", this->requestId));
            this->context.onMemberSuspected();
            // The next dispatcher does not know the attempts that this daemon has in flight.
            if (pending.dispatcherIndex + 1 < pending.dispatchers.size())
                this->entry.reportRunningAttempts(pending.dispatchers[pending.dispatcherIndex + 1], pending.group);
        }
        this->context.metrics.increment("flamingowick_dispatcher_silent_total");
        ++pending.dispatcherIndex;
        pending.sendCount = 0;
        // The dispatcher may grant the request when it goes on.
        this->entry.sendAttemptEnd(name, { pending.number, pending.group, AttemptOutcome::Abandoned, Duration::zero() });
        // A new number keeps a late reply of the previous dispatcher from being taken for the next one's.
        this->entry.pendingGrantRequests.erase(pending.number);
        pending.number = this->entry.nextNumber();
        this->entry.pendingGrantRequests[pending.number] = this;
    }
    this->decideLocally();
}

void ActiveRequest::repeatGrantRequest()
{
    PendingGrantRequest& pending = *this->pendingGrant;
    // A dispatcher that queued the request is sent it again, to find out whether it still has it.
    if (pending.queued && pending.dispatcherIndex < maxDispatchersTried && pending.dispatchers[pending.dispatcherIndex] != this->context.fleet.self)
        pending.queued = false;
    this->sendGrantRequest();
}

// The local pool knows only the attempts and outcomes of this daemon.
void ActiveRequest::decideLocally()
{
    PendingGrantRequest& pending = *this->pendingGrant;
    this->context.metrics.increment("flamingowick_decided_alone_total");
    pending.dueAt = Clock::now() + grantCheckInterval;
    pending.queued = true;
    pending.dispatcherIndex = maxDispatchersTried;
    this->context.localPools.requestGrant(this->makeGrantRequest());
}

void ActiveRequest::abandonGrantRequest()
{
    if (!this->pendingGrant)
        return;
    this->entry.pendingGrantRequests.erase(this->pendingGrant->number);
    // The dispatcher may still have the request in its queue, or have granted it a slot.
    const PendingGrantRequest pending = std::move(*this->pendingGrant);
    this->pendingGrant.reset();
    const grants::AttemptId attemptId { this->context.incarnation, pending.number };
    if (pending.dispatcherIndex >= std::min(pending.dispatchers.size(), maxDispatchersTried)) {
        this->context.localPools.attemptEnded(pending.group, attemptId, AttemptOutcome::Abandoned, Duration::zero());
        return;
    }
    this->entry.sendAttemptEnd(pending.dispatchers[pending.dispatcherIndex], { pending.number, pending.group, AttemptOutcome::Abandoned, Duration::zero() });
}

void ActiveRequest::handleGrantReply(const std::string& dispatcher, const GrantReplyMessage& reply)
{
    if (this->completed || !this->pendingGrant || this->pendingGrant->number != reply.decision.attemptId.number)
        return;
    if (reply.kind == GrantReplyKind::Queued) {
        this->pendingGrant->queued = true;
        this->pendingGrant->sendCount = 0;
        this->pendingGrant->dueAt = Clock::now() + grantCheckInterval;
        this->scheduleTimer();
        return;
    }
    if (reply.kind == GrantReplyKind::Granted)
        this->handleGranted(reply.decision, dispatcher);
    else
        this->handleRefused(reply.decision, dispatcher);
    if (!this->completed)
        this->scheduleTimer();
}

void ActiveRequest::handleGranted(const grants::Decision& decision, const std::string& dispatcher)
{
    const Attempt attempt { this->pendingGrant->number, decision.instance, {}, this->pendingGrant->group, dispatcher, 0, 0, Clock::now() };
    const bool isRetry = this->pendingGrant->isRetry;
    recordGrant(this->entry.groupRoom, this->pendingGrant->group, this->priority);
    this->entry.pendingGrantRequests.erase(this->pendingGrant->number);
    this->pendingGrant.reset();
    const auto known = this->context.directory.entries.find(decision.instance);
    const bool isListed = known != this->context.directory.entries.end();
    const bool isForeign = isListed && known->second.entry.service != this->service;
    if (isForeign || !acceptsRequests(this->context.directory, decision.instance, Clock::now())) {
        // The dispatcher's list is out of date, or the target holds off this daemon, which others don't know.
        std::string_view reason = "not-listed";
        if (isForeign)
            reason = "other-service";
        else if (isListed && known->second.absentUntil)
            reason = "absent";
        else if (isListed && isHeldOff(known->second, Clock::now()))
            reason = "held-off";
        this->context.log.write(EventScope::Request, "entry", "grant-declined", EventFields().text("request", this->requestId).text("target", decision.instance).text("dispatcher", dispatcher).text("reason", reason));
        this->reportAttemptEnd(attempt, AttemptOutcome::Abandoned, Duration::zero());
        this->triedInstances.push_back(decision.instance);
        this->requestGrant(isRetry);
        return;
    }
    // Other daemons may have found out since that the request crashes its targets.
    if (this->context.quarantine.refusedFor(this->fingerprint)) {
        this->reportAttemptEnd(attempt, AttemptOutcome::Abandoned, Duration::zero());
        if (this->attempts.empty())
            this->respondIfQuarantined();
        return;
    }
    if (!this->mayBeginAttempt()) {
        this->reportAttemptEnd(attempt, AttemptOutcome::Abandoned, Duration::zero());
        if (this->attempts.empty())
            this->respondStopping();
        return;
    }
    this->sendAttempt(decision, dispatcher);
}

bool ActiveRequest::hasUntriedTarget() const
{
    const auto& entries = this->context.directory.entries;
    return std::any_of(entries.begin(), entries.end(), [this, now = Clock::now()](const auto& item) {
        return item.second.entry.service == this->service && acceptsRequests(item.second, now) && std::find(this->triedInstances.begin(), this->triedInstances.end(), item.first) == this->triedInstances.end();
    });
}

void ActiveRequest::handleRefused(const grants::Decision& decision, const std::string& dispatcher)
{
    const std::string group = this->pendingGrant->group;
    const bool isRetry = this->pendingGrant->isRetry;
    const bool wasHedge = this->pendingGrant->isHedge;
    this->entry.pendingGrantRequests.erase(this->pendingGrant->number);
    this->pendingGrant.reset();
    this->lastRetryAfter = decision.retryAfter;
    if (decision.reason == grants::RefusalReason::NoSlotInTime && !isRetry)
        recordRefusal(this->entry.groupRoom, group, this->priority, decision.retryAfter, Clock::now());
    this->lastFailureReason = decision.limited ? "at-limit" : toString(decision.reason);
    this->context.log.write(EventScope::Request, "entry", "refused",
        this->identityFields().text("group", group).text("reason", this->lastFailureReason).number("waiting", static_cast<std::int64_t>(decision.queueLength)).milliseconds("retryAfterMs", decision.retryAfter).flag("repeat", isRetry));
    if (decision.reason == grants::RefusalReason::RequestQuarantined) {
        this->context.quarantine.handleNotice({ this->fingerprint, decision.retryAfter });
        if (this->attempts.empty())
            this->respondWithFailure(decision.retryAfter);
        return;
    }
    // A dispatcher that has just started does not know the targets yet.
    if (decision.reason == grants::RefusalReason::NoTarget && dispatcher != localDecision && this->attempts.empty() && this->hasUntriedTarget()) {
        this->prepareGrantRequest(isRetry);
        this->decideLocally();
        return;
    }
    // An attempt in flight may still succeed; if it does not, a slot for a hedge may be free a little later.
    if (!this->attempts.empty()) {
        this->nextHedgeAt = Clock::now() + (decision.reason == grants::RefusalReason::RetryBudgetExhausted ? retryTokenDelay : hedgeRetryDelay);
        return;
    }
    // The attempt beside which the hedge was requested has failed meanwhile. A retry may wait for a slot.
    if (wasHedge && decision.reason == grants::RefusalReason::NoSlotInTime && this->mayRetry()) {
        this->requestGrant(isRetry);
        return;
    }
    // The caller would get the failure of an earlier attempt. Tokens are deposited all the time, so that a retry may still serve it.
    if (decision.reason == grants::RefusalReason::RetryBudgetExhausted && this->mayHaveExecuted && this->mayRetry()) {
        this->nextRetryAt = Clock::now() + retryTokenDelay;
        return;
    }
    this->refusedGroups.push_back(group);
    const unsigned count = this->targetGroupCount();
    if (decision.reason != grants::RefusalReason::RetryBudgetExhausted && this->refusedGroups.size() < std::min<std::size_t>(count, maxGroupsTried)) {
        this->requestGrant(isRetry);
        return;
    }
    this->respondWithFailure(decision.retryAfter);
}

}
