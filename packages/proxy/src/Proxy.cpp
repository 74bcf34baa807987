#include "flamingowick/proxy/Proxy.h"

#include <asio/post.hpp>

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;
    using telemetry::EventFields;
    using telemetry::Weight;

    // Log lines are buffered for this long, so that one write contains many.
    constexpr Duration flushInterval { milliseconds(100) };
    // The load balancer checks the readiness once a second and sends no more callers after two failed checks.
    constexpr Duration minStopDuration { milliseconds(2800) };
    // After this time the load balancer sends no more callers, so idle connections are closed and no new ones accepted: a
    // later request could not be finished in time.
    constexpr Duration acceptDurationWhileStopping { milliseconds(3000) };
    // Time that is left for an orderly exit before the platform kills the process.
    constexpr Duration stopMargin { milliseconds(150) };
    constexpr Duration stopCheckInterval { milliseconds(100) };
    // Leaves file descriptors for targets, peers and the store.
    constexpr unsigned maxCallerConnections = 3000;
    constexpr unsigned maxMonitoringConnections = 32;

    DispatcherPorts makeDispatcherPorts(std::function<void(const grants::Decision&)> decide, const TargetDirectory& directory)
    {
        return { std::move(decide), [&directory](std::string_view service) { return targetsOf(directory, service); } };
    }

}

Proxy::Proxy(asio::io_context& ioContext, ProxySettings proxySettings, std::uint64_t incarnation, telemetry::EventLog& eventLog)
    : io(ioContext)
    , settings(std::move(proxySettings))
    , sender(incarnation)
    , log(eventLog)
    , directoryTimer(ioContext)
    , probeTimer(ioContext)
    , stopTimer(ioContext)
    , flushTimer(ioContext)
{
    this->directory.limits.lapseGrace = this->settings.lapseGrace;
    this->fleet.self = this->settings.vm;
    addMember(this->fleet, { this->settings.vm, this->settings.peerAddress, this->settings.failureDomain }, Clock::now());
    this->peers = std::make_unique<PeerLink>(this->io, this->settings.peerAddress, this->sender, this->peerHandlers());
    // Two dispatchers may briefly serve the same group, so each pool gets less than half of the retry budget.
    constexpr double retryShare = 0.4;
    this->hosted = std::make_unique<DispatcherHost>(this->io, "dispatch", this->settings, retryShare, this->log,
        makeDispatcherPorts([this](const grants::Decision& decision) { this->decideHosted(decision); }, this->directory));
    this->own = std::make_unique<DispatcherHost>(this->io, "alone", this->settings, retryShare, this->log,
        makeDispatcherPorts([this](const grants::Decision& decision) { this->decideOwn(decision); }, this->directory));
    this->links = std::make_unique<TargetLinks>(this->io, this->settings.headers);
    this->context = std::make_unique<EntryContext>(EntryContext { this->io, this->settings, this->inForce, this->directory, this->fleet, *this->peers, *this->hosted, *this->own, *this->links, this->log, this->metrics, this->sender, [this] {
                                                                     this->planProbes();
                                                                     this->fleetChanged();
                                                                 } });
    this->entry = std::make_unique<Entry>(*this->context);
    const auto limits = [this] { return this->inForce ? this->inForce->configuration.limits : CallerLimits {}; };
    this->readiness = std::make_unique<CallerServer>(this->io, this->settings.readyAddress, maxMonitoringConnections,
        CallerServerHandlers { limits, [this](const std::shared_ptr<CallerConnection>& caller) { this->answerReady(*caller); } });
    if (!this->settings.metricsAddress.empty()) {
        this->metricsServer = std::make_unique<CallerServer>(this->io, this->settings.metricsAddress, maxMonitoringConnections,
            CallerServerHandlers { limits, [this](const std::shared_ptr<CallerConnection>& caller) { this->answerMetrics(*caller); } });
    }
    this->callers = std::make_unique<CallerServer>(this->io, this->settings.callerAddress, maxCallerConnections,
        CallerServerHandlers { limits, [this](const std::shared_ptr<CallerConnection>& caller) {
                                  this->entry->serve(caller);
                                  this->planFlush();
                              } });
}

Proxy::~Proxy() = default;

std::vector<std::string> Proxy::membersToRemove()
{
    return flamingowick::proxy::membersToRemove(this->fleet, Clock::now());
}

bool Proxy::ready() const noexcept
{
    return !this->stopping && this->inForce && this->targetsKnown;
}

void Proxy::planFlush()
{
    if (this->flushPlanned || this->log.empty())
        return;
    this->flushPlanned = true;
    this->flushTimer.expires_after(flushInterval);
    this->flushTimer.async_wait([this, alive = std::weak_ptr<char>(this->alive)](const asio::error_code& error) {
        if (error || alive.expired())
            return;
        this->flushPlanned = false;
        this->log.flush();
        this->planFlush();
    });
}

void Proxy::setConfiguration(Configuration configuration)
{
    if (this->inForce && configuration.version <= this->inForce->configuration.version)
        return;
    const bool first = !this->inForce;
    auto next = std::make_shared<ConfigurationInForce>();
    next->routes = RouteIndex(configuration);
    next->configuration = std::move(configuration);
    next->since = Clock::now();
    this->log.write(Weight::Process, "configuration", "in-force",
        EventFields().number("version", static_cast<std::int64_t>(next->configuration.version)).number("routes", static_cast<std::int64_t>(next->configuration.routes.size())).number("services", static_cast<std::int64_t>(next->configuration.services.size())).flag("first", first));
    this->inForce = std::move(next);
    this->planFlush();
}

Duration Proxy::storeInTouchFor() const
{
    if (this->directory.storeAway)
        return Duration::zero();
    return Clock::now() - std::max(this->startedAt, this->directory.storeAwayUntil.value_or(this->startedAt));
}

void Proxy::changeTargets(std::span<const TargetEntry> written, std::span<const std::string> removed, Duration storeConnectedFor)
{
    this->targetsKnown = true;
    this->targetsChangedAt = Clock::now();
    this->applyChange(changeEntries(this->directory, written, removed, Clock::now(), storeConnectedFor));
}

void Proxy::applyChange(const DirectoryChange& change)
{
    for (const std::string& instance : change.leaving)
        this->log.write(Weight::Process, "targets", "leaving", EventFields().text("target", instance));
    for (const std::string& instance : change.kept)
        this->log.write(Weight::Process, "targets", "vanished-but-kept", EventFields().text("target", instance).flag("storeAway", this->directory.storeAway));
    for (const std::string& instance : change.gone) {
        this->log.write(Weight::Process, "targets", "gone", EventFields().text("target", instance));
        this->links->forget(instance);
    }
    for (const std::string& service : change.services) {
        this->hosted->targetsChanged(service);
        this->own->targetsChanged(service);
    }
    this->planDirectoryExpiry();
    this->planFlush();
}

void Proxy::planDirectoryExpiry()
{
    const std::optional<TimePoint> due = nextEntryExpiry(this->directory);
    if (!due)
        return;
    this->directoryTimer.expires_at(*due);
    this->directoryTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->applyChange(expireEntries(this->directory, Clock::now()));
    });
}

void Proxy::storeAway(std::string_view reason)
{
    if (this->directory.storeAway)
        return;
    noteStoreAway(this->directory);
    this->log.write(Weight::Process, "store", "lost", EventFields().text("reason", reason));
    this->planFlush();
}

void Proxy::storeBack()
{
    if (!this->directory.storeAway)
        return;
    noteStoreBack(this->directory, Clock::now());
    this->log.write(Weight::Process, "store", "regained", EventFields());
    this->planDirectoryExpiry();
    this->planFlush();
}

void Proxy::setMembers(std::span<const FleetMember> members)
{
    const std::size_t before = this->fleet.members.size();
    flamingowick::proxy::setMembers(this->fleet, members, Clock::now());
    this->own->setRetryShare(0.4 / static_cast<double>(std::max<std::size_t>(1, this->fleet.members.size())));
    if (before != this->fleet.members.size())
        this->log.write(Weight::Process, "fleet", "members", EventFields().number("count", static_cast<std::int64_t>(this->fleet.members.size())).number("before", static_cast<std::int64_t>(before)));
    if (before <= 1)
        this->announce(false, true);
    this->fleetChanged();
}

void Proxy::memberSilent(const std::string& name)
{
    if (!flamingowick::proxy::memberSilent(this->fleet, name, Clock::now()))
        return;
    this->log.write(Weight::Process, "fleet", "member-silent", EventFields().text("member", name).text("asked", "state"));
    this->planProbes();
    this->fleetChanged();
}

void Proxy::fleetChanged()
{
    this->planFlush();
    if (this->onFleetChange)
        this->onFleetChange();
}

void Proxy::announce(bool leaving, bool wantsReply)
{
    for (const auto& [name, member] : this->fleet.members) {
        if (name != this->fleet.self)
            this->peers->send(member.address, PresenceMessage { this->settings.vm, this->settings.peerAddress, leaving, wantsReply, this->settings.failureDomain });
    }
}

PeerHandlers Proxy::peerHandlers()
{
    PeerHandlers handlers;
    handlers.onAsk = [this](const PeerSource& source, const AskMessage& message) { this->takeAsk(source, message); };
    handlers.onWord = [this](const PeerSource& source, const WordMessage& reply) {
        this->hear(source);
        this->entry->takeWord(std::string(nameAt(this->fleet, source.address)), reply);
        this->planFlush();
    };
    handlers.onEnd = [this](const PeerSource& source, const EndMessage& message) {
        this->hosted->end(message.group, { source.sender, message.number }, message.outcome, message.lasted);
    };
    handlers.onRunning = [this](const PeerSource& source, const RunningMessage& message) {
        this->entries[source.sender] = source.address;
        this->hosted->running({ source.sender, message.number }, message);
    };
    handlers.onPresence = [this](const PeerSource& source, const PresenceMessage& message) { this->takePresence(source, message); };
    return handlers;
}

void Proxy::hear(const PeerSource& source)
{
    const std::string name(nameAt(this->fleet, source.address));
    if (name.empty())
        return;
    if (memberHeard(this->fleet, name)) {
        this->log.write(Weight::Process, "fleet", "member-heard", EventFields().text("member", name));
        this->fleetChanged();
    }
    std::uint64_t& lastIncarnation = this->lives[source.address];
    const bool restarted = lastIncarnation != 0 && lastIncarnation != source.sender;
    lastIncarnation = source.sender;
    if (restarted) {
        this->log.write(Weight::Process, "fleet", "member-restarted", EventFields().text("member", name));
        this->entry->reportRunning(name, {});
    }
}

void Proxy::takeAsk(const PeerSource& source, const AskMessage& message)
{
    this->entries[source.sender] = source.address;
    this->hear(source);
    const grants::AttemptKey key = message.request.key;
    if (!this->hosted->ask(message)) {
        WordMessage reply;
        reply.kind = WordKind::Waits;
        reply.decision.key = key;
        this->peers->send(source.address, reply);
    }
    this->planFlush();
}

void Proxy::takePresence(const PeerSource& source, const PresenceMessage& message)
{
    if (message.name.empty() || message.name == this->settings.vm)
        return;
    const auto known = this->fleet.members.find(message.name);
    if (message.leaving) {
        if (known != this->fleet.members.end() && !known->second.leaving) {
            memberLeaves(this->fleet, message.name);
            this->log.write(Weight::Process, "fleet", "member-leaving", EventFields().text("member", message.name));
            this->fleetChanged();
        }
    } else if (known == this->fleet.members.end() || known->second.address != source.address || known->second.leaving) {
        addMember(this->fleet, { message.name, source.address, message.failureDomain }, Clock::now());
        this->log.write(Weight::Process, "fleet", "member-joined", EventFields().text("member", message.name).text("address", source.address));
        this->fleetChanged();
    }
    this->hear(source);
    if (message.wantsReply)
        this->peers->send(source.address, PresenceMessage { this->settings.vm, this->settings.peerAddress, this->stopping, false, this->settings.failureDomain });
    this->planFlush();
}

// Posted, not called, since the decision may be made before the call that requests the grant has returned.
void Proxy::postWord(const std::string& dispatcher, const WordMessage& reply)
{
    asio::post(this->io, [this, alive = std::weak_ptr<char>(this->alive), dispatcher, reply] {
        if (!alive.expired())
            this->entry->takeWord(dispatcher, reply);
    });
}

void Proxy::decideHosted(const grants::Decision& decision)
{
    const bool granted = decision.verdict == grants::Verdict::Granted;
    this->log.write(Weight::Request, "dispatch", granted ? "granted" : "refused",
        EventFields().text("request", decision.label).text("target", decision.instance).real("failing", decision.failing).number("inFlight", decision.inFlight).number("waiting", static_cast<std::int64_t>(decision.waiting)).text("reason", toString(decision.reason)).milliseconds("targetsAgeMs", Clock::now() - this->targetsChangedAt));
    this->metrics.count(granted ? "flamingowick_grants_total" : "flamingowick_refusals_total");
    const WordMessage reply { granted ? WordKind::Granted : WordKind::Refused, decision };
    if (decision.key.entry == this->sender) {
        this->postWord(this->fleet.self, reply);
        return;
    }
    if (const auto address = this->entries.find(decision.key.entry); address != this->entries.end())
        this->peers->send(address->second, reply);
}

void Proxy::decideOwn(const grants::Decision& decision)
{
    const WordMessage reply { decision.verdict == grants::Verdict::Granted ? WordKind::Granted : WordKind::Refused, decision };
    this->postWord(std::string(decidedAlone), reply);
}

void Proxy::planProbes()
{
    const std::optional<TimePoint> due = nextProbe(this->fleet);
    if (!due || this->probeTimer.expiry() == *due)
        return;
    this->probeTimer.expires_at(*due);
    this->probeTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        for (const std::string& name : dueProbes(this->fleet, Clock::now()))
            this->peers->send(this->fleet.members.at(name).address, PresenceMessage { this->settings.vm, this->settings.peerAddress, this->stopping, true, this->settings.failureDomain });
        this->planProbes();
    });
}

void Proxy::answerReady(CallerConnection& caller)
{
    HttpMessage answer;
    answer.status = this->ready() ? 200 : 503;
    answer.body = this->ready() ? "ready\n" : "not ready\n";
    caller.respond(answer);
}

std::string Proxy::renderMetrics()
{
    this->metrics.set("flamingowick_configuration_version", {}, this->inForce ? static_cast<double>(this->inForce->configuration.version) : 0);
    this->metrics.set("flamingowick_targets", {}, static_cast<double>(this->directory.entries.size()));
    this->metrics.set("flamingowick_members", {}, static_cast<double>(this->fleet.members.size()));
    this->metrics.set("flamingowick_requests_running", {}, static_cast<double>(this->entry->running()));
    this->metrics.set("flamingowick_target_connections_idle", {}, static_cast<double>(this->links->idleCount()));
    this->metrics.set("flamingowick_target_connections_opened", {}, static_cast<double>(this->links->opened()));
    this->metrics.set("flamingowick_datagrams_sent", {}, static_cast<double>(this->peers->sentDatagrams()));
    this->metrics.set("flamingowick_datagrams_unreadable", {}, static_cast<double>(this->peers->unreadableDatagrams()));
    this->metrics.set("flamingowick_log_lines_left_out", {}, static_cast<double>(this->log.leftOut()));
    this->metrics.set("flamingowick_store_away", {}, this->directory.storeAway ? 1 : 0);
    return this->metrics.render();
}

void Proxy::answerMetrics(CallerConnection& caller)
{
    HttpMessage answer;
    answer.status = 200;
    answer.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
    answer.body = this->renderMetrics();
    caller.respond(answer);
}

void Proxy::beginStop(std::function<void()> stopped)
{
    if (this->stopping)
        return;
    this->stopping = true;
    this->stopBegan = Clock::now();
    this->onStopped = std::move(stopped);
    this->fleet.selfLeaving = true;
    this->callers->beginStop();
    this->announce(true, false);
    this->log.write(Weight::Process, "daemon", "stopping", EventFields().number("running", static_cast<std::int64_t>(this->entry->running())));
    this->log.flush();
    this->checkStopped();
}

void Proxy::checkStopped()
{
    const Duration passed = Clock::now() - this->stopBegan;
    const bool idle = this->entry->running() == 0 && this->callers->servingCount() == 0;
    if (passed >= acceptDurationWhileStopping)
        this->callers->closeIdle();
    if ((idle && passed >= minStopDuration) || passed >= this->settings.stopGrace - stopMargin) {
        this->log.write(Weight::Process, "daemon", "stopped", EventFields().number("running", static_cast<std::int64_t>(this->entry->running())).milliseconds("tookMs", passed));
        this->log.flush();
        this->callers->closeIdle();
        this->onStopped();
        return;
    }
    this->stopTimer.expires_after(stopCheckInterval);
    this->stopTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->checkStopped();
    });
}

void Proxy::reload(const ProxySettings& changed)
{
    this->settings.stopGrace = changed.stopGrace;
    this->settings.logLinesPerSecond = changed.logLinesPerSecond;
    this->settings.retryRatio = changed.retryRatio;
    this->settings.retryBurst = changed.retryBurst;
    this->settings.lapseGrace = changed.lapseGrace;
    this->directory.limits.lapseGrace = changed.lapseGrace;
    this->log.setLinesPerSecond(changed.logLinesPerSecond);
}

}
