#include "flamingowick/daemon/EntryService.h"

#include "flamingowick/daemon/RequestConversion.h"
#include "flamingowick/model/Invariant.h"
#include "flamingowick/telemetry/Log.h"

#include <algorithm>

namespace flamingowick::daemon {

namespace {

    constexpr std::chrono::seconds retryAfterLoss { 1 };
    constexpr unsigned firstServerError = 500;
    // How long past the deadline the dispatcher's own word is waited for.
    constexpr std::chrono::milliseconds answerGrace { 50 };

    std::string serviceLabel(std::string_view service)
    {
        return "service=\"" + std::string(service) + "\"";
    }

    bool needsKey(const RouteRule& rule, bool idempotent)
    {
        return !idempotent && rule.key == KeyDemand::Required;
    }

}

EntryService::EntryService(CoreContext& shared, EntryNeighbours roles)
    : context(shared)
    , neighbours(std::move(roles))
{
}

void EntryService::receive(gateway::HttpRequest http, TimePoint now)
{
    const std::string* host = gateway::findHeader(http.headers, "Host");
    const routing::Route* route = host == nullptr ? nullptr : this->context.catalogue.routes().find(*host, http.target);
    if (route == nullptr) {
        this->refuse(http.token, 404, "no-route");
        return;
    }
    const ServiceDocument& document = this->context.catalogue.find(route->service)->document;
    if (http.body.size() > document.bodies.maxRequestBytes) {
        this->refuse(http.token, 413, "request-body-too-large");
        return;
    }
    Waiting entry;
    entry.token = http.token;
    entry.receivedAt = now;
    entry.request = makeRequest(std::move(http), document, now);
    entry.request.id = { this->context.self, ++this->counter };
    entry.request.idempotent = routing::isIdempotent(route->rule, entry.request.method);
    const std::string* key = gateway::findHeader(entry.request.headers, idempotencyKeyHeader);
    entry.request.idempotencyKey = key == nullptr ? std::string() : *key;
    if (key == nullptr && needsKey(route->rule, entry.request.idempotent)) {
        this->refuse(entry.token, 400, "idempotency-key-required");
        return;
    }
    RequestId id = entry.request.id;
    this->byToken.emplace(entry.token, id);
    entry.deadline = this->deadlines.emplace(entry.request.deadline + answerGrace, id);
    Waiting& kept = this->waiting.emplace(id, std::move(entry)).first->second;
    this->forward(kept, now);
}

void EntryService::refuse(gateway::ExchangeToken token, unsigned status, std::string_view reason)
{
    RequestId id { this->context.self, ++this->counter };
    this->context.metrics.count("flamingowick_refused_total", "reason=\"" + std::string(reason) + "\"");
    Answer answer = makeProblem(status, Outcome::NotRun, reason, retryAfterLoss);
    if (status < firstServerError)
        answer.retryAfter.reset();
    this->context.ports.respondCaller(token, makeResponse(std::move(answer), id));
}

const Member* EntryService::nextDispatcher(const Waiting& entry) const
{
    for (const std::string& vm : this->context.members.orderFor(entry.request.service)) {
        const Member* member = this->context.members.find(vm);
        if (std::find(entry.tried.begin(), entry.tried.end(), member->id) == entry.tried.end())
            return member;
    }
    return nullptr;
}

void EntryService::forward(Waiting& entry, TimePoint now)
{
    const Member* dispatcher = this->nextDispatcher(entry);
    if (dispatcher == nullptr) {
        Outcome outcome = entry.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        this->finish(entry.request.id, makeProblem(503, outcome, "no-dispatcher", retryAfterLoss), now);
        return;
    }
    entry.dispatcher = dispatcher->id;
    entry.tried.push_back(dispatcher->id);
    ++entry.attempt;
    peers::ForwardRequest message { entry.request, entry.attempt, this->context.settings.failureDomain };
    if (dispatcher->id == this->context.self) {
        this->neighbours.dispatchLocally(std::move(message));
        return;
    }
    // A refused message comes back like one that found no connection.
    if (!this->context.ports.sendPeer(dispatcher->peerAddress, dispatcher->id.incarnation, message))
        this->forwardNotSent(message, now);
}

void EntryService::forwardNotSent(const peers::ForwardRequest& message, TimePoint now)
{
    auto found = this->waiting.find(message.request.id);
    if (found == this->waiting.end() || found->second.attempt != message.attempt)
        return;
    this->forward(found->second, now);
}

void EntryService::callerGone(gateway::ExchangeToken token)
{
    auto known = this->byToken.find(token);
    if (known == this->byToken.end())
        return;
    auto found = this->waiting.find(known->second);
    this->byToken.erase(known);
    if (found == this->waiting.end())
        return;
    const Waiting& entry = found->second;
    this->context.metrics.count("flamingowick_caller_gone_total", serviceLabel(entry.request.service));
    const Member* dispatcher = this->context.members.find(entry.dispatcher.vm);
    if (entry.dispatcher == this->context.self)
        this->neighbours.cancelLocally(entry.request.id, entry.attempt);
    else if (dispatcher != nullptr)
        this->context.ports.sendPeer(dispatcher->peerAddress, entry.dispatcher.incarnation, peers::ForwardCancel { entry.request.id, entry.attempt });
}

void EntryService::forwardAnswered(const peers::ForwardAnswer& message, TimePoint now)
{
    auto found = this->waiting.find(message.id);
    if (found == this->waiting.end() || found->second.attempt != message.attempt) {
        this->context.metrics.count("flamingowick_late_answers_total");
        return;
    }
    Answer answer = message.answer;
    // An earlier attempt whose end is not known may have run, whatever the last one says.
    if (answer.outcome == Outcome::NotRun && found->second.mayHaveRun)
        answer.outcome = Outcome::Unknown;
    this->finish(message.id, std::move(answer), now);
}

void EntryService::memberLost(const DaemonId& lost, TimePoint now)
{
    std::vector<RequestId> affected;
    for (const auto& [id, entry] : this->waiting) {
        if (entry.dispatcher == lost)
            affected.push_back(id);
    }
    for (const RequestId& id : affected) {
        auto found = this->waiting.find(id);
        if (found != this->waiting.end())
            this->forwardAgain(found->second, now);
    }
}

void EntryService::forwardAgain(Waiting& entry, TimePoint now)
{
    entry.mayHaveRun = true;
    if (!entry.request.idempotent || entry.sentAgain) {
        this->finish(entry.request.id, makeProblem(502, Outcome::Unknown, "dispatcher-lost", retryAfterLoss), now);
        return;
    }
    entry.sentAgain = true;
    this->context.metrics.count("flamingowick_forwarded_again_total", serviceLabel(entry.request.service));
    this->forward(entry, now);
}

void EntryService::finish(const RequestId& finished, Answer answer, TimePoint now)
{
    auto found = this->waiting.find(finished);
    // finished may refer to the entry that is moved from.
    RequestId id = found->first;
    Waiting entry = std::move(found->second);
    this->waiting.erase(found);
    this->byToken.erase(entry.token);
    this->deadlines.erase(entry.deadline);
    checkInvariant(entry.request.id == id, Invariant::OwnAnswerOnly, "an answer went to another request");
    this->count(entry, answer, now);
    this->context.ports.respondCaller(entry.token, makeResponse(std::move(answer), id));
}

void EntryService::count(const Waiting& entry, const Answer& answer, TimePoint now)
{
    std::string label = serviceLabel(entry.request.service);
    this->context.metrics.observe("flamingowick_request_seconds", label, now - entry.receivedAt);
    label.append(",outcome=\"").append(toString(answer.outcome)).append("\"");
    this->context.metrics.count("flamingowick_requests_total", label);
    if (answer.outcome == Outcome::Answered)
        return;
    std::string line = "Request " + toString(entry.request.id) + " to " + entry.request.service;
    line.append(" ended ").append(toString(answer.outcome)).append(": ").append(answer.reason).append(".");
    telemetry::logWarning(telemetry::Part::Entry, line);
}

void EntryService::tick(TimePoint now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        RequestId id = this->deadlines.begin()->second;
        this->finish(id, makeProblem(504, Outcome::Unknown, "deadline-exceeded", retryAfterLoss), now);
    }
}

}
