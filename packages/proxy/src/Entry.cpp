#include "flamingowick/proxy/Entry.h"

#include "ActiveRequest.h"
#include "CallerIdentity.h"
#include "MessageNumbers.h"

namespace flamingowick::proxy {

namespace {

    // Values of Retry-After, in seconds, until the first configuration is applied, and while the store, which may have a
    // later one, is unavailable.
    constexpr std::string_view startingRetryAfter = "0.250";
    constexpr std::string_view staleRetryAfter = "1.000";
    // Of a daemon that stops; others take the request at once.
    constexpr std::string_view stoppingRetryAfter = "0.000";

    void respondPlain(CallerExchange& caller, unsigned status, std::string_view reason, std::vector<Header> headers = {})
    {
        HttpMessage response;
        response.status = status;
        response.headers = std::move(headers);
        response.headers.push_back({ "Content-Type", "text/plain" });
        response.body = std::string(reason).append("\n");
        caller.respond(response);
    }

}

Entry::Entry(EntryContext& entryContext)
    : context(entryContext)
    , random(entryContext.incarnation)
    , lastNumber(firstMessageNumber(entryContext.settings.vm, entryContext.incarnation))
{
}

Entry::~Entry() = default;

std::uint64_t Entry::nextNumber()
{
    return ++this->lastNumber;
}

std::size_t Entry::chooseSplitPart(const Route& route)
{
    if (route.parts.size() == 1)
        return 0;
    std::vector<double> weights;
    for (const RouteSplitPart& part : route.parts)
        weights.push_back(part.weight);
    SplitState& state = this->splitStates[route.host + " " + route.pathPrefix];
    if (state.weights != weights) {
        state.weights = weights;
        state.rotation = grants::startRotation(weights, std::uniform_real_distribution<double>(0, 1)(this->random));
    }
    return grants::nextPart(state.rotation, weights);
}

bool Entry::mayBeRepeated(const HttpMessage& request) const
{
    if (!this->context.appliedConfiguration)
        return false;
    const Route* route = this->context.appliedConfiguration->routes.find(headerValue(request, "host"), request.target);
    return route && route->idempotent;
}

void Entry::handleRequest(const std::shared_ptr<CallerExchange>& caller)
{
    const HttpMessage& request = caller->request();
    const std::string_view id = headerValue(request, this->context.settings.headers.requestId);
    const std::shared_ptr<const AppliedConfiguration> applied = this->context.appliedConfiguration;
    telemetry::EventFields fields;
    fields.text("request", id);
    if (!applied) {
        this->context.log.write(telemetry::EventScope::Request, "entry", "not-routed", fields.text("reason", "no-configuration"));
        respondPlain(*caller, 503, "starting", { { "Retry-After", std::string(startingRetryAfter) } });
        return;
    }
    // A request that was passed on now could be cut off.
    if (!takesRequests(this->context.stopSchedule, Clock::now())) {
        this->context.log.write(telemetry::EventScope::Request, "entry", "not-routed", fields.text("reason", "stopping"));
        this->context.metrics.increment("flamingowick_requests_total", "service=\"\",status=\"503\"");
        respondPlain(*caller, 503, "stopping", { { this->context.settings.headers.requestId, std::string(id) }, { "Retry-After", std::string(stoppingRetryAfter) } });
        return;
    }
    const Route* route = applied->routes.find(headerValue(request, "host"), request.target);
    if (!route) {
        this->context.log.write(telemetry::EventScope::Request, "entry", "not-routed",
            fields.text("reason", "no-route").text("host", headerValue(request, "host")).text("path", request.target).number("configuration", static_cast<std::int64_t>(applied->configuration.version)));
        this->context.metrics.increment("flamingowick_requests_total", "service=\"\",status=\"404\"");
        respondPlain(*caller, 404, "no route");
        return;
    }
    if (id.empty()) {
        this->context.log.write(telemetry::EventScope::Request, "entry", "not-routed", fields.text("reason", "no-request-id"));
        respondPlain(*caller, 400, "no request id");
        return;
    }
    CallerIdentity identity;
    if (applied->configuration.organisations) {
        identity = identifyCaller(request, this->context.settings.headers, *applied->configuration.organisations, this->context.digestKey, route->isPublic);
        if (!isAdmitted(identity)) {
            this->refuseCaller(*caller, id, *route, identity.verdict);
            return;
        }
    }
    const std::size_t part = this->chooseSplitPart(*route);
    auto active = std::make_shared<ActiveRequest>(*this, caller, applied, *route, route->parts[part].service, identity.organisation);
    this->activeRequests.emplace(active.get(), active);
    active->start();
}

// A daemon that is out of touch doesn't know the keys that were added since.
void Entry::refuseCaller(CallerExchange& caller, std::string_view id, const Route& route, KeyVerdict verdict)
{
    const bool stale = verdict == KeyVerdict::Unknown && this->context.directory.storeUnavailable;
    this->context.log.write(telemetry::EventScope::Request, "entry", "not-routed",
        telemetry::EventFields().text("request", id).text("reason", toString(verdict)).text("route", route.name).flag("storeAway", this->context.directory.storeUnavailable).number("configuration", static_cast<std::int64_t>(this->context.appliedConfiguration->configuration.version)));
    this->context.metrics.increment("flamingowick_requests_total", stale ? "service=\"\",status=\"503\"" : "service=\"\",status=\"401\"");
    std::vector<Header> headers { { this->context.settings.headers.requestId, std::string(id) } };
    if (stale)
        headers.push_back({ "Retry-After", std::string(staleRetryAfter) });
    respondPlain(caller, stale ? 503 : 401, toString(verdict), std::move(headers));
}

std::vector<std::shared_ptr<ActiveRequest>> Entry::copyActiveRequests() const
{
    std::vector<std::shared_ptr<ActiveRequest>> requests;
    requests.reserve(this->activeRequests.size());
    for (const auto& [key, active] : this->activeRequests)
        requests.push_back(active);
    return requests;
}

void Entry::handleConfigurationChange()
{
    for (const std::shared_ptr<ActiveRequest>& active : this->copyActiveRequests())
        active->handleConfigurationChange();
}

void Entry::endWaits()
{
    for (const std::shared_ptr<ActiveRequest>& active : this->copyActiveRequests())
        active->endWait();
}

void Entry::breakOff()
{
    for (const std::shared_ptr<ActiveRequest>& active : this->copyActiveRequests())
        active->breakOff();
}

void Entry::handleAllotmentDecision(std::uint64_t request, const AllotmentDecision& decision)
{
    const auto waiting = this->waitingForTokens.find(request);
    if (waiting == this->waitingForTokens.end())
        return;
    const std::shared_ptr<ActiveRequest> active = waiting->second->shared_from_this();
    active->handleAllotmentDecision(decision);
}

void Entry::handleGrantReply(const std::string& dispatcher, const GrantReplyMessage& reply)
{
    const std::uint64_t number = reply.decision.attemptId.number;
    if (const auto pending = this->pendingGrantRequests.find(number); pending != this->pendingGrantRequests.end()) {
        const std::shared_ptr<ActiveRequest> active = pending->second->shared_from_this();
        active->handleGrantReply(dispatcher, reply);
        return;
    }
    // The slot was granted too late to be used. A duplicate of the grant of an attempt in flight must not free its
    // slot.
    if (reply.kind == GrantReplyKind::Granted && this->runningAttempts.find(number) == this->runningAttempts.end())
        this->sendAttemptEnd(dispatcher, { number, {}, grants::AttemptOutcome::Abandoned, Duration::zero() });
}

void Entry::handleAttemptQuery(const std::string& dispatcherAddress, std::uint64_t number)
{
    if (this->runningAttempts.contains(number) || this->pendingGrantRequests.contains(number))
        return;
    this->context.metrics.increment("flamingowick_unused_slots_returned_total");
    this->context.peers.send(dispatcherAddress, AttemptEndMessage { number, {}, grants::AttemptOutcome::Abandoned, Duration::zero() });
}

void Entry::sendAttemptEnd(const std::string& member, const AttemptEndMessage& message)
{
    const grants::AttemptId attemptId { this->context.incarnation, message.number };
    if (member == this->context.fleet.self)
        this->context.hostedPools.attemptEnded(message.group, attemptId, message.outcome, message.duration);
    else if (const auto known = this->context.fleet.members.find(member); known != this->context.fleet.members.end())
        this->context.peers.send(known->second.address, message);
}

void Entry::reportRunningAttempts(const std::string& member, std::string_view group)
{
    std::vector<RunningAttemptMessage> running;
    for (const auto& [key, active] : this->activeRequests)
        active->appendRunningAttempts(group, running);
    const auto known = this->context.fleet.members.find(member);
    for (const RunningAttemptMessage& message : running) {
        if (group.empty()) {
            const std::vector<std::string> dispatchers = dispatchersFor(this->context.fleet, message.group);
            if (dispatchers.empty() || dispatchers.front() != member)
                continue;
        }
        if (member == this->context.fleet.self)
            this->context.hostedPools.attemptRunning({ this->context.incarnation, message.number }, message);
        else if (known != this->context.fleet.members.end())
            this->context.peers.send(known->second.address, message);
    }
}

}
