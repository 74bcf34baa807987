#include "flamingowick/daemon/EntryService.h"

#include "flamingowick/daemon/RequestConversion.h"
#include "flamingowick/telemetry/Log.h"

namespace flamingowick::daemon {

namespace {

    constexpr std::chrono::seconds retryAfterStart { 1 };

    std::string serviceLabel(std::string_view service)
    {
        return "service=\"" + std::string(service) + "\"";
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
    const routing::Route* route = host == nullptr ? nullptr : this->context.catalogue.routes().findRoute(*host, http.target);
    if (route == nullptr) {
        this->refuseUnroutable(http.token);
        return;
    }
    const ServiceDocument& document = this->context.catalogue.find(route->service)->document;
    if (http.body.size() > document.bodies.maxRequestBytes) {
        this->refuse(http.token, 413, "request-body-too-large");
        return;
    }
    gateway::ExchangeToken token = http.token;
    Request request = makeRequest(std::move(http), document, now);
    request.id = { this->context.self, ++this->counter };
    request.idempotent = routing::isIdempotent(route->rule, request.method);
    const std::string* key = gateway::findHeader(request.headers, idempotencyKeyHeader);
    request.idempotencyKey = key == nullptr ? std::string() : *key;
    bool isKeyed = !request.idempotent && key != nullptr;
    if (!request.idempotent && !isKeyed && route->rule.key == KeyDemand::Required) {
        this->refuse(token, 400, "idempotency-key-required");
        return;
    }
    this->byToken.emplace(token, request.id);
    this->waiting.emplace(request.id, Waiting { token, request.service, now, isKeyed });
    this->pass(std::move(request), isKeyed);
}

void EntryService::pass(Request request, bool keyed)
{
    if (keyed)
        this->neighbours.runKeyed(std::move(request));
    else
        this->neighbours.forward(std::move(request));
}

// A daemon that has not all documents yet can't say that there is no route.
void EntryService::refuseUnroutable(gateway::ExchangeToken token)
{
    if (this->neighbours.documentsComplete()) {
        this->refuse(token, 404, "no-route");
        return;
    }
    RequestId id { this->context.self, ++this->counter };
    this->context.ports.respondCaller(token, makeResponse(makeProblem(503, Outcome::NotRun, "not-ready", retryAfterStart), id));
}

void EntryService::refuse(gateway::ExchangeToken token, unsigned status, std::string_view reason)
{
    RequestId id { this->context.self, ++this->counter };
    this->context.metrics.increment("flamingowick_refused_total", "reason=\"" + std::string(reason) + "\"");
    Answer answer = makeProblem(status, Outcome::NotRun, reason, std::chrono::seconds(0));
    // Asking again in the same way makes no sense.
    answer.retryAfter.reset();
    this->context.ports.respondCaller(token, makeResponse(std::move(answer), id));
}

void EntryService::callerGone(gateway::ExchangeToken token)
{
    auto known = this->byToken.find(token);
    if (known == this->byToken.end())
        return;
    RequestId id = known->second;
    this->byToken.erase(known);
    const Waiting& entry = this->waiting.at(id);
    this->context.metrics.increment("flamingowick_caller_gone_total", serviceLabel(entry.service));
    if (entry.keyed)
        this->neighbours.cancelKeyed(id);
    else
        this->neighbours.cancelForward(id);
}

void EntryService::answered(const RequestId& id, TimedAnswer timed, TimePoint now)
{
    auto found = this->waiting.find(id);
    if (found == this->waiting.end())
        return;
    Waiting entry = std::move(found->second);
    this->waiting.erase(found);
    bool isWaitedFor = this->byToken.erase(entry.token) > 0;
    this->count(entry, id, timed.answer, now);
    if (!isWaitedFor)
        return;
    gateway::HttpResponse response = makeResponse(std::move(timed.answer), id);
    if (timed.tellBy && timed.otherwise) {
        response.validUntil = timed.tellBy;
        response.otherwise = std::make_shared<gateway::HttpResponse>(makeResponse(std::move(*timed.otherwise), id));
    }
    this->context.ports.respondCaller(entry.token, std::move(response));
}

void EntryService::count(const Waiting& entry, const RequestId& id, const Answer& answer, TimePoint now)
{
    std::string label = serviceLabel(entry.service);
    this->context.metrics.observeSummary("flamingowick_request_seconds", label, now - entry.receivedAt);
    label.append(",outcome=\"").append(toString(answer.outcome)).append("\"");
    this->context.metrics.increment("flamingowick_requests_total", label);
    if (answer.outcome == Outcome::Answered)
        return;
    std::string line = "Request " + toString(id) + " to " + entry.service;
    line.append(" ended ").append(toString(answer.outcome)).append(": ").append(answer.reason).append(".");
    telemetry::logWarning(telemetry::Part::Entry, line);
}

}
