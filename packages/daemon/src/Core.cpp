#include "flamingowick/daemon/Core.h"

#include "flamingowick/settings/FindingText.h"
#include "flamingowick/settings/ServiceDocumentText.h"
#include "flamingowick/telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace flamingowick::daemon {

namespace {

    constexpr std::chrono::milliseconds heartbeatInterval { 250 };
    constexpr std::chrono::seconds memberSilenceLimit { 2 };
    constexpr platform::CallId documentWatch = 1;
    constexpr platform::CallId targetWatch = 2;

    std::uint64_t parseVersion(std::string_view text)
    {
        std::uint64_t version = 0;
        std::from_chars(text.data(), text.data() + text.size(), version);
        return version;
    }

    TargetList parseTargetList(const platform::Object& object)
    {
        TargetList list;
        list.version = parseVersion(object.resourceVersion);
        auto spec = nlohmann::json::parse(object.specJson, nullptr, false);
        if (!spec.is_object() || !spec.contains("targets"))
            return list;
        for (const auto& entry : spec["targets"]) {
            Target target;
            target.address = entry.value("address", "");
            target.failureDomain = entry.value("failureDomain", "");
            target.leaving = entry.value("state", "live") == "leaving";
            list.targets.push_back(std::move(target));
        }
        return list;
    }

}

Core::Core(DaemonSettings settings, const DaemonId& self, Ports ports, TimePoint now)
    : context(std::move(settings), self, std::move(ports))
    , entry(this->context, { [this](peers::ForwardRequest message) {
                                this->dispatch.submit(this->context.self, {}, std::move(message), Clock::now());
                            },
                               [this](const RequestId& id, std::uint32_t attempt) {
                                   this->dispatch.cancel(id, attempt, Clock::now());
                               } })
    , dispatch(this->context, [this](const peers::ForwardAnswer& answer) { this->entry.forwardAnswered(answer, Clock::now()); })
    , nextHeartbeat(now)
{
    this->context.ports.callPlatform(platform::Watch { documentWatch, platform::Plural::ServiceDocuments });
    this->context.ports.callPlatform(platform::Watch { targetWatch, platform::Plural::TargetLists });
    telemetry::logInfo(telemetry::Part::Daemon, "Daemon " + toString(self) + " starts.");
}

void Core::handle(CoreInput input, TimePoint now)
{
    std::visit([&](auto& each) { this->receive(each, now); }, input);
}

void Core::receive(CallerRequest& input, TimePoint now)
{
    this->entry.receive(std::move(input.request), now);
}

void Core::receive(CallerGone& input, TimePoint)
{
    this->entry.callerGone(input.token);
}

void Core::receive(AdminRequest& input, TimePoint)
{
    gateway::HttpResponse response;
    if (input.request.target == "/healthz") {
        response.body = "ok\n";
    } else if (input.request.target == "/readyz") {
        response.status = this->isReady() ? 200 : 503;
        response.body = this->isReady() ? "ready\n" : "not ready\n";
    } else if (input.request.target == "/metrics") {
        this->context.metrics.set("flamingowick_members", {}, static_cast<double>(this->context.members.all().size()));
        response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
        response.body = this->context.metrics.render();
    } else {
        response.status = 404;
    }
    this->context.ports.respondAdmin(input.request.token, std::move(response));
}

void Core::receive(peers::Envelope& envelope, TimePoint now)
{
    std::visit([&](auto& message) { this->receiveMessage(envelope, message, now); }, envelope.message);
}

void Core::receiveMessage(const peers::Envelope& envelope, peers::ForwardRequest& message, TimePoint now)
{
    this->dispatch.submit(envelope.from, envelope.fromAddress, std::move(message), now);
}

void Core::receiveMessage(const peers::Envelope&, peers::ForwardAnswer& message, TimePoint now)
{
    this->entry.forwardAnswered(message, now);
}

void Core::receiveMessage(const peers::Envelope&, peers::ForwardCancel& message, TimePoint now)
{
    this->dispatch.cancel(message.id, message.attempt, now);
}

void Core::receiveMessage(const peers::Envelope& envelope, peers::Heartbeat& message, TimePoint now)
{
    const Member* known = this->context.members.find(envelope.from.vm);
    if (known != nullptr && known->id.incarnation < envelope.from.incarnation)
        this->loseMember(*known, now);
    bool isNew = this->context.members.heard({ envelope.from, message.failureDomain, envelope.fromAddress, now });
    if (isNew)
        telemetry::logInfo(telemetry::Part::Membership, "Daemon " + toString(envelope.from) + " joined.");
}

void Core::receive(PeerNotSent& input, TimePoint now)
{
    if (const auto* forward = std::get_if<peers::ForwardRequest>(&input.message))
        this->entry.forwardNotSent(*forward, now);
}

void Core::receive(PeerLinkLost& input, TimePoint now)
{
    const Member* member = this->context.members.findByAddress(input.address);
    if (member != nullptr)
        this->loseMember(*member, now);
}

void Core::loseMember(const Member& lost, TimePoint now)
{
    DaemonId id = lost.id;
    telemetry::logWarning(telemetry::Part::Membership, "Daemon " + toString(id) + " is lost.");
    this->context.members.remove(id);
    this->entry.memberLost(id, now);
}

void Core::receive(gateway::AttemptResult& result, TimePoint now)
{
    this->dispatch.attemptEnded(std::move(result), now);
}

void Core::receive(platform::Result& result, TimePoint now)
{
    std::span<const platform::Object> objects;
    std::vector<platform::Object> changed;
    if (auto* snapshot = std::get_if<platform::WatchSnapshot>(&result)) {
        objects = snapshot->objects;
    } else if (auto* events = std::get_if<platform::WatchEvents>(&result)) {
        for (platform::WatchEvent& event : events->events) {
            if (event.type != platform::ChangeType::Deleted)
                changed.push_back(std::move(event.object));
        }
        objects = changed;
    }
    for (const platform::Object& object : objects) {
        if (platform::callId(result) == documentWatch)
            this->receiveDocument(object, now);
        else
            this->receiveTargetList(object, now);
    }
}

void Core::receiveDocument(const platform::Object& object, TimePoint now)
{
    auto spec = nlohmann::json::parse(object.specJson, nullptr, false);
    std::string text = spec.is_object() ? spec.value("text", "") : "";
    auto checked = settings::parseServiceDocument(text);
    if (!checked.accepted()) {
        telemetry::logWarning(telemetry::Part::Configuration, settings::renderFindings(checked.findings, object.name));
        return;
    }
    this->context.catalogue.apply(object.name, parseVersion(object.resourceVersion), checked.value);
    this->dispatch.documentChanged(object.name, now);
    this->documentsSeen = true;
    telemetry::logInfo(telemetry::Part::Configuration, "Document " + object.name + " is in force.");
}

void Core::receiveTargetList(const platform::Object& object, TimePoint now)
{
    if (this->context.catalogue.setTargets(object.name, parseTargetList(object)))
        this->dispatch.targetsChanged(object.name, now);
}

void Core::receive(ShutdownRequested&, TimePoint now)
{
    if (this->shutdownStarted)
        return;
    this->shutdownStarted = now;
    telemetry::logInfo(telemetry::Part::Daemon, "Shutdown starts.");
}

bool Core::isReady() const
{
    return this->documentsSeen && !this->shutdownStarted;
}

void Core::tick(TimePoint now)
{
    this->entry.tick(now);
    this->dispatch.tick(now);
    for (const Member& member : this->context.members.removeSilent(now - memberSilenceLimit))
        this->entry.memberLost(member.id, now);
    if (now >= this->nextHeartbeat)
        this->sendHeartbeats(now);
    if (this->shutdownStarted)
        this->continueShutdown(now);
}

void Core::sendHeartbeats(TimePoint now)
{
    this->nextHeartbeat = now + heartbeatInterval;
    peers::Heartbeat heartbeat { this->context.settings.failureDomain };
    for (const std::string& seed : this->context.settings.seeds)
        this->context.ports.sendPeer(seed, 0, heartbeat);
}

void Core::continueShutdown(TimePoint now)
{
    Duration since = now - *this->shutdownStarted;
    if (!this->acceptingStopped && since >= this->context.settings.shutdownGrace) {
        this->acceptingStopped = true;
        this->context.ports.stopAccepting();
    }
    bool isIdle = this->entry.pending() == 0 && this->dispatch.active() == 0;
    bool isOver = since >= this->context.settings.shutdownLimit;
    if (this->finished || !this->acceptingStopped || !(isIdle || isOver))
        return;
    this->finished = true;
    telemetry::logInfo(telemetry::Part::Daemon, "Shutdown is complete.");
    this->context.ports.finished();
}

}
