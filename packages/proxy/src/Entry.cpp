#include "flamingowick/proxy/Entry.h"

#include "ActiveRequest.h"

namespace flamingowick::proxy {

namespace {

    // Value of Retry-After, in seconds, until the first configuration is applied.
    constexpr std::string_view startingRetryAfter = "0.250";

    void respondPlain(CallerConnection& caller, unsigned status, std::string_view reason)
    {
        HttpMessage response;
        response.status = status;
        response.headers.push_back({ "Content-Type", "text/plain" });
        if (status == 503)
            response.headers.push_back({ "Retry-After", std::string(startingRetryAfter) });
        response.body = std::string(reason).append("\n");
        caller.respond(response);
    }

}

Entry::Entry(EntryContext& entryContext)
    : context(entryContext)
    , random(entryContext.sender)
{
}

Entry::~Entry() = default;

std::uint64_t Entry::nextNumber()
{
    return ++this->lastNumber;
}

std::size_t Entry::choosePart(const Route& route)
{
    if (route.parts.size() == 1)
        return 0;
    std::vector<double> weights;
    for (const RoutePart& part : route.parts)
        weights.push_back(part.weight);
    Rotation& rotation = this->rotations[route.host + " " + route.pathPrefix];
    if (rotation.weights != weights) {
        rotation.weights = weights;
        rotation.rotation = grants::startRotation(weights, std::uniform_real_distribution<double>(0, 1)(this->random));
    }
    return grants::nextPart(rotation.rotation, weights);
}

void Entry::serve(const std::shared_ptr<CallerConnection>& caller)
{
    const HttpMessage& request = caller->request();
    const std::string_view id = headerValue(request, this->context.settings.headers.requestId);
    const std::shared_ptr<const ConfigurationInForce> inForce = this->context.inForce;
    telemetry::EventFields fields;
    fields.text("request", id);
    if (!inForce) {
        this->context.log.write(telemetry::Weight::Request, "entry", "not-routed", fields.text("reason", "no-configuration"));
        respondPlain(*caller, 503, "starting");
        return;
    }
    const Route* route = inForce->routes.find(headerValue(request, "host"), request.target);
    if (!route) {
        this->context.log.write(telemetry::Weight::Request, "entry", "not-routed",
            fields.text("reason", "no-route").text("host", headerValue(request, "host")).text("path", request.target).number("configuration", static_cast<std::int64_t>(inForce->configuration.version)));
        this->context.metrics.count("flamingowick_requests_total", "service=\"\",status=\"404\"");
        respondPlain(*caller, 404, "no route");
        return;
    }
    if (id.empty()) {
        this->context.log.write(telemetry::Weight::Request, "entry", "not-routed", fields.text("reason", "no-request-id"));
        respondPlain(*caller, 400, "no request id");
        return;
    }
    const std::size_t part = this->choosePart(*route);
    auto active = std::make_shared<RequestCourse>(*this, caller, inForce, *route, route->parts[part].service);
    this->courses.emplace(active.get(), active);
    active->begin();
}

void Entry::takeWord(const std::string& dispatcher, const WordMessage& reply)
{
    const std::uint64_t number = reply.decision.key.number;
    if (const auto pending = this->asking.find(number); pending != this->asking.end()) {
        const std::shared_ptr<RequestCourse> active = pending->second->shared_from_this();
        active->takeWord(dispatcher, reply);
        return;
    }
    // The slot was granted too late to be used. A duplicate of the grant of an attempt in flight must not free its
    // slot.
    if (reply.kind == WordKind::Granted && this->activeNumbers.find(number) == this->activeNumbers.end())
        this->sendEnd(dispatcher, { number, {}, grants::Outcome::Abandoned, Duration::zero() });
}

void Entry::sendEnd(const std::string& member, const EndMessage& message)
{
    const grants::AttemptKey key { this->context.sender, message.number };
    if (member == this->context.fleet.self)
        this->context.hosted.end(message.group, key, message.outcome, message.lasted);
    else if (const auto known = this->context.fleet.members.find(member); known != this->context.fleet.members.end())
        this->context.peers.send(known->second.address, message);
}

void Entry::reportRunning(const std::string& member, std::string_view group)
{
    std::vector<RunningMessage> running;
    for (const auto& [key, active] : this->courses)
        active->listRunning(group, running);
    const auto known = this->context.fleet.members.find(member);
    for (const RunningMessage& message : running) {
        if (group.empty()) {
            const std::vector<std::string> dispatchers = dispatchersOf(this->context.fleet, message.group);
            if (dispatchers.empty() || dispatchers.front() != member)
                continue;
        }
        if (member == this->context.fleet.self)
            this->context.hosted.running({ this->context.sender, message.number }, message);
        else if (known != this->context.fleet.members.end())
            this->context.peers.send(known->second.address, message);
    }
}

}
