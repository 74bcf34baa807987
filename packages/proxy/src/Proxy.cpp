#include "flamingowick/proxy/Proxy.h"

#include <asio/post.hpp>

#include <algorithm>
#include <numeric>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;
    using telemetry::EventFields;
    using telemetry::EventScope;

    // Log lines are buffered for this long, so that one write contains many.
    constexpr Duration flushInterval { milliseconds(100) };
    constexpr Duration stopCheckInterval { milliseconds(100) };
    // The same once the last responses are being sent.
    constexpr Duration lastStopCheckInterval { milliseconds(10) };
    constexpr unsigned maxMonitoringConnections = 32;
    // Daemons that are told of a target's limit: its dispatcher, and those that take over when it and the next one end.
    constexpr std::size_t limitKeeperCount = 3;
    // A process that is heard although another one at its address counts as the later one has not ended, if that one has been silent for
    // so long: their first datagrams arrived in the wrong order.
    constexpr Duration maxDatagramDelay { std::chrono::seconds(2) };

}

Proxy::Proxy(asio::io_context& ioContext, ProxySettings proxySettings, std::uint64_t incarnation, telemetry::EventLog& eventLog)
    : io(ioContext)
    , settings(std::move(proxySettings))
    , ownIncarnation(incarnation)
    , log(eventLog)
    , random(static_cast<std::minstd_rand::result_type>(incarnation))
    , directoryTimer(ioContext)
    , probeTimer(ioContext)
    , stopTimer(ioContext)
    , flushTimer(ioContext)
{
    this->directory.limits.lapseGrace = this->settings.lapseGrace;
    this->stopSchedule.grace = this->settings.stopGrace;
    this->fleet.self = this->settings.vm;
    addMember(this->fleet, { this->settings.vm, this->settings.peerAddress, this->settings.failureDomain, this->settings.linkMbps }, Clock::now());
    this->peers = std::make_unique<PeerLink>(this->io, this->settings.peerAddress, this->ownIncarnation, this->makePeerHandlers());
    this->quarantine = std::make_unique<RequestQuarantine>(this->fleet, this->log, this->metrics, this->makeQuarantineCallbacks());
    this->allotments = std::make_unique<Allotments>(this->io, this->settings, this->ownIncarnation, this->fleet, this->metrics, this->makeAllotmentCallbacks());
    // Two dispatchers may briefly serve the same group, so each pool gets less than half of the service's retry burst.
    constexpr double retryShare = 0.4;
    this->hostedPools = std::make_unique<DispatcherHost>(this->io, "dispatch", this->settings, retryShare, this->log,
        this->makeDispatcherCallbacks([this](const grants::Decision& decision) { this->deliverHostedDecision(decision); }, [this](const grants::AttemptId& attemptId) { this->queryAttempt(attemptId); }));
    this->localPools = std::make_unique<DispatcherHost>(this->io, "alone", this->settings, retryShare, this->log,
        this->makeDispatcherCallbacks([this](const grants::Decision& decision) { this->deliverLocalDecision(decision); }, [](const grants::AttemptId&) { /* The entry reports each end to its own pools, and no message can be lost. */ }));
    this->links = std::make_unique<TargetConnections>(this->io, this->settings.headers, this->paths, this->makePathCallbacks());
    this->tunnelServer = std::make_unique<TunnelServer>(this->io, this->directory, this->paths, this->metrics);
    const auto handleMemberSuspected = [this] {
        this->scheduleProbes();
        this->handleFleetChange();
    };
    const auto handleTargetLimit = [this](const TargetLimitMessage& message) { this->spreadTargetLimit(message); };
    const auto handleTargetLeaving = [this](std::string_view instance, std::int64_t startedAt) { this->applyDirectoryChange(markLeaving(this->directory, instance, startedAt)); };
    const auto handleTargetAbsent = [this](std::string_view instance, std::int64_t startedAt, std::string_view address) { this->applyDirectoryChange(markAbsent(this->directory, instance, startedAt, address, Clock::now())); };
    this->context = std::make_unique<EntryContext>(EntryContext { this->io, this->settings, this->appliedConfiguration, this->directory, this->fleet, *this->peers, *this->hostedPools, *this->localPools, *this->links, this->paths, *this->quarantine, this->log, this->metrics, this->stopSchedule, this->ownIncarnation, this->ownDigestKey, *this->allotments, this->organisationLabels, handleMemberSuspected, handleTargetLeaving, handleTargetAbsent, handleTargetLimit });
    this->entry = std::make_unique<Entry>(*this->context);
    const auto internalLimits = [] { return internalRequestLimits; };
    this->readinessServer = std::make_unique<CallerServer>(this->io, this->settings.readyAddress, maxMonitoringConnections,
        CallerServerHandlers { internalLimits, [this](const std::shared_ptr<CallerExchange>& caller) { this->handleReadinessRequest(*caller); } });
    if (!this->settings.metricsAddress.empty()) {
        this->metricsServer = std::make_unique<CallerServer>(this->io, this->settings.metricsAddress, maxMonitoringConnections,
            CallerServerHandlers { internalLimits, [this](const std::shared_ptr<CallerExchange>& caller) { this->handleMetricsRequest(*caller); } });
    }
    const auto limits = [this] { return this->appliedConfiguration ? this->appliedConfiguration->configuration.limits : CallerLimits {}; };
    const auto vmBytes = static_cast<std::uint64_t>(this->settings.memoryMb * 1e6);
    this->callerServer = std::make_unique<CallerServer>(this->io, this->settings.callerAddress, maxCallerConnectionsFor(vmBytes),
        CallerServerHandlers { limits, [this](const std::shared_ptr<CallerExchange>& caller) {
                                  this->entry->handleRequest(caller);
                                  this->scheduleLogFlush(); },
            [this](const HttpMessage& request) { return this->entry->mayBeRepeated(request); } });
    this->callerServer->boundMemory(memoryLimitsFor(vmBytes), [this] { return this->links->heldResponseBytes(); });
}

Proxy::~Proxy() = default;

DispatcherCallbacks Proxy::makeDispatcherCallbacks(std::function<void(const grants::Decision&)> deliverDecision, std::function<void(const grants::AttemptId&)> queryAttempt)
{
    const auto listTargets = [this](std::string_view service) { return targetsOf(this->directory, service); };
    const auto handleTargetAbsent = [this](const grants::ListedTarget& target) { this->applyDirectoryChange(markAbsent(this->directory, target.instance, target.startedAt, target.address, Clock::now())); };
    return { std::move(deliverDecision), listTargets, std::move(queryAttempt), handleTargetAbsent };
}

PathCallbacks Proxy::makePathCallbacks()
{
    const auto chooseMember = [this](std::span<const std::string> tried) -> std::optional<TunnelMember> {
        const std::optional<std::string> name = chooseTunnelMember(this->fleet, this->paths, this->settings.failureDomain, tried, this->random(), Clock::now());
        if (!name)
            return std::nullopt;
        return TunnelMember { *name, this->fleet.members.at(*name).address };
    };
    return { chooseMember, [this] { this->handlePathChange(); } };
}

void Proxy::handlePathChange()
{
    const bool cutOff = isCutOff(this->paths);
    this->log.write(EventScope::Process, "paths", cutOff ? "cut-off" : "restored", EventFields().number("idleConnections", static_cast<std::int64_t>(this->links->idleConnectionCount())));
    this->metrics.setGauge("flamingowick_cut_off", {}, cutOff ? 1 : 0);
    // Requests on connections that were opened before the cut would hang.
    if (cutOff)
        this->links->closeIdleThrough({});
    this->scheduleLogFlush();
}

bool Proxy::handlePeerRequest(const std::shared_ptr<CallerExchange>& connection)
{
    if (!TunnelServer::isTunnelRequest(connection->request()))
        return false;
    if (takesRequests(this->stopSchedule, Clock::now())) {
        this->tunnelServer->handleRequest(connection);
        return true;
    }
    HttpMessage response;
    response.status = 503;
    connection->respond(response);
    return true;
}

std::vector<std::string> Proxy::membersToRemove()
{
    return flamingowick::proxy::membersToRemove(this->fleet, Clock::now());
}

bool Proxy::isReady() const noexcept
{
    return !this->isStopping() && this->appliedConfiguration && this->targetsKnown;
}

void Proxy::scheduleLogFlush()
{
    if (this->logFlushScheduled || this->log.empty())
        return;
    this->logFlushScheduled = true;
    this->flushTimer.expires_after(flushInterval);
    this->flushTimer.async_wait([this, alive = std::weak_ptr<char>(this->lifetimeToken)](const asio::error_code& error) {
        if (error || alive.expired())
            return;
        this->logFlushScheduled = false;
        this->log.flush();
        this->scheduleLogFlush();
    });
}

void Proxy::setConfiguration(Configuration configuration)
{
    const bool first = !this->appliedConfiguration;
    bool replacesSameVersion = false;
    if (!first) {
        const Configuration& applied = this->appliedConfiguration->configuration;
        replacesSameVersion = configuration.version == applied.version && configuration.digest != applied.digest;
        if (configuration.version <= applied.version && !replacesSameVersion)
            return;
    }
    auto next = std::make_shared<AppliedConfiguration>();
    next->routes = RouteIndex(configuration);
    next->configuration = std::move(configuration);
    next->appliedAt = Clock::now();
    EventFields fields;
    fields.number("version", static_cast<std::int64_t>(next->configuration.version)).number("routes", static_cast<std::int64_t>(next->configuration.routes.size())).number("services", static_cast<std::int64_t>(next->configuration.services.size())).flag("first", first).text("digest", fingerprintText(next->configuration.digest)).flag("replacesSameVersion", replacesSameVersion);
    if (next->configuration.organisations)
        fields.number("organisations", static_cast<std::int64_t>(next->configuration.organisations->organisations.size())).number("keys", static_cast<std::int64_t>(next->configuration.organisations->positions.size()));
    this->log.write(EventScope::Process, "configuration", "in-force", fields);
    this->appliedConfiguration = std::move(next);
    const std::optional<organisations::KeyIndex>& organisations = this->appliedConfiguration->configuration.organisations;
    if (organisations)
        updateLabels(this->organisationLabels, *organisations);
    this->allotments->handleConfigurationChange(organisations && std::any_of(organisations->organisations.begin(), organisations->organisations.end(), [](const auto& organisation) { return organisation.ratePerSecond > 0; }));
    this->entry->handleConfigurationChange();
    this->scheduleLogFlush();
}

Duration Proxy::storeConnectedFor() const
{
    if (this->directory.storeUnavailable)
        return Duration::zero();
    return Clock::now() - std::max(this->startedAt, this->directory.lastStoreOutageAt.value_or(this->startedAt));
}

void Proxy::applyTargetChanges(std::span<const TargetEntry> written, std::span<const std::string> removed, Duration storeConnectedFor)
{
    this->targetsKnown = true;
    this->targetsChangedAt = Clock::now();
    this->applyDirectoryChange(applyEntryChanges(this->directory, written, removed, Clock::now(), storeConnectedFor));
}

void Proxy::applyDirectoryChange(const DirectoryChange& change)
{
    for (const std::string& instance : change.leaving)
        this->log.write(EventScope::Process, "targets", "leaving", EventFields().text("target", instance));
    for (const std::string& instance : change.absent)
        this->log.write(EventScope::Process, "targets", "absent", EventFields().text("target", instance));
    for (const std::string& instance : change.inGracePeriod)
        this->log.write(EventScope::Process, "targets", "vanished-but-kept", EventFields().text("target", instance).flag("storeAway", this->directory.storeUnavailable));
    for (const std::string& instance : change.dropped) {
        this->log.write(EventScope::Process, "targets", "gone", EventFields().text("target", instance));
        this->links->closeIdle(instance);
    }
    for (const std::string& service : change.changedServices) {
        this->hostedPools->handleTargetChange(service);
        this->localPools->handleTargetChange(service);
    }
    for (const std::string& instance : change.limitsChanged) {
        const auto known = this->directory.entries.find(instance);
        const bool limited = known != this->directory.entries.end() && known->second.entry.target.requestsPerSecond.has_value();
        EventFields fields;
        fields.text("target", instance);
        if (limited)
            fields.real("requestsPerSecond", known->second.entry.target.requestsPerSecond.value_or(0));
        this->log.write(EventScope::Process, "targets", limited ? "limited" : "limit-ended", fields);
    }
    this->scheduleDirectoryExpiry();
    this->scheduleLogFlush();
}

void Proxy::scheduleDirectoryExpiry()
{
    const std::optional<TimePoint> due = nextEntryExpiry(this->directory);
    if (!due)
        return;
    this->directoryTimer.expires_at(*due);
    this->directoryTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->applyDirectoryChange(expireEntries(this->directory, Clock::now()));
    });
}

void Proxy::handleStoreUnavailable(std::string_view reason, std::optional<TimePoint> lastContactAt)
{
    if (this->directory.storeUnavailable)
        return;
    markStoreUnavailable(this->directory, lastContactAt);
    this->log.write(EventScope::Process, "store", "lost", EventFields().text("reason", reason));
    this->scheduleLogFlush();
}

void Proxy::handleStoreAvailable()
{
    if (!this->directory.storeUnavailable)
        return;
    markStoreAvailable(this->directory, Clock::now());
    this->log.write(EventScope::Process, "store", "regained", EventFields());
    this->scheduleDirectoryExpiry();
    this->scheduleLogFlush();
}

void Proxy::handleStoreReturn()
{
    this->handleStoreUnavailable("the store has returned from a copy");
    // Entries are missing however short the outage was.
    markStoreUnavailable(this->directory);
    this->handleStoreAvailable();
    markStoreReturned(this->directory, Clock::now());
}

void Proxy::setMembers(std::span<const FleetMember> members)
{
    const std::size_t before = this->fleet.members.size();
    flamingowick::proxy::setMembers(this->fleet, members, Clock::now());
    // Each member has local pools of its own; together they get the share of one dispatcher.
    const auto memberCount = static_cast<double>(std::max<std::size_t>(1, this->fleet.members.size()));
    this->localPools->setRetryShare(0.4 / memberCount);
    this->localPools->setRequestLimitShare(1 / memberCount);
    if (before != this->fleet.members.size())
        this->log.write(EventScope::Process, "fleet", "members", EventFields().number("count", static_cast<std::int64_t>(this->fleet.members.size())).number("before", static_cast<std::int64_t>(before)));
    if (before <= 1)
        this->announcePresence(false, true);
    this->handleFleetChange();
}

void Proxy::handleMemberSilent(const std::string& name)
{
    if (!flamingowick::proxy::markMemberSuspected(this->fleet, name, Clock::now()))
        return;
    this->log.write(EventScope::Process, "fleet", "member-silent", EventFields().text("member", name).text("asked", "state"));
    this->scheduleProbes();
    this->handleFleetChange();
}

void Proxy::handleFleetChange()
{
    // Tokens that stayed with each dispatcher that has served a group would add up when the role moves on and back.
    this->hostedPools->keepRetryTokensOnlyOf([this](std::string_view group) {
        const std::vector<std::string> dispatchers = dispatchersFor(this->fleet, group);
        return !dispatchers.empty() && dispatchers.front() == this->fleet.self;
    });
    this->allotments->handleFleetChange();
    this->scheduleLogFlush();
    if (this->onFleetChange)
        this->onFleetChange();
}

PresenceMessage Proxy::presenceMessage(bool leaving, bool wantsReply) const
{
    return { this->settings.vm, this->settings.peerAddress, leaving, wantsReply, this->settings.failureDomain, this->settings.linkMbps };
}

void Proxy::announcePresence(bool leaving, bool wantsReply)
{
    for (const auto& [name, member] : this->fleet.members) {
        if (name != this->fleet.self)
            this->peers->send(member.address, this->presenceMessage(leaving, wantsReply));
    }
}

PeerHandlers Proxy::makePeerHandlers()
{
    PeerHandlers handlers;
    handlers.onGrantRequest = [this](const PeerSource& source, const GrantRequestMessage& message) { this->handleGrantRequest(source, message); };
    handlers.onGrantReply = [this](const PeerSource& source, const GrantReplyMessage& reply) {
        this->recordPeerContact(source);
        this->entry->handleGrantReply(std::string(memberNameAt(this->fleet, source.address)), reply);
        this->scheduleLogFlush();
    };
    handlers.onAttemptEnd = [this](const PeerSource& source, const AttemptEndMessage& message) {
        this->hostedPools->attemptEnded(message.group, { source.incarnation, message.number }, message.outcome, message.duration);
    };
    handlers.onRunningAttempt = [this](const PeerSource& source, const RunningAttemptMessage& message) {
        if (this->isFromEndedProcess(source))
            return;
        this->entryAddresses[source.incarnation] = source.address;
        this->hostedPools->attemptRunning({ source.incarnation, message.number }, message);
    };
    handlers.onAttemptQuery = [this](const PeerSource& source, const AttemptQueryMessage& message) { this->entry->handleAttemptQuery(source.address, message.number); };
    handlers.onPresence = [this](const PeerSource& source, const PresenceMessage& message) { this->handlePresence(source, message); };
    handlers.onCrash = [this](const PeerSource& source, const CrashMessage& message) { this->quarantine->handleReportedCrash(source.address, message); };
    handlers.onSurvival = [this](const PeerSource&, const SurvivalMessage& message) { this->quarantine->handleReportedSurvival(message); };
    handlers.onQuarantine = [this](const PeerSource&, const quarantine::QuarantineNotice& notice) {
        this->quarantine->handleNotice(notice);
        this->scheduleLogFlush();
    };
    handlers.onTargetLimit = [this](const PeerSource&, const TargetLimitMessage& message) { this->recordTargetLimit(message); };
    handlers.onAllotmentRequest = [this](const PeerSource& source, const AllotmentRequestMessage& message) {
        this->recordPeerContact(source);
        this->allotments->handleRequest(source, message);
        this->scheduleLogFlush();
    };
    handlers.onAllotmentReply = [this](const PeerSource& source, const AllotmentReplyMessage& message) {
        this->recordPeerContact(source);
        this->allotments->handleReply(source, message);
        this->scheduleLogFlush();
    };
    return handlers;
}

std::vector<std::string> Proxy::limitKeepersFor(const TargetEntry& target)
{
    const unsigned groupCount = groupCountFor(countTargets(this->directory, target.service));
    std::vector<std::string> keepers = dispatchersFor(this->fleet, groupName(groupOf(target.service, target.target.instance, groupCount)));
    keepers.resize(std::min(keepers.size(), limitKeeperCount));
    return keepers;
}

void Proxy::recordTargetLimit(const TargetLimitMessage& message)
{
    this->applyDirectoryChange(setRequestLimit(this->directory, message.instance, message.startedAt, message.requestsPerSecond, Clock::now()));
}

void Proxy::spreadTargetLimit(const TargetLimitMessage& message)
{
    const auto known = this->directory.entries.find(message.instance);
    if (known == this->directory.entries.end())
        return;
    for (const std::string& keeper : this->limitKeepersFor(known->second.entry)) {
        if (keeper != this->fleet.self)
            this->peers->send(this->fleet.members.at(keeper).address, message);
    }
    this->recordTargetLimit(message);
}

void Proxy::sendLimitsTo(const std::string& address)
{
    for (const auto& [instance, known] : this->directory.entries) {
        if (!known.limitNamedAt)
            continue;
        const std::vector<std::string> keepers = this->limitKeepersFor(known.entry);
        if (std::find(keepers.begin(), keepers.end(), this->fleet.self) != keepers.end())
            this->peers->send(address, TargetLimitMessage { instance, known.entry.startedAt, known.entry.target.requestsPerSecond });
    }
}

AllotmentCallbacks Proxy::makeAllotmentCallbacks()
{
    AllotmentCallbacks callbacks;
    callbacks.sendRequest = [this](const std::string& address, const AllotmentRequestMessage& message) { this->peers->send(address, message); };
    callbacks.sendReply = [this](const std::string& address, const AllotmentReplyMessage& message) { this->peers->send(address, message); };
    callbacks.findAllotment = [this](std::string_view name) -> std::optional<organisations::Allotment> {
        if (!this->appliedConfiguration || !this->appliedConfiguration->configuration.organisations)
            return std::nullopt;
        const organisations::Organisation* organisation = findByName(*this->appliedConfiguration->configuration.organisations, name);
        return organisation ? std::optional(organisations::Allotment { organisation->ratePerSecond, organisation->burst }) : std::nullopt;
    };
    callbacks.onDecision = [this](std::uint64_t request, const AllotmentDecision& decision) {
        this->entry->handleAllotmentDecision(request, decision);
        this->scheduleLogFlush();
    };
    callbacks.labelOf = [this](std::string_view organisation) { return flamingowick::proxy::labelOf(this->organisationLabels, organisation); };
    return callbacks;
}

QuarantineCallbacks Proxy::makeQuarantineCallbacks()
{
    QuarantineCallbacks callbacks;
    callbacks.sendCrash = [this](const std::string& address, const CrashMessage& message) { this->peers->send(address, message); };
    callbacks.sendSurvival = [this](const std::string& address, const SurvivalMessage& message) { this->peers->send(address, message); };
    callbacks.sendNotice = [this](const std::string& address, const quarantine::QuarantineNotice& notice) { this->peers->send(address, notice); };
    callbacks.onRefusalsChange = [this] {
        this->scheduleLogFlush();
        if (this->onRefusalsChange)
            this->onRefusalsChange();
    };
    return callbacks;
}

bool Proxy::isFromEndedProcess(const PeerSource& source) const
{
    const auto known = this->peerIncarnations.find(source.address);
    return known != this->peerIncarnations.end() && source.incarnation == known->second.ended && Clock::now() - known->second.heardAt < maxDatagramDelay;
}

void Proxy::recordPeerContact(const PeerSource& source)
{
    const std::string name(memberNameAt(this->fleet, source.address));
    if (name.empty())
        return;
    if (markMemberAlive(this->fleet, name)) {
        this->log.write(EventScope::Process, "fleet", "member-heard", EventFields().text("member", name));
        this->quarantine->sendRefusalsTo(source.address);
        this->sendLimitsTo(source.address);
        this->handleFleetChange();
    }
    PeerIncarnations& incarnations = this->peerIncarnations[source.address];
    if (this->isFromEndedProcess(source))
        return;
    incarnations.heardAt = Clock::now();
    if (source.incarnation == incarnations.current)
        return;
    incarnations.ended = incarnations.current;
    incarnations.current = source.incarnation;
    if (incarnations.ended != 0) {
        this->hostedPools->handleEntryRestart(incarnations.ended);
        this->entryAddresses.erase(incarnations.ended);
        this->log.write(EventScope::Process, "fleet", "member-restarted", EventFields().text("member", name));
        this->entry->reportRunningAttempts(name, {});
    }
}

void Proxy::handleGrantRequest(const PeerSource& source, const GrantRequestMessage& message)
{
    // Nobody would use the slot or report that it is free.
    if (this->isFromEndedProcess(source))
        return;
    this->entryAddresses[source.incarnation] = source.address;
    this->recordPeerContact(source);
    const grants::AttemptId attemptId = message.request.attemptId;
    if (const std::optional<Duration> remaining = this->quarantine->refusedFor(message.fingerprint)) {
        GrantReplyMessage reply;
        reply.kind = GrantReplyKind::Refused;
        reply.decision.attemptId = attemptId;
        reply.decision.reason = grants::RefusalReason::RequestQuarantined;
        reply.decision.retryAfter = *remaining;
        this->peers->send(source.address, reply);
        return;
    }
    if (!this->hostedPools->requestGrant(message)) {
        GrantReplyMessage reply;
        reply.kind = GrantReplyKind::Queued;
        reply.decision.attemptId = attemptId;
        this->peers->send(source.address, reply);
    }
    this->scheduleLogFlush();
}

void Proxy::handlePresence(const PeerSource& source, const PresenceMessage& message)
{
    if (message.name.empty() || message.name == this->settings.vm || this->isFromEndedProcess(source))
        return;
    const auto known = this->fleet.members.find(message.name);
    if (message.leaving) {
        if (known != this->fleet.members.end() && !known->second.leaving) {
            markMemberLeaving(this->fleet, message.name);
            this->links->closeIdleThrough(message.name);
            this->log.write(EventScope::Process, "fleet", "member-leaving", EventFields().text("member", message.name));
            this->handleFleetChange();
        }
    } else if (known == this->fleet.members.end() || known->second.address != source.address || known->second.leaving) {
        addMember(this->fleet, { message.name, source.address, message.failureDomain, message.linkMbps }, Clock::now());
        this->log.write(EventScope::Process, "fleet", "member-joined", EventFields().text("member", message.name).text("address", source.address));
        this->handleFleetChange();
    }
    this->recordPeerContact(source);
    if (message.wantsReply) {
        // A daemon that has just started knows no refusals and no limits.
        this->quarantine->sendRefusalsTo(source.address);
        this->sendLimitsTo(source.address);
        this->peers->send(source.address, this->presenceMessage(this->isStopping(), false));
    }
    this->scheduleLogFlush();
}

// Posted, not called, since the decision may be made before the call that requests the grant has returned.
void Proxy::sendGrantReply(const std::string& dispatcher, const GrantReplyMessage& reply)
{
    asio::post(this->io, [this, alive = std::weak_ptr<char>(this->lifetimeToken), dispatcher, reply] {
        if (!alive.expired())
            this->entry->handleGrantReply(dispatcher, reply);
    });
}

void Proxy::deliverHostedDecision(const grants::Decision& decision)
{
    const bool granted = decision.kind == grants::DecisionKind::Granted;
    this->log.write(EventScope::Request, "dispatch", granted ? "granted" : "refused",
        EventFields().text("request", decision.requestId).text("target", decision.instance).real("failing", decision.failureProbability).number("inFlight", decision.inFlight).number("waiting", static_cast<std::int64_t>(decision.queueLength)).text("reason", toString(decision.reason)).flag("repeat", decision.isRetry).real("retryTokens", decision.retryTokens).milliseconds("targetsAgeMs", Clock::now() - this->targetsChangedAt));
    this->metrics.increment(granted ? "flamingowick_grants_total" : "flamingowick_refusals_total");
    const GrantReplyMessage reply { granted ? GrantReplyKind::Granted : GrantReplyKind::Refused, decision };
    if (decision.attemptId.entry == this->ownIncarnation) {
        this->sendGrantReply(this->fleet.self, reply);
        return;
    }
    if (const auto address = this->entryAddresses.find(decision.attemptId.entry); address != this->entryAddresses.end())
        this->peers->send(address->second, reply);
}

void Proxy::queryAttempt(const grants::AttemptId& attemptId)
{
    // This daemon's own attempts end without a message that could be lost.
    if (attemptId.entry == this->ownIncarnation)
        return;
    if (const auto address = this->entryAddresses.find(attemptId.entry); address != this->entryAddresses.end())
        this->peers->send(address->second, AttemptQueryMessage { attemptId.number });
}

void Proxy::deliverLocalDecision(const grants::Decision& decision)
{
    const GrantReplyMessage reply { decision.kind == grants::DecisionKind::Granted ? GrantReplyKind::Granted : GrantReplyKind::Refused, decision };
    this->sendGrantReply(std::string(localDecision), reply);
}

void Proxy::scheduleProbes()
{
    const std::optional<TimePoint> due = nextProbeTime(this->fleet);
    if (!due || this->probeTimer.expiry() == *due)
        return;
    this->probeTimer.expires_at(*due);
    this->probeTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        for (const std::string& name : scheduleDueProbes(this->fleet, Clock::now()))
            this->peers->send(this->fleet.members.at(name).address, this->presenceMessage(this->isStopping(), true));
        this->scheduleProbes();
    });
}

void Proxy::handleReadinessRequest(CallerExchange& caller)
{
    HttpMessage response;
    response.status = this->isReady() ? 200 : 503;
    response.body = this->isReady() ? "ready\n" : "not ready\n";
    caller.respond(response);
}

std::string Proxy::renderMetrics()
{
    this->metrics.setGauge("flamingowick_configuration_version", {}, this->appliedConfiguration ? static_cast<double>(this->appliedConfiguration->configuration.version) : 0);
    this->metrics.setGauge("flamingowick_targets", {}, static_cast<double>(this->directory.entries.size()));
    const auto& hosted = this->hostedPools->pools();
    this->metrics.setGauge("flamingowick_slots_freed_by_age", {}, std::accumulate(hosted.begin(), hosted.end(), 0.0, [](double sum, const auto& item) { return sum + static_cast<double>(item.second.slotsFreedByAge); }));
    this->metrics.setGauge("flamingowick_limited_targets", {}, static_cast<double>(std::count_if(this->directory.entries.begin(), this->directory.entries.end(), [](const auto& item) { return item.second.limitNamedAt.has_value(); })));
    this->metrics.setGauge("flamingowick_members", {}, static_cast<double>(this->fleet.members.size()));
    this->metrics.setGauge("flamingowick_requests_running", {}, static_cast<double>(this->entry->activeRequestCount()));
    this->metrics.setGauge("flamingowick_target_connections_idle", {}, static_cast<double>(this->links->idleConnectionCount()));
    this->metrics.setGauge("flamingowick_target_connections_opened", {}, static_cast<double>(this->links->openedConnections()));
    this->metrics.setGauge("flamingowick_caller_bytes_held", {}, static_cast<double>(this->callerServer->heldBytes()));
    this->metrics.setGauge("flamingowick_slow_readers_cut", {}, static_cast<double>(this->callerServer->readersCutOff()));
    this->metrics.setGauge("flamingowick_slow_senders_cut", {}, static_cast<double>(this->callerServer->sendersCutOff()));
    this->metrics.setGauge("flamingowick_caller_bytes_receiving", {}, static_cast<double>(this->callerServer->receivingBytes()));
    this->metrics.setGauge("flamingowick_caller_large_body_bytes", {}, static_cast<double>(this->callerServer->largeBodyBytes()));
    this->metrics.setGauge("flamingowick_connections_replaced", {}, static_cast<double>(this->callerServer->connectionsReplaced()));
    this->metrics.setGauge("flamingowick_refused_for_memory", {}, static_cast<double>(this->callerServer->requestsRefusedForMemory()));
    this->metrics.setGauge("flamingowick_tunnels_open", {}, static_cast<double>(this->tunnelServer->openTunnels()));
    this->metrics.setGauge("flamingowick_datagrams_sent", {}, static_cast<double>(this->peers->sentDatagrams()));
    this->metrics.setGauge("flamingowick_datagrams_unreadable", {}, static_cast<double>(this->peers->malformedDatagrams()));
    this->metrics.setGauge("flamingowick_log_lines_left_out", {}, static_cast<double>(this->log.droppedLines()));
    this->metrics.setGauge("flamingowick_refused_requests", {}, static_cast<double>(this->quarantine->refusedRequests().size()));
    this->metrics.setGauge("flamingowick_requests_waiting_for_tokens", {}, static_cast<double>(this->entry->tokenWaitCount()));
    this->metrics.setGauge("flamingowick_allotments_held", {}, static_cast<double>(this->allotments->heldCount()));
    this->metrics.setGauge("flamingowick_allotments_used", {}, static_cast<double>(this->allotments->usedCount()));
    this->metrics.setGauge("flamingowick_store_away", {}, this->directory.storeUnavailable ? 1 : 0);
    return this->metrics.render();
}

void Proxy::handleMetricsRequest(CallerExchange& caller)
{
    HttpMessage response;
    response.status = 200;
    response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    response.body = this->renderMetrics();
    caller.respond(response);
}

void Proxy::beginStop(std::function<void()> stopped)
{
    if (this->isStopping())
        return;
    this->stopSchedule.beganAt = Clock::now();
    this->onStopped = std::move(stopped);
    this->fleet.isSelfLeaving = true;
    this->allotments->handleFleetChange();
    this->callerServer->beginStop();
    this->announcePresence(true, false);
    this->log.write(EventScope::Process, "daemon", "stopping", EventFields().number("running", static_cast<std::int64_t>(this->entry->activeRequestCount())));
    this->log.flush();
    this->checkStopProgress();
}

void Proxy::checkStopProgress()
{
    const TimePoint now = Clock::now();
    if (!takesRequests(this->stopSchedule, now)) {
        this->callerServer->closeIdle();
        this->entry->endWaits();
    }
    const auto running = static_cast<std::int64_t>(this->entry->activeRequestCount());
    const bool breaksOff = mustBreakOff(this->stopSchedule, now);
    if (breaksOff)
        this->entry->breakOff();
    const bool isIdle = this->entry->activeRequestCount() == 0 && this->callerServer->servingCount() == 0 && (breaksOff || this->tunnelServer->openTunnels() == 0);
    if ((isIdle && mayExitIdle(this->stopSchedule, now)) || mustExit(this->stopSchedule, now)) {
        this->log.write(EventScope::Process, "daemon", "stopped", EventFields().number("running", running).milliseconds("tookMs", now - *this->stopSchedule.beganAt));
        this->log.flush();
        this->callerServer->closeIdle();
        this->onStopped();
        return;
    }
    this->stopTimer.expires_after(breaksOff ? lastStopCheckInterval : stopCheckInterval);
    this->stopTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->checkStopProgress();
    });
}

void Proxy::reload(const ProxySettings& changed)
{
    this->settings.stopGrace = changed.stopGrace;
    this->stopSchedule.grace = changed.stopGrace;
    this->settings.logLinesPerSecond = changed.logLinesPerSecond;
    this->settings.retryRatio = changed.retryRatio;
    this->settings.retryBurst = changed.retryBurst;
    this->settings.lapseGrace = changed.lapseGrace;
    this->settings.allotmentWindow = changed.allotmentWindow;
    this->settings.allotmentOverage = changed.allotmentOverage;
    this->settings.allotmentSlack = changed.allotmentSlack;
    this->allotments->setBound({ changed.allotmentWindow, changed.allotmentOverage, changed.allotmentSlack });
    this->directory.limits.lapseGrace = changed.lapseGrace;
    this->log.setMaxLinesPerSecond(changed.logLinesPerSecond);
}

}
