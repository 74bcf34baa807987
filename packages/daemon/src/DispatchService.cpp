#include "flamingowick/daemon/DispatchService.h"

#include "flamingowick/daemon/RequestConversion.h"
#include "flamingowick/model/StableHash.h"
#include "flamingowick/telemetry/Log.h"

#include <algorithm>
#include <array>

namespace flamingowick::daemon {

namespace {

    constexpr std::chrono::seconds retryAfterUnknownService { 5 };
    constexpr std::chrono::milliseconds summaryInterval { 500 };
    // How far back an ordinary summary reaches, and how often one reaches back as far as it goes.
    constexpr std::chrono::seconds summaryReach { 2 };
    constexpr std::chrono::seconds fullSummaryInterval { 10 };
    // Dispatchers in rank for a service that keep its evidence, to take over with it.
    constexpr std::size_t evidenceKeepers = 3;
    constexpr std::array<std::string_view, 2> headersSetByTheFleet { "Host", "X-Request-Id" };

    std::string targetLabel(std::string_view service, std::string_view target)
    {
        return "service=\"" + std::string(service) + "\",target=\"" + std::string(target) + "\"";
    }

    dispatch::Ticket makeTicket(const peers::ForwardRequest& message)
    {
        const Request& request = message.request;
        dispatch::Ticket ticket;
        ticket.id = request.id;
        ticket.caller = request.caller;
        ticket.idempotent = request.idempotent;
        ticket.deadline = request.deadline;
        ticket.digest = requestDigest(request);
        if (!request.idempotencyKey.empty())
            ticket.keyDigest = combineHashes(stableHash(request.caller), stableHash(request.idempotencyKey));
        ticket.originDomain = message.originDomain;
        return ticket;
    }

    dispatch::AttemptKind attemptKind(const gateway::AttemptResult& result)
    {
        switch (result.end) {
        case gateway::AttemptEnd::Answered: {
            const std::string* notRun = gateway::findHeader(result.headers, notRunHeader);
            if (notRun == nullptr)
                return dispatch::AttemptKind::Answered;
            return *notRun == "draining" ? dispatch::AttemptKind::Drained : dispatch::AttemptKind::Shed;
        }
        case gateway::AttemptEnd::NotSent:
            return dispatch::AttemptKind::ConnectFailed;
        case gateway::AttemptEnd::ConnectionLost:
            return dispatch::AttemptKind::Crashed;
        case gateway::AttemptEnd::BadAnswer:
            return dispatch::AttemptKind::MaybeRun;
        case gateway::AttemptEnd::TimedOut:
            return dispatch::AttemptKind::TimedOut;
        case gateway::AttemptEnd::Cancelled:
            return dispatch::AttemptKind::Cancelled;
        }
        return dispatch::AttemptKind::MaybeRun;
    }

    health::Result healthResult(dispatch::EvidenceKind kind)
    {
        switch (kind) {
        case dispatch::EvidenceKind::Ok:
            return health::Result::Ok;
        case dispatch::EvidenceKind::Slow:
            return health::Result::Timeout;
        case dispatch::EvidenceKind::PathFailure:
            return health::Result::ConnectFailure;
        case dispatch::EvidenceKind::Error:
        case dispatch::EvidenceKind::CrashExcluded:
            return health::Result::Error;
        }
        return health::Result::Error;
    }

    // Headers for the target: the caller's own, and what the fleet says of the request.
    std::vector<Header> targetHeaders(const Request& request, Duration timeLeft)
    {
        std::vector<Header> headers;
        for (const Header& header : request.headers) {
            std::array<Header, 1> single { header };
            bool isSetByTheFleet = std::any_of(headersSetByTheFleet.begin(), headersSetByTheFleet.end(),
                [&](std::string_view name) { return gateway::findHeader(single, name) != nullptr; });
            if (!isSetByTheFleet && gateway::findHeader(single, timeoutHeader) == nullptr)
                headers.push_back(header);
        }
        headers.push_back({ "Host", request.host });
        headers.push_back({ std::string(requestIdHeader), toString(request.id) });
        auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
        headers.push_back({ std::string(timeoutHeader), std::to_string(milliseconds) });
        return headers;
    }

    std::string describe(const health::EjectionReason& reason)
    {
        return std::to_string(reason.bad) + " bad of " + std::to_string(reason.total) + ", score "
            + std::to_string(reason.score) + " over threshold " + std::to_string(reason.threshold);
    }

}

DispatchService::DispatchService(CoreContext& shared, LocalAnswer toLocal)
    : context(shared)
    , localAnswer(std::move(toLocal))
{
}

void DispatchService::submit(const DaemonId& from, std::string_view fromAddress, peers::ForwardRequest message, TimePoint now)
{
    Group* group = this->groupFor(message.request.service, now);
    RequestId id = message.request.id;
    if (group == nullptr) {
        this->requests.emplace(id, Running { std::move(message.request), from, std::string(fromAddress), message.attempt, {}, {} });
        this->answer(id, makeProblem(503, Outcome::NotRun, "service-not-in-force", retryAfterUnknownService));
        return;
    }
    // A copy of a message that was taken in before.
    if (this->requests.contains(id) || group->dispatcher.seen.contains(id))
        return;
    dispatch::Ticket ticket = makeTicket(message);
    this->requests.emplace(id, Running { std::move(message.request), from, std::string(fromAddress), message.attempt, {}, {} });
    this->run(*group, dispatch::Submit { std::move(ticket) }, now);
}

DispatchService::Group* DispatchService::groupFor(std::string_view service, TimePoint now)
{
    auto known = this->groups.find(service);
    if (known != this->groups.end())
        return &known->second;
    const ServiceInForce* inForce = this->context.catalogue.find(service);
    if (inForce == nullptr)
        return nullptr;
    std::uint64_t seed = combineHashes(stableHash(service), stableHash(this->context.self.vm));
    Group group { dispatch::makeDispatcher(inForce->document, this->context.settings.failureDomain, seed, now), {}, {} };
    Group& kept = this->groups.emplace(std::string(service), std::move(group)).first->second;
    this->documentChanged(service, now);
    this->targetsChanged(service, now);
    return &kept;
}

void DispatchService::documentChanged(std::string_view service, TimePoint now)
{
    auto known = this->groups.find(service);
    const ServiceInForce* inForce = this->context.catalogue.find(service);
    if (known == this->groups.end() || inForce == nullptr)
        return;
    this->runHealth(known->second, health::DocumentChanged { inForce->document.health, inForce->document.targets }, now);
    this->run(known->second, dispatch::UpdateDocument { inForce->document }, now);
}

void DispatchService::targetsChanged(std::string_view service, TimePoint now)
{
    auto known = this->groups.find(service);
    const TargetList* list = this->context.catalogue.targetsOf(service);
    if (known == this->groups.end() || list == nullptr)
        return;
    // An address that the list no longer shows may come back as another life of the target.
    std::erase_if(known->second.leavingTold, [&](const TargetAddress& address) {
        return std::none_of(list->targets.begin(), list->targets.end(), [&](const Target& target) { return target.address == address; });
    });
    this->runHealth(known->second, health::TargetsChanged { list->targets }, now);
    this->run(known->second, dispatch::TargetsChanged { list->targets, list->version }, now);
}

void DispatchService::receive(const peers::LeavingNotice& message, TimePoint now)
{
    Group* group = this->groupFor(message.service, now);
    if (group != nullptr)
        this->run(*group, message.leaving, now);
}

void DispatchService::receive(const peers::ServiceCrashReport& message, TimePoint now)
{
    Group* group = this->groupFor(message.service, now);
    if (group != nullptr)
        this->run(*group, message.report, now);
}

void DispatchService::receive(const peers::ServiceQuarantine& message, TimePoint now)
{
    Group* group = this->groupFor(message.service, now);
    if (group != nullptr)
        this->run(*group, message.notice, now);
}

void DispatchService::receive(const peers::HealthSummary& message, TimePoint now)
{
    Group* group = this->groupFor(message.service, now);
    if (group != nullptr)
        this->runHealth(*group, message.summary, now);
}

void DispatchService::cancel(const RequestId& id, std::uint32_t attempt, TimePoint now)
{
    auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.entryAttempt != attempt)
        return;
    Group* group = this->groupFor(found->second.request.service, now);
    if (group != nullptr)
        this->run(*group, dispatch::Cancelled { id }, now);
}

void DispatchService::run(Group& group, const dispatch::Event& event, TimePoint now)
{
    for (const dispatch::Action& action : dispatch::handle(group.dispatcher, event, now))
        std::visit([&](const auto& each) { this->carryOut(group, each, now); }, action);
}

void DispatchService::carryOut(Group& group, const dispatch::StartAttempt& action, TimePoint now)
{
    Running& running = this->requests.at(action.id);
    const ServiceDocument& document = group.dispatcher.document;
    gateway::AttemptRequest attempt;
    attempt.attempt = ++this->attemptCounter;
    attempt.target = action.target;
    attempt.method = running.request.method;
    attempt.path = running.request.path;
    attempt.timeout = running.request.deadline - now;
    attempt.headers = targetHeaders(running.request, attempt.timeout);
    attempt.body = running.request.body;
    attempt.connectTimeout = std::min(attempt.timeout, document.targets.connectTimeout);
    attempt.maxAnswerBytes = document.bodies.maxAnswerBytes;
    attempt.maxConnections = document.targets.connections;
    std::uint64_t number = attempt.attempt;
    this->attempts.emplace(number, RunningAttempt { action.id, action.target, running.request.service, running.request.idempotent });
    this->attemptOf.insert_or_assign(action.id, number);
    if (!this->context.ports.startAttempt(std::move(attempt)))
        this->attemptEnded({ number, gateway::AttemptEnd::NotSent, 0, {}, {}, Duration(0) }, now);
}

void DispatchService::carryOut(Group&, const dispatch::CancelAttempt& action, TimePoint)
{
    auto found = this->attemptOf.find(action.id);
    if (found != this->attemptOf.end())
        this->context.ports.cancelAttempt(found->second);
}

void DispatchService::carryOut(Group&, const dispatch::Finish& action, TimePoint)
{
    this->answer(action.id, makeProblem(action.status, action.outcome, dispatch::toString(action.reason), action.retryAfter));
}

void DispatchService::carryOut(Group&, const dispatch::PassAnswer& action, TimePoint)
{
    Running& running = this->requests.at(action.id);
    Answer answer;
    answer.status = running.lastResult.status;
    answer.headers = endToEndHeaders(running.lastResult.headers);
    answer.body = std::move(running.lastResult.body);
    answer.target = running.lastTarget;
    this->answer(action.id, std::move(answer));
}

void DispatchService::carryOut(Group& group, const dispatch::Evidence& evidence, TimePoint now)
{
    health::ObserverId observer { this->context.self, evidence.seenFrom };
    if (evidence.kind == dispatch::EvidenceKind::CrashExcluded) {
        this->runHealth(group, health::CrashExcluded { evidence.target, observer, fleetTime(now) }, now);
        return;
    }
    health::Observation observation { evidence.target, healthResult(evidence.kind), evidence.latency, observer, this->evidenceIsIdempotent };
    this->runHealth(group, observation, now);
}

void DispatchService::carryOut(Group& group, const dispatch::CrashReport& action, TimePoint)
{
    this->context.metrics.increment("flamingowick_crash_reports_total");
    sendToAll(this->context, peers::ServiceCrashReport { group.dispatcher.document.name, action });
}

void DispatchService::carryOut(Group& group, const dispatch::QuarantineNotice& action, TimePoint)
{
    telemetry::logWarning(telemetry::Part::Dispatch, "A request to " + group.dispatcher.document.name + " is quarantined: it crashed two targets.");
    this->context.metrics.increment("flamingowick_quarantined_total");
    sendToAll(this->context, peers::ServiceQuarantine { group.dispatcher.document.name, action });
}

// Sends each service's evidence to the daemons that would dispatch for it next.
void DispatchService::sendSummaries(TimePoint now)
{
    if (now < this->nextSummary)
        return;
    bool isFull = now >= this->nextFullSummary;
    this->nextSummary = now + summaryInterval;
    if (isFull)
        this->nextFullSummary = now + fullSummaryInterval;
    health::ObserverId self { this->context.self, this->context.settings.failureDomain };
    TimePoint since = isFull ? TimePoint() : fleetTime(now - summaryReach);
    for (const auto& [service, group] : this->groups) {
        peers::HealthSummary message { service, health::makeSummary(group.health, self, since) };
        if (message.summary.counters.empty() && message.summary.records.empty())
            continue;
        const std::vector<std::string>& order = this->context.members.orderFor(service);
        for (std::size_t rank = 0; rank < std::min(order.size(), evidenceKeepers); ++rank) {
            const Member* member = this->context.members.find(order[rank]);
            if (member->id != this->context.self)
                this->context.ports.sendPeer(member->peerAddress, member->id.incarnation, message);
        }
    }
}

std::vector<TargetAddress> DispatchService::ejectedTargets(std::string_view service) const
{
    std::vector<TargetAddress> ejected;
    auto known = this->groups.find(service);
    if (known == this->groups.end())
        return ejected;
    for (const auto& [address, target] : known->second.dispatcher.targets.byAddress) {
        health::StandingShare standing = health::standingOf(known->second.health, address, this->context.settings.failureDomain);
        if (standing.standing == health::Standing::Ejected || standing.standing == health::Standing::Trickle)
            ejected.push_back(address);
    }
    return ejected;
}

void DispatchService::runHealth(Group& group, const health::Event& event, TimePoint now)
{
    for (const health::Action& action : health::handle(group.health, event, fleetTime(now))) {
        if (const auto* eject = std::get_if<health::Eject>(&action)) {
            telemetry::logWarning(telemetry::Part::Health, "Target " + eject->target + " is ejected: " + describe(eject->reason) + ".");
            this->context.metrics.increment("flamingowick_ejections_total", targetLabel(group.dispatcher.document.name, eject->target));
            this->applyHealth(group, eject->target, now);
        } else if (const auto* readmit = std::get_if<health::Readmit>(&action)) {
            this->applyHealth(group, readmit->target, now);
        } else if (const auto* avoid = std::get_if<health::PathAvoid>(&action)) {
            this->applyHealth(group, avoid->target, now);
        } else if (std::get_if<health::FloorHit>(&action) != nullptr) {
            this->context.metrics.increment("flamingowick_floor_hits_total");
        }
    }
}

// Tells the dispatcher what the health decisions now say of a target for traffic from here.
void DispatchService::applyHealth(Group& group, std::string_view target, TimePoint now)
{
    health::StandingShare standing = health::standingOf(group.health, target, this->context.settings.failureDomain);
    bool isTrial = standing.standing == health::Standing::Trickle;
    bool isOut = isTrial || standing.standing == health::Standing::Ejected;
    this->run(group, dispatch::TargetHealth { std::string(target), isOut, isTrial ? standing.share : 0 }, now);
}

void DispatchService::attemptEnded(gateway::AttemptResult result, TimePoint now)
{
    auto found = this->attempts.find(result.attempt);
    if (found == this->attempts.end())
        return;
    RunningAttempt attempt = std::move(found->second);
    this->attempts.erase(found);
    this->attemptOf.erase(attempt.request);
    this->evidenceIsIdempotent = attempt.idempotent;
    auto request = this->requests.find(attempt.request);
    if (request != this->requests.end()) {
        request->second.lastTarget = attempt.target;
        request->second.lastResult = result;
    }
    Group& group = this->groups.at(attempt.service);
    this->noteTargetState(group, attempt, result, now);
    this->run(group, dispatch::TargetAnswered { attempt.request, attempt.target, { attemptKind(result), result.status } }, now);
}

void DispatchService::noteTargetState(Group& group, const RunningAttempt& attempt, const gateway::AttemptResult& result, TimePoint now)
{
    const std::string* state = gateway::findHeader(result.headers, targetStateHeader);
    if (state == nullptr || *state != "leaving" || group.leavingTold.contains(attempt.target))
        return;
    group.leavingTold.insert(attempt.target);
    dispatch::TargetLeaving leaving { attempt.target, 0 };
    this->run(group, leaving, now);
    sendToAll(this->context, peers::LeavingNotice { attempt.service, leaving });
}

void DispatchService::answer(const RequestId& id, Answer answer)
{
    auto found = this->requests.find(id);
    if (found == this->requests.end())
        return;
    Running running = std::move(found->second);
    this->requests.erase(found);
    peers::ForwardAnswer message { id, running.entryAttempt, std::move(answer) };
    if (running.from == this->context.self)
        this->localAnswer(message);
    else
        this->context.ports.sendPeer(running.fromAddress, running.from.incarnation, std::move(message));
}

void DispatchService::tick(TimePoint now)
{
    for (auto& [service, group] : this->groups) {
        auto wake = dispatch::nextWake(group.dispatcher, now);
        if (wake && *wake <= now)
            this->run(group, dispatch::Tick {}, now);
        this->runHealth(group, health::Tick {}, now);
    }
    this->sendSummaries(now);
}

std::optional<health::Explanation> DispatchService::explain(std::string_view service, std::string_view target, TimePoint now) const
{
    auto known = this->groups.find(service);
    if (known == this->groups.end())
        return std::nullopt;
    return health::explain(known->second.health, target, fleetTime(now));
}

}
