#include "ActiveRequest.h"

#include "CallerIdentity.h"

#include "flamingowick/proxy/Allotments.h"
#include "flamingowick/proxy/OrganisationLabels.h"

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

    // Subtracted from the caller's timeout, which began before the request arrived here and also covers the
    // time that the response takes to reach the caller.
    constexpr Duration responseMargin { milliseconds(20) };
    // Longest timeout that is read from a request's header: one hour.
    constexpr int maxCallerTimeoutMs = 3'600'000;
    // Minimum time before the deadline for an attempt to be started.
    constexpr Duration minAttemptTime { milliseconds(20) };
    // Minimum age of an attempt before a hedge is requested.
    constexpr int minHedgeDelayMs = 50;
    // How soon a hedge is considered again that was put off because a response is being received.
    constexpr Duration transferCheckInterval { milliseconds(100) };
    // Age up to which an unused token is given back. Older ones would let requests that were sent long ago and newer ones run in
    // one window of the allotment.
    constexpr Duration maxReturnAge { milliseconds(300) };
    // Reason in logs of a response that a target has given.
    constexpr std::string_view targetResponse { "target" };
    // Bytes of a target's header that a log line contains at most.
    constexpr std::size_t maxLoggedHeaderBytes = 32;

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

ActiveRequest::ActiveRequest(Entry& owner, std::shared_ptr<CallerExchange> connection, std::shared_ptr<const AppliedConfiguration> applied, const Route& chosen, std::string chosenService, const organisations::Organisation* callerOrganisation)
    : entry(owner)
    , context(owner.context)
    , caller(std::move(connection))
    , configuration(std::move(applied))
    , route(chosen)
    , service(std::move(chosenService))
    , hidesKey(this->configuration->configuration.organisations.has_value())
    , requestId(headerValue(this->caller->request(), this->context.settings.headers.requestId))
    , fingerprint(fingerprintOf(this->caller->request()))
    , receivedAt(this->caller->requestStartedAt())
    , workload(static_cast<std::uint32_t>(stableHash(this->route.name)))
    , timer(this->context.io)
{
    const Duration timeLimit = callerTimeout(this->caller->request(), this->context.settings.headers.timeLeft, this->route.timeout);
    this->deadline = this->receivedAt + std::max<Duration>(timeLimit - responseMargin, Duration::zero());
    this->setOrganisation(callerOrganisation);
}

void ActiveRequest::setOrganisation(const organisations::Organisation* callerOrganisation)
{
    this->organisation = callerOrganisation ? callerOrganisation->name : std::string();
    this->priority = callerOrganisation ? callerOrganisation->priority.value_or(this->route.priority) : this->route.priority;
    this->allotment = callerOrganisation ? organisations::Allotment { callerOrganisation->ratePerSecond, callerOrganisation->burst } : organisations::Allotment {};
}

EventFields ActiveRequest::identityFields() const
{
    EventFields fields;
    fields.text("request", this->requestId);
    if (!this->organisation.empty())
        fields.text("organisation", this->organisation);
    return fields;
}

void ActiveRequest::handleConfigurationChange()
{
    const Configuration& changed = this->context.appliedConfiguration->configuration;
    if (this->completed || !changed.organisations)
        return;
    const CallerIdentity identity = identifyCaller(this->caller->request(), this->context.settings.headers, *changed.organisations, this->context.digestKey, this->route.isPublic);
    const bool sent = !this->attempts.empty() || this->mayHaveExecuted;
    if (!isAdmitted(identity)) {
        this->context.log.write(EventScope::Request, "entry", "key-gone", this->identityFields().text("reason", toString(identity.verdict)).number("configuration", static_cast<std::int64_t>(changed.version)).flag("sent", sent));
        this->keyGone = true;
        if (!sent) {
            this->respondWithError(401, toString(identity.verdict), std::nullopt);
            return;
        }
        // What is at a target ends undisturbed, but goes to no further one.
        this->nextHedgeAt.reset();
        this->abandonGrantRequest();
        if (this->attempts.empty())
            this->respondWithFailure(this->lastRetryAfter);
        return;
    }
    this->hidesKey = true;
    this->keyGone = false;
    if (sent)
        return;
    const std::string before = this->organisation;
    this->setOrganisation(identity.organisation);
    if (this->organisation == before)
        return;
    // The request counts for its new organisation from now on.
    this->releaseToken();
    this->abandonGrantRequest();
    // The grant is requested once the token is there.
    this->nextHedgeAt.reset();
    this->takeToken();
    if (!this->completed)
        this->scheduleTimer();
}

void ActiveRequest::takeToken()
{
    if (this->allotment.ratePerSecond <= 0) {
        this->requestGrant(this->sentCount > 0);
        return;
    }
    this->tokenNumber = this->entry.nextNumber();
    this->tokenOrganisation = this->organisation;
    const std::optional<AllotmentDecision> decision = this->context.allotments.spend(this->organisation, this->allotment, this->tokenNumber);
    if (decision) {
        this->handleAllotmentDecision(*decision);
        return;
    }
    this->tokenState = TokenState::Waiting;
    this->entry.waitingForTokens[this->tokenNumber] = this;
}

void ActiveRequest::handleAllotmentDecision(const AllotmentDecision& decision)
{
    this->entry.waitingForTokens.erase(this->tokenNumber);
    this->tokenState = decision.admitted ? TokenState::Spent : TokenState::None;
    this->tokenSpentAt = Clock::now();
    if (decision.admitted) {
        this->requestGrant(this->sentCount > 0);
        if (!this->completed)
            this->scheduleTimer();
        return;
    }
    const AllotmentUse use = this->context.allotments.useOf(this->organisation);
    this->context.log.write(EventScope::Request, "entry", "over-allotment",
        this->identityFields().real("ratePerSecond", this->allotment.ratePerSecond).real("burst", this->allotment.burst).real("askedHerePerSecond", use.askedPerSecond).real("lentHerePerSecond", use.lentPerSecond).text("decidedBy", decision.alone ? localDecision : std::string_view(use.holder)).milliseconds("ageMs", use.age).milliseconds("retryAfterMs", decision.retryAfter).milliseconds("waitedMs", Clock::now() - this->receivedAt).number("configuration", static_cast<std::int64_t>(this->context.appliedConfiguration->configuration.version)));
    this->context.metrics.increment("flamingowick_allotment_refusals_total", "organisation=\"" + labelOf(this->context.organisationLabels, this->organisation) + (decision.alone ? "\",decidedBy=\"alone\"" : "\",decidedBy=\"holder\""));
    this->respondWithError(429, "over-allotment", decision.retryAfter);
}

void ActiveRequest::releaseToken()
{
    if (this->tokenState == TokenState::Waiting) {
        this->entry.waitingForTokens.erase(this->tokenNumber);
        this->context.allotments.cancel(this->tokenOrganisation, this->tokenNumber);
    } else if (this->tokenState == TokenState::Spent && Clock::now() - this->tokenSpentAt < maxReturnAge) {
        this->context.allotments.giveBack(this->tokenOrganisation);
    }
    this->tokenState = TokenState::None;
}

void ActiveRequest::start()
{
    this->caller->onDisconnect = [self = this->shared_from_this()] { self->handleCallerDisconnect(); };
    const TimePoint now = Clock::now();
    this->context.log.write(EventScope::Request, "entry", "routed",
        this->identityFields().text("fingerprint", fingerprintText(this->fingerprint)).text("route", this->route.name).text("service", this->service).number("configuration", static_cast<std::int64_t>(this->configuration->configuration.version)).milliseconds("configurationAgeMs", now - this->configuration->appliedAt).milliseconds("leftMs", this->deadline - now));
    if (this->deadline - now < minAttemptTime) {
        this->respondWithError(503, "no-time", milliseconds(0));
        return;
    }
    if (this->respondIfQuarantined())
        return;
    this->takeToken();
    if (!this->completed)
        this->scheduleTimer();
}

void ActiveRequest::sendAttempt(const grants::Decision& decision, const std::string& dispatcher)
{
    const TimePoint now = Clock::now();
    const TargetEntry& target = this->context.directory.entries.find(decision.instance)->second.entry;
    AttemptSpec spec;
    spec.instance = decision.instance;
    spec.address = target.target.address;
    spec.requestBytes = this->serializeHeader(decision.instance);
    // Shares the ownership of the whole request.
    spec.requestBody = std::shared_ptr<const std::string>(this->caller, &this->caller->request().body);
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
    attempt.limited = decision.limited;
    this->triedInstances.push_back(decision.instance);
    ++this->sentCount;
    if (this->sentCount > 1)
        this->context.metrics.increment("flamingowick_repeated_sends_total", serviceLabel(this->service));
    this->context.log.write(EventScope::Request, "entry", "sent",
        EventFields().text("request", this->requestId).text("target", decision.instance).text("address", spec.address).text("dispatcher", dispatcher).real("failing", decision.failureProbability).number("inFlight", decision.inFlight).number("waiting", static_cast<std::int64_t>(decision.queueLength)).number("attempt", this->sentCount).milliseconds("ageMs", now - this->receivedAt));
    const std::uint64_t number = attempt.number;
    attempt.connectionAttempt = this->context.links.start(std::move(spec), [self = this->shared_from_this(), number](AttemptResult result) { self->handleAttemptEnd(number, std::move(result)); });
    if (dispatcher != localDecision)
        this->context.localPools.attemptRunning({ this->context.incarnation, number }, { number, attempt.group, attempt.instance, Duration::zero(), this->workload, attempt.targetStartedAt });
    this->entry.runningAttempts.insert(number);
    this->attempts.push_back(std::move(attempt));
    if (this->route.idempotent && this->sentCount < this->route.maxAttempts)
        this->nextHedgeAt = std::max(now + std::max<Duration>(decision.suspicionAge, milliseconds(minHedgeDelayMs)), this->earliestHedge());
    else
        this->nextHedgeAt.reset();
}

// A hedge of a large response may cost its bytes twice, so that it waits for as long as it can still meet the latency
// objective: half of it is left for the second attempt.
TimePoint ActiveRequest::earliestHedge() const
{
    return this->route.largeResponses ? this->receivedAt + this->route.latencyObjective / 2 : TimePoint::min();
}

bool ActiveRequest::isReceivingLargeResponse() const
{
    return this->route.largeResponses && std::any_of(this->attempts.begin(), this->attempts.end(), [this](const Attempt& attempt) { return this->context.links.isReceiving(attempt.connectionAttempt); });
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

std::string ActiveRequest::serializeHeader(const std::string& instance)
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
        if (this->hidesKey && (headerNamesEqual(header.name, names.organisationKey) || headerNamesEqual(header.name, names.organisationName)))
            continue;
        bytes.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    bytes.append(names.timeLeft).append(": ").append(std::to_string(timeLeftMs)).append("\r\n");
    bytes.append(names.expectedInstance).append(": ").append(instance).append("\r\n");
    if (!this->organisation.empty())
        bytes.append(names.organisationName).append(": ").append(this->organisation).append("\r\n");
    const bool framed = !headerValue(request, "content-length").empty() || !headerValue(request, "transfer-encoding").empty();
    if (framed || !request.body.empty())
        bytes.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    bytes.append("\r\n");
    return bytes;
}

void ActiveRequest::reportAttemptEnd(const Attempt& attempt, AttemptOutcome outcome, Duration duration)
{
    const grants::AttemptId attemptId { this->context.incarnation, attempt.number };
    // Attempts that began before this daemon was cut off fail for that reason, which says nothing of their targets.
    const bool mayBePathFault = outcome == AttemptOutcome::TimedOut || outcome == AttemptOutcome::ConnectionBroken;
    if (mayBePathFault && isCutOff(this->context.paths) && attempt.startedAt < *this->context.paths.cutOffSince)
        outcome = AttemptOutcome::Abandoned;
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
    if (!result.member.empty())
        this->context.log.write(EventScope::Request, "entry", "connected-through", EventFields().text("request", this->requestId).text("target", attempt.instance).text("member", result.member).text("outcome", toString(result.outcome)));
    // A target that answers with an error may not have begun to work on the request.
    const bool succeeded = result.outcome == AttemptOutcome::Succeeded;
    if (result.endedByTarget)
        this->checkForCrash(attempt, succeeded);
    else if (succeeded)
        this->context.quarantine.handleSurvival(this->fingerprint);
    if (result.targetLeaving)
        this->context.onTargetLeaving(attempt.instance, attempt.targetStartedAt);
    if (result.outcome == AttemptOutcome::InstanceReplaced)
        this->context.onTargetAbsent(attempt.instance, attempt.targetStartedAt, attempt.address);
    if (result.holdOff || result.holdOffUnreadable)
        this->recordHoldOff(attempt, result);
    this->reportLimit(attempt, result.limit);
    if (result.outcome == AttemptOutcome::Succeeded) {
        this->forwardResponse(result.response);
        return;
    }
    this->context.log.write(EventScope::Request, "entry", "attempt-failed",
        EventFields().text("request", this->requestId).text("target", attempt.instance).text("outcome", toString(result.outcome)).number("status", result.response.status).text("reason", result.reason).text("retryAfter", std::string_view(headerValue(result.response, "retry-after")).substr(0, maxLoggedHeaderBytes)).flag("newConnection", result.newConnection).text("member", result.member).milliseconds("lastedMs", duration));
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

// A connection may also end because the target closed it while idle, resets some connections, breaks some responses off or sends them
// without a length.
void ActiveRequest::checkForCrash(const Attempt& attempt, bool succeeded)
{
    this->context.links.checkAlive(attempt.instance, attempt.address, [&log = this->context.log, &quarantine = this->context.quarantine, fingerprint = this->fingerprint, id = this->requestId, instance = incarnationName(attempt.instance, attempt.targetStartedAt), startedAt = attempt.startedAt, endedAt = Clock::now(), succeeded](bool alive) {
        log.write(EventScope::Request, "entry", "crash-checked", EventFields().text("request", id).text("target", instance).flag("alive", alive).milliseconds("tookMs", Clock::now() - endedAt));
        if (!alive)
            quarantine.handleCrash({ { fingerprint, instance }, Clock::now() - startedAt }, id);
        else if (succeeded)
            quarantine.handleSurvival(fingerprint);
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

void ActiveRequest::reportLimit(const Attempt& attempt, const LimitStatement& limit)
{
    EventFields fields;
    fields.text("request", this->requestId).text("target", attempt.instance);
    if (limit.kind == LimitStatementKind::Unreadable)
        this->context.log.write(EventScope::Request, "entry", "limit-unreadable", fields.text("limit", limit.text));
    const bool named = limit.kind == LimitStatementKind::Named;
    if (named)
        this->context.log.write(EventScope::Request, "entry", "limit-named", fields.real("requestsPerSecond", limit.requestsPerSecond));
    const auto known = this->context.directory.entries.find(attempt.instance);
    const bool hadLimit = attempt.limited || (known != this->context.directory.entries.end() && known->second.limitNamedAt);
    if (named || (limit.kind == LimitStatementKind::None && hadLimit))
        this->context.onTargetLimit({ attempt.instance, attempt.targetStartedAt, named ? std::optional<double>(limit.requestsPerSecond) : std::nullopt });
}

bool ActiveRequest::mayRetry() const
{
    return !this->keyGone && !this->context.quarantine.refusedFor(this->fingerprint) && (this->route.idempotent || !this->mayHaveExecuted) && this->sentCount < std::max(1U, this->route.maxAttempts) && this->deadline - Clock::now() > minAttemptTime;
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
    this->complete(status, targetResponse, instance);
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
        this->identityFields().text("service", this->service).number("status", status).text("reason", reason).text("target", instance).number("attempts", this->sentCount).milliseconds("tookMs", now - this->receivedAt).milliseconds("leftMs", this->deadline - now));
    std::string labels = serviceLabel(this->service);
    this->context.metrics.observeHistogram("flamingowick_request_seconds", labels, now - this->receivedAt);
    this->context.metrics.increment("flamingowick_requests_total", labels.append(",status=\"").append(std::to_string(status)).append("\""));
    if (!this->organisation.empty())
        this->context.metrics.increment("flamingowick_organisation_requests_total", "organisation=\"" + labelOf(this->context.organisationLabels, this->organisation) + "\",status=\"" + std::to_string(status) + "\"");
    // The daemon's own responses with these statuses state that no target runs the request, now or later.
    const bool notRun = (reason != targetResponse && (status == 503 || status == 401)) || (reason == "caller-left" && this->attempts.empty() && !this->mayHaveExecuted);
    if (notRun || this->tokenState == TokenState::Waiting)
        this->releaseToken();
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

void ActiveRequest::endWait()
{
    if (!this->completed && this->attempts.empty() && !this->mayBeginAttempt())
        this->respondStopping();
}

void ActiveRequest::breakOff()
{
    if (this->completed)
        return;
    this->mayHaveExecuted = this->mayHaveExecuted || !this->attempts.empty();
    this->respondStopping();
}

void ActiveRequest::respondStopping()
{
    if (!this->mayHaveExecuted)
        this->lastFailureReason = "stopping";
    this->respondWithFailure(milliseconds(0));
}

bool ActiveRequest::mayBeginAttempt() const
{
    return proxy::mayBeginAttempt(this->context.stopSchedule, this->route.latencyObjective, Clock::now());
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
    if (this->pendingGrant && now >= this->pendingGrant->dueAt)
        this->repeatGrantRequest();
    if (this->nextHedgeAt && now >= *this->nextHedgeAt && this->isReceivingLargeResponse()) {
        this->nextHedgeAt = now + transferCheckInterval;
    } else if (this->nextHedgeAt && now >= *this->nextHedgeAt) {
        this->nextHedgeAt.reset();
        if (!this->pendingGrant && this->tokenState != TokenState::Waiting && this->mayRetry()) {
            this->context.log.write(EventScope::Request, "entry", "hedged", EventFields().text("request", this->requestId).text("service", this->service).milliseconds("ageMs", now - this->receivedAt));
            this->requestGrant(true);
        }
    }
    if (this->nextRetryAt && now >= *this->nextRetryAt) {
        this->nextRetryAt.reset();
        this->retryOrRespond();
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
    if (this->nextRetryAt)
        due = std::min(due, *this->nextRetryAt);
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
            running.push_back({ attempt.number, attempt.group, attempt.instance, Clock::now() - attempt.startedAt, this->workload, attempt.targetStartedAt });
    }
}

}
