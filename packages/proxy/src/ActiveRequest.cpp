#include "ActiveRequest.h"

#include "flamingowick/model/Request.h"
#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <charconv>

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
    // Subtracted from the caller's timeout, which began before the request arrived here and also covers the
    // time that the response takes to reach the caller.
    constexpr Duration responseMargin { milliseconds(20) };
    // Longest timeout that is read from a request's header: one hour.
    constexpr int maxCallerTimeoutMs = 3'600'000;
    // Minimum time before the deadline for an attempt to be started.
    constexpr Duration minAttemptTime { milliseconds(20) };
    // Minimum age of an attempt before a hedge is requested.
    constexpr int minHedgeDelayMs = 50;
    // Delay before a hedge that was refused is requested again.
    constexpr Duration hedgeRetryDelay { milliseconds(60) };
    // Instances with an idle connection that a grant request lists at most; it must fit into one datagram.
    constexpr std::size_t maxIdleInstancesSent = 12;
    constexpr std::size_t maxUnusableInstancesSent = 16;
    // Bytes of a target's header that a log line contains at most.
    constexpr std::size_t maxLoggedHeaderBytes = 32;
    // Groups that may refuse a request before the caller gets the refusal.
    constexpr std::size_t maxGroupsTried = 3;

    // Returns the caller's timeout in the header, at most fallback; fallback when the header is absent or malformed.
    Duration callerTimeout(const HttpMessage& request, std::string_view header, Duration fallback)
    {
        const std::string_view text = headerValue(request, header);
        std::int64_t value = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0)
            return fallback;
        return std::min<Duration>(milliseconds(std::min<std::int64_t>(value, maxCallerTimeoutMs)), fallback);
    }

    // Whether callers understand the status as a statement that the request was not executed. A target's response
    // with such a status but without the not-executed header must not be forwarded: the target may have executed it.
    bool impliesNotExecuted(unsigned status) noexcept
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    // Formats a duration as seconds with three decimal places; negative durations as zero.
    std::string secondsText(Duration duration)
    {
        const auto count = std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(duration).count());
        std::string fraction = std::to_string(1000 + count % 1000);
        fraction.front() = '.';
        return std::to_string(count / 1000) + fraction;
    }

    // Excludes the service, because the configuration may lead a request to another one when it comes again, and the
    // caller, because its address may differ then.
    std::uint64_t fingerprintOf(const HttpMessage& request)
    {
        return requestDigest(headerValue(request, "host"), request.method, request.target, {}, request.body);
    }

    std::string serviceLabel(std::string_view service)
    {
        return std::string("service=\"").append(service).append("\"");
    }

}

ActiveRequest::ActiveRequest(Entry& owner, std::shared_ptr<CallerConnection> connection, std::shared_ptr<const AppliedConfiguration> applied, const Route& chosen, std::string chosenService)
    : entry(owner)
    , context(owner.context)
    , caller(std::move(connection))
    , configuration(std::move(applied))
    , route(chosen)
    , service(std::move(chosenService))
    , requestId(headerValue(this->caller->request(), this->context.settings.headers.requestId))
    , fingerprint(fingerprintOf(this->caller->request()))
    , receivedAt(this->caller->requestStartedAt())
    , workload(static_cast<std::uint32_t>(stableHash(this->route.name)))
    , timer(this->context.io)
{
    const Duration timeLimit = callerTimeout(this->caller->request(), this->context.settings.headers.timeLeft, this->route.timeout);
    this->deadline = this->receivedAt + std::max<Duration>(timeLimit - responseMargin, Duration::zero());
}

void ActiveRequest::start()
{
    this->caller->onDisconnect = [self = this->shared_from_this()] { self->handleCallerDisconnect(); };
    const TimePoint now = Clock::now();
    this->context.log.write(EventScope::Request, "entry", "routed",
        EventFields().text("request", this->requestId).text("fingerprint", fingerprintText(this->fingerprint)).text("route", this->route.name).text("service", this->service).number("configuration", static_cast<std::int64_t>(this->configuration->configuration.version)).milliseconds("configurationAgeMs", now - this->configuration->appliedAt).milliseconds("leftMs", this->deadline - now));
    if (this->deadline - now < minAttemptTime) {
        this->respondWithError(503, "no-time", milliseconds(0));
        return;
    }
    if (this->respondIfQuarantined())
        return;
    this->requestGrant(false);
    if (!this->completed)
        this->scheduleTimer();
}

std::vector<std::string> ActiveRequest::instancesWithIdleConnection() const
{
    std::vector<std::string> idleInstances;
    const TimePoint now = Clock::now();
    for (const auto& [instance, known] : this->context.directory.entries) {
        if (known.entry.service == this->service && !known.entry.target.leaving && !isHeldOff(known, now) && this->context.links.hasIdle(instance, this->route.idempotent))
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
        if (parsed && known.entry.service == parsed->service && (known.entry.target.leaving || isHeldOff(known, now)) && isInGroup(*parsed, instance)) {
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
    request.priority = this->route.priority;
    request.isRetry = this->pendingGrant->isRetry;
    request.earnsRetryCredit = !this->retryCreditSent;
    this->retryCreditSent = true;
    request.idempotent = this->route.idempotent;
    request.workload = this->workload;
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
    this->entry.pendingGrantRequests.erase(this->pendingGrant->number);
    this->pendingGrant.reset();
    if (!acceptsRequests(this->context.directory, decision.instance, Clock::now())) {
        // The dispatcher's list is out of date, or the target holds off this daemon, which others don't know.
        const auto known = this->context.directory.entries.find(decision.instance);
        const bool heldOff = known != this->context.directory.entries.end() && isHeldOff(known->second, Clock::now());
        this->context.log.write(EventScope::Request, "entry", "grant-declined", EventFields().text("request", this->requestId).text("target", decision.instance).text("dispatcher", dispatcher).text("reason", heldOff ? "held-off" : "not-listed"));
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
    this->sendAttempt(decision, dispatcher);
}

void ActiveRequest::sendAttempt(const grants::Decision& decision, const std::string& dispatcher)
{
    const TimePoint now = Clock::now();
    const TargetEntry& target = this->context.directory.entries.find(decision.instance)->second.entry;
    AttemptSpec spec;
    spec.instance = decision.instance;
    spec.address = target.target.address;
    spec.requestBytes = this->serializeRequest(decision.instance);
    spec.requestId = this->requestId;
    spec.idempotent = this->route.idempotent;
    spec.isHeadRequest = this->caller->request().method == "HEAD";
    Attempt attempt;
    attempt.number = decision.attemptId.number;
    attempt.instance = decision.instance;
    attempt.address = spec.address;
    attempt.group = groupName(groupOf(this->service, decision.instance, this->targetGroupCount()));
    attempt.dispatcher = dispatcher;
    attempt.targetStartedAt = target.startedAt;
    attempt.startedAt = now;
    this->triedInstances.push_back(decision.instance);
    ++this->sentCount;
    if (this->sentCount > 1)
        this->context.metrics.increment("flamingowick_repeated_sends_total", serviceLabel(this->service));
    this->context.log.write(EventScope::Request, "entry", "sent",
        EventFields().text("request", this->requestId).text("target", decision.instance).text("address", spec.address).text("dispatcher", dispatcher).real("failing", decision.failureProbability).number("inFlight", decision.inFlight).number("waiting", static_cast<std::int64_t>(decision.queueLength)).number("attempt", this->sentCount).milliseconds("ageMs", now - this->receivedAt));
    const std::uint64_t number = attempt.number;
    attempt.connectionAttempt = this->context.links.start(std::move(spec), [self = this->shared_from_this(), number](AttemptResult result) { self->handleAttemptEnd(number, std::move(result)); });
    if (dispatcher != localDecision)
        this->context.localPools.attemptRunning({ this->context.incarnation, number }, { number, attempt.group, attempt.instance, Duration::zero(), this->workload });
    this->entry.runningAttempts.insert(number);
    this->attempts.push_back(std::move(attempt));
    if (this->route.idempotent && this->sentCount < this->route.maxAttempts)
        this->nextHedgeAt = now + std::max<Duration>(decision.suspicionAge, milliseconds(minHedgeDelayMs));
    else
        this->nextHedgeAt.reset();
}

bool ActiveRequest::respondIfQuarantined()
{
    const std::optional<Duration> remaining = this->context.quarantine.refusedFor(this->fingerprint);
    if (!remaining)
        return false;
    this->lastFailureReason = toString(grants::RefusalReason::RequestQuarantined);
    this->respondWithFailure(*remaining);
    return true;
}

bool ActiveRequest::hasUntriedTarget() const
{
    const auto& entries = this->context.directory.entries;
    return std::any_of(entries.begin(), entries.end(), [this, now = Clock::now()](const auto& item) {
        const TargetEntry& known = item.second.entry;
        return known.service == this->service && !known.target.leaving && !isHeldOff(item.second, now) && std::find(this->triedInstances.begin(), this->triedInstances.end(), item.first) == this->triedInstances.end();
    });
}

void ActiveRequest::handleRefused(const grants::Decision& decision, const std::string& dispatcher)
{
    const std::string group = this->pendingGrant->group;
    const bool isRetry = this->pendingGrant->isRetry;
    this->entry.pendingGrantRequests.erase(this->pendingGrant->number);
    this->pendingGrant.reset();
    this->lastRetryAfter = decision.retryAfter;
    this->lastFailureReason = toString(decision.reason);
    this->context.log.write(EventScope::Request, "entry", "refused",
        EventFields().text("request", this->requestId).text("group", group).text("reason", this->lastFailureReason).number("waiting", static_cast<std::int64_t>(decision.queueLength)).milliseconds("retryAfterMs", decision.retryAfter).flag("repeat", isRetry));
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
        this->nextHedgeAt = Clock::now() + hedgeRetryDelay;
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

std::string ActiveRequest::serializeRequest(const std::string& instance)
{
    const HttpMessage& request = this->caller->request();
    const HeaderNames& names = this->context.settings.headers;
    const auto timeLeftMs = std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(this->deadline - Clock::now()).count());
    std::string bytes;
    bytes.reserve(request.body.size() + 512);
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const Header& header : request.headers) {
        if (isHopByHopHeader(request, header.name) || headerNamesEqual(header.name, "content-length") || headerNamesEqual(header.name, "expect") || headerNamesEqual(header.name, names.timeLeft) || headerNamesEqual(header.name, names.expectedInstance))
            continue;
        bytes.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    bytes.append(names.timeLeft).append(": ").append(std::to_string(timeLeftMs)).append("\r\n");
    bytes.append(names.expectedInstance).append(": ").append(instance).append("\r\n");
    const bool framed = !headerValue(request, "content-length").empty() || !headerValue(request, "transfer-encoding").empty();
    if (framed || !request.body.empty())
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    bytes.append("\r\n").append(request.body);
    return bytes;
}

void ActiveRequest::reportAttemptEnd(const Attempt& attempt, AttemptOutcome outcome, Duration duration)
{
    const grants::AttemptId attemptId { this->context.incarnation, attempt.number };
    this->entry.runningAttempts.erase(attempt.number);
    this->context.localPools.attemptEnded(attempt.group, attemptId, outcome, duration);
    const AttemptEndMessage message { attempt.number, attempt.group, outcome, duration };
    this->entry.sendAttemptEnd(attempt.dispatcher, message);
    // Another dispatcher may have taken over the group and been sent the running attempt; it frees the slot when
    // it receives the end.
    const std::vector<std::string> dispatchers = dispatchersFor(this->context.fleet, attempt.group);
    if (!dispatchers.empty() && dispatchers.front() != attempt.dispatcher)
        this->entry.sendAttemptEnd(dispatchers.front(), message);
}

void ActiveRequest::handleAttemptEnd(std::uint64_t number, AttemptResult result)
{
    const auto found = std::find_if(this->attempts.begin(), this->attempts.end(), [number](const Attempt& attempt) { return attempt.number == number; });
    if (this->completed || found == this->attempts.end())
        return;
    const Attempt attempt = *found;
    this->attempts.erase(found);
    const Duration duration = Clock::now() - attempt.startedAt;
    this->reportAttemptEnd(attempt, result.outcome, duration);
    this->context.metrics.increment("flamingowick_attempts_total", serviceLabel(this->service).append(",outcome=\"").append(toString(result.outcome)).append("\""));
    this->context.metrics.observeHistogram("flamingowick_attempt_seconds", serviceLabel(this->service), duration);
    if (result.outcome == AttemptOutcome::Succeeded || result.outcome == AttemptOutcome::Failed)
        this->context.quarantine.handleSurvival(this->fingerprint);
    if (result.endedWithoutResponse)
        this->checkForCrash(attempt);
    if (result.targetLeaving)
        this->context.onTargetLeaving(attempt.instance, attempt.targetStartedAt);
    if (result.holdOff || result.holdOffUnreadable)
        this->recordHoldOff(attempt, result);
    if (result.outcome == AttemptOutcome::Succeeded) {
        this->forwardResponse(result.response);
        return;
    }
    this->context.log.write(EventScope::Request, "entry", "attempt-failed",
        EventFields().text("request", this->requestId).text("target", attempt.instance).text("outcome", toString(result.outcome)).number("status", result.response.status).text("reason", result.reason).text("retryAfter", std::string_view(headerValue(result.response, "retry-after")).substr(0, maxLoggedHeaderBytes)).flag("newConnection", result.newConnection).milliseconds("lastedMs", duration));
    const bool notExecuted = result.outcome == AttemptOutcome::Shed || result.outcome == AttemptOutcome::InstanceReplaced || result.outcome == AttemptOutcome::Unreachable;
    if (notExecuted) {
        this->lastFailureReason = toString(result.outcome);
        if (result.outcome == AttemptOutcome::Unreachable)
            --this->sentCount;
    } else {
        this->mayHaveExecuted = true;
        if (result.outcome == AttemptOutcome::Failed)
            this->failureResponse = std::move(result.response);
    }
    this->retryOrRespond();
    if (!this->completed)
        this->scheduleTimer();
}

// A connection may also end because the target closed it while idle or resets some connections.
void ActiveRequest::checkForCrash(const Attempt& attempt)
{
    this->context.links.checkAlive(attempt.address, [&log = this->context.log, &quarantine = this->context.quarantine, fingerprint = this->fingerprint, id = this->requestId, instance = attempt.instance, startedAt = attempt.startedAt, endedAt = Clock::now()](bool alive) {
        log.write(EventScope::Request, "entry", "crash-checked", EventFields().text("request", id).text("target", instance).flag("alive", alive).milliseconds("tookMs", Clock::now() - endedAt));
        if (!alive)
            quarantine.handleCrash({ { fingerprint, instance }, Clock::now() - startedAt }, id);
    });
}

void ActiveRequest::recordHoldOff(const Attempt& attempt, const AttemptResult& result)
{
    EventFields fields;
    fields.text("request", this->requestId).text("target", attempt.instance);
    if (result.holdOffUnreadable) {
        this->context.log.write(EventScope::Request, "entry", "hold-off-unreadable", fields.text("retryAfter", headerValue(result.response, "retry-after").substr(0, maxLoggedHeaderBytes)));
        return;
    }
    holdOff(this->context.directory, attempt.instance, attempt.targetStartedAt, Clock::now() + *result.holdOff);
    this->context.metrics.increment("flamingowick_hold_offs_total", serviceLabel(this->service));
    this->context.log.write(EventScope::Request, "entry", "held-off", fields.milliseconds("forMs", *result.holdOff));
}

bool ActiveRequest::mayRetry() const
{
    return !this->context.quarantine.refusedFor(this->fingerprint) && (this->route.idempotent || !this->mayHaveExecuted) && this->sentCount < std::max(1U, this->route.maxAttempts) && this->deadline - Clock::now() > minAttemptTime;
}

void ActiveRequest::retryOrRespond()
{
    // Another attempt or a pending grant request may still lead to a response.
    if (!this->attempts.empty() || this->pendingGrant)
        return;
    if (this->mayRetry()) {
        this->requestGrant(this->sentCount > 0);
        return;
    }
    this->respondWithFailure(this->lastRetryAfter);
}

void ActiveRequest::respondWithFailure(Duration retryAfter)
{
    if (this->failureResponse && !impliesNotExecuted(this->failureResponse->status)) {
        this->forwardResponse(HttpMessage(*this->failureResponse));
        return;
    }
    if (this->mayHaveExecuted)
        this->respondWithError(502, "outcome-unknown", std::nullopt);
    else
        this->respondWithError(503, this->lastFailureReason, retryAfter);
}

void ActiveRequest::forwardResponse(const HttpMessage& response)
{
    if (impliesNotExecuted(response.status)) {
        this->respondWithError(502, "target-failed", std::nullopt);
        return;
    }
    const unsigned status = response.status;
    const std::string instance = this->triedInstances.empty() ? std::string() : this->triedInstances.back();
    this->caller->respond(response);
    this->complete(status, "target", instance);
}

void ActiveRequest::respondWithError(unsigned status, std::string_view reason, std::optional<Duration> retryAfter)
{
    HttpMessage response;
    response.status = status;
    response.headers.push_back({ this->context.settings.headers.requestId, this->requestId });
    response.headers.push_back({ "Content-Type", "text/plain" });
    if (retryAfter)
        response.headers.push_back({ "Retry-After", secondsText(*retryAfter) });
    response.body = std::string(reason).append("\n");
    this->caller->respond(response);
    this->complete(status, reason, {});
}

void ActiveRequest::complete(unsigned status, std::string_view reason, const std::string& instance)
{
    this->completed = true;
    this->caller->onDisconnect = nullptr;
    const TimePoint now = Clock::now();
    this->context.log.write(EventScope::Request, "entry", "answered",
        EventFields().text("request", this->requestId).text("service", this->service).number("status", status).text("reason", reason).text("target", instance).number("attempts", this->sentCount).milliseconds("tookMs", now - this->receivedAt).milliseconds("leftMs", this->deadline - now));
    std::string labels = serviceLabel(this->service);
    this->context.metrics.observeHistogram("flamingowick_request_seconds", labels, now - this->receivedAt);
    this->context.metrics.increment("flamingowick_requests_total", labels.append(",status=\"").append(std::to_string(status)).append("\""));
    this->cancelAttempts(AttemptOutcome::Abandoned);
    this->abandonGrantRequest();
    this->timer.cancel();
    // The map may hold the last reference; this object must outlive the erase.
    const std::shared_ptr<ActiveRequest> self = this->shared_from_this();
    this->entry.activeRequests.erase(this);
}

void ActiveRequest::cancelAttempts(AttemptOutcome outcome)
{
    const TimePoint now = Clock::now();
    for (const Attempt& attempt : this->attempts) {
        this->context.links.cancel(attempt.connectionAttempt);
        this->reportAttemptEnd(attempt, outcome, now - attempt.startedAt);
    }
    this->attempts.clear();
}

void ActiveRequest::handleCallerDisconnect()
{
    if (this->completed)
        return;
    this->complete(499, "caller-left", this->attempts.empty() ? std::string() : this->attempts.back().instance);
}

void ActiveRequest::handleDeadline()
{
    const bool sent = this->mayHaveExecuted || !this->attempts.empty();
    this->cancelAttempts(AttemptOutcome::TimedOut);
    if (this->failureResponse && !impliesNotExecuted(this->failureResponse->status))
        this->forwardResponse(HttpMessage(*this->failureResponse));
    else if (sent)
        this->respondWithError(504, "deadline", std::nullopt);
    else
        this->respondWithError(503, "deadline", this->lastRetryAfter);
}

void ActiveRequest::onTimer()
{
    if (this->completed)
        return;
    const TimePoint now = Clock::now();
    if (now >= this->deadline) {
        this->handleDeadline();
        return;
    }
    if (this->pendingGrant && now >= this->pendingGrant->dueAt) {
        // A dispatcher that queued the request is sent it again, to find out whether it still has it.
        if (this->pendingGrant->queued && this->pendingGrant->dispatcherIndex < maxDispatchersTried && this->pendingGrant->dispatchers[this->pendingGrant->dispatcherIndex] != this->context.fleet.self)
            this->pendingGrant->queued = false;
        this->sendGrantRequest();
    }
    if (this->nextHedgeAt && now >= *this->nextHedgeAt) {
        this->nextHedgeAt.reset();
        if (!this->pendingGrant && this->mayRetry()) {
            this->context.log.write(EventScope::Request, "entry", "hedged", EventFields().text("request", this->requestId).text("service", this->service).milliseconds("ageMs", now - this->receivedAt));
            this->requestGrant(true);
        }
    }
    if (!this->completed)
        this->scheduleTimer();
}

void ActiveRequest::scheduleTimer()
{
    TimePoint due = this->deadline;
    if (this->pendingGrant)
        due = std::min(due, this->pendingGrant->dueAt);
    if (this->nextHedgeAt)
        due = std::min(due, *this->nextHedgeAt);
    if (this->timer.expiry() == due)
        return;
    this->timer.expires_at(due);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (!error)
            self->onTimer();
    });
}

void ActiveRequest::appendRunningAttempts(std::string_view group, std::vector<RunningAttemptMessage>& running) const
{
    for (const Attempt& attempt : this->attempts) {
        if (group.empty() || attempt.group == group)
            running.push_back({ attempt.number, attempt.group, attempt.instance, Clock::now() - attempt.startedAt, this->workload });
    }
}

}
