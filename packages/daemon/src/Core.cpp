#include "flamingowick/daemon/Core.h"

#include "flamingowick/telemetry/Log.h"

namespace flamingowick::daemon {

namespace {

    // How long a shutdown waits for others to take its key ranges. What they have not taken by then
    // is treated by them like the ranges of a daemon that died.
    constexpr std::chrono::seconds handOverLimit { 10 };

    // How long a daemon that has said that it leaves goes on, for requests that were on their way to it.
    constexpr std::chrono::milliseconds leavingTime { 500 };

    // How long the answers of a daemon that has left are waited for.
    constexpr std::chrono::seconds departedPatience { 3 };

}

Core::Core(DaemonSettings settings, const DaemonId& self, Ports ports, std::uint64_t secret, TimePoint now)
    : context(std::move(settings), self, std::move(ports))
    , calls([this](platform::Call call) { return this->context.ports.callPlatform(std::move(call)); })
    , entry(this->context, this->entryNeighbours())
    , forwards(this->context, this->forwardNeighbours())
    , dispatch(this->context, [this](const peers::ForwardAnswer& answer) { this->forwards.answered(answer); })
    , keyService(this->context, this->calls, this->keyNeighbours(), secret)
    , configurationService(
          this->context, this->calls, [this](const std::string& service) { this->documentChanged(service); }, now)
    , lists(this->context, this->calls, { [this](const std::string& service) { this->dispatch.targetsChanged(service, Clock::now()); } })
    , membershipService(this->context, this->membershipHandlers(), now)
    , admin({ this->context, this->configurationService, this->dispatch, this->keyService })
{
    telemetry::logInfo(telemetry::Part::Daemon, "Daemon " + toString(self) + " starts.");
}

EntryNeighbours Core::entryNeighbours()
{
    EntryNeighbours neighbours;
    neighbours.forward = [this](Request request) { this->forwards.submit(ForwardClient::Entry, std::move(request), Clock::now()); };
    neighbours.cancelForward = [this](const RequestId& id) { this->forwards.cancel(id); };
    neighbours.runKeyed = [this](Request request) { this->keyService.handle(keys::CallerRequest { std::move(request) }, Clock::now()); };
    neighbours.cancelKeyed = [this](const RequestId& id) { this->keyService.handle(keys::CallerGone { id }, Clock::now()); };
    neighbours.documentsComplete = [this] { return this->configurationService.ready(); };
    return neighbours;
}

ForwardNeighbours Core::forwardNeighbours()
{
    ForwardNeighbours neighbours;
    neighbours.dispatchLocally = [this](peers::ForwardRequest message) { this->dispatch.submit(this->context.self, {}, std::move(message), Clock::now()); };
    neighbours.cancelLocally = [this](const RequestId& id, std::uint32_t attempt) { this->dispatch.cancel(id, attempt, Clock::now()); };
    neighbours.onAnswer = [this](ForwardClient client, const RequestId& id, Answer answer) {
        if (client == ForwardClient::Entry)
            this->entry.answered(id, { std::move(answer), {}, {} }, Clock::now());
        else
            this->keyService.dispatched(id, std::move(answer), Clock::now());
    };
    return neighbours;
}

KeyNeighbours Core::keyNeighbours()
{
    KeyNeighbours neighbours;
    neighbours.dispatch = [this](Request request) { this->forwards.submit(ForwardClient::KeyOwner, std::move(request), Clock::now()); };
    neighbours.cancelDispatch = [this](const RequestId& id) { this->forwards.cancel(id); };
    neighbours.answerCaller = [this](const RequestId& id, TimedAnswer answer) { this->entry.answered(id, std::move(answer), Clock::now()); };
    return neighbours;
}

MembershipHandlers Core::membershipHandlers()
{
    MembershipHandlers handlers;
    handlers.onJoined = [this](const Member& member) { this->keyService.memberJoined(member); };
    handlers.onLost = [this](const DaemonId& id) { this->forwards.memberLost(id); };
    handlers.onLeaving = [this](const DaemonId& id) { this->departed.emplace_back(id, Clock::now()); };
    handlers.onDead = [this](const DaemonId& id) { this->keyService.deathProven(id, Clock::now()); };
    return handlers;
}

void Core::handle(CoreInput input, TimePoint now)
{
    std::visit([&](auto& each) { this->receive(each, now); }, input);
}

void Core::receive(CallerRequest& input, TimePoint now)
{
    if (input.request.target == issueKeyPath)
        this->issueKey(input.request.token, now);
    else
        this->entry.receive(std::move(input.request), now);
}

void Core::issueKey(gateway::ExchangeToken token, TimePoint now)
{
    gateway::HttpResponse response;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.headers.push_back({ "Cache-Control", "no-store" });
    response.body = "{\"key\":\"" + this->keyService.issueKey(now) + "\"}\n";
    this->context.ports.respondCaller(token, std::move(response));
}

void Core::receive(CallerGone& input, TimePoint)
{
    this->entry.callerGone(input.token);
}

void Core::receive(AdminRequest& input, TimePoint now)
{
    this->admin.receive(input.request, this->ready(), now);
}

void Core::receive(peers::Envelope& envelope, TimePoint now)
{
    std::visit([&](auto& message) { this->receiveMessage(envelope, message, now); }, envelope.message);
}

void Core::receive(PeerNotSent& input, TimePoint now)
{
    if (const auto* forward = std::get_if<peers::ForwardRequest>(&input.message))
        this->forwards.notSent(*forward);
    else
        this->keyService.notSent(input.message, now);
}

void Core::receive(PeerLinkLost& input, TimePoint now)
{
    // What was sent over the link may or may not have arrived.
    const Member* member = this->context.members.findByAddress(input.address);
    if (member != nullptr)
        this->forwards.memberLost(DaemonId(member->id));
    this->membershipService.linkLost(input.address, now);
}

void Core::receive(gateway::AttemptResult& result, TimePoint now)
{
    this->dispatch.attemptEnded(std::move(result), now);
}

void Core::receive(platform::Result& result, TimePoint)
{
    this->calls.take(result);
}

void Core::receive(ShutdownRequested&, TimePoint now)
{
    if (this->shutdownStarted)
        return;
    this->shutdownStarted = now;
    telemetry::logInfo(telemetry::Part::Daemon, "Shutdown starts.");
    this->keyService.startShutdown(now);
}

void Core::documentChanged(const std::string& service)
{
    this->dispatch.documentChanged(service, Clock::now());
    this->keyService.documentChanged(service, Clock::now());
}

bool Core::ready() const
{
    return this->configurationService.ready() && this->keyService.hearsOwners() && !this->shutdownStarted;
}

void Core::tick(TimePoint now)
{
    this->membershipService.tick(this->lists.listedVms(), now);
    this->configurationService.membersChanged(now);
    this->configurationService.tick(now);
    this->lists.setWatching(this->configurationService.watching());
    this->lists.tick(now);
    this->forwards.tick(now);
    this->dispatch.tick(now);
    this->keyService.tick(now);
    this->giveUpDeparted(now);
    if (this->shutdownStarted)
        this->continueShutdown(now);
}

// What a daemon that has left did not answer is lost.
void Core::giveUpDeparted(TimePoint now)
{
    std::erase_if(this->departed, [&](const auto& each) {
        if (now - each.second < departedPatience)
            return false;
        this->forwards.memberLost(DaemonId(each.first));
        return true;
    });
}

void Core::continueShutdown(TimePoint now)
{
    Duration since = now - *this->shutdownStarted;
    if (!this->acceptingStopped && since >= this->context.settings.shutdownGrace) {
        this->acceptingStopped = true;
        this->context.ports.stopAccepting();
    }
    bool isHandedOver = this->keyService.handedOver() || since >= this->context.settings.shutdownGrace + handOverLimit;
    bool isIdle = this->entry.pending() == 0 && this->forwards.pending() == 0 && this->dispatch.active() == 0 && isHandedOver;
    bool isOver = since >= this->context.settings.shutdownLimit;
    if (this->finished || !this->acceptingStopped || !(isIdle || isOver))
        return;
    if (!this->leavingSince) {
        this->leavingSince = now;
        this->membershipService.leave(now);
    }
    if (!isOver && now - *this->leavingSince < leavingTime)
        return;
    this->finished = true;
    telemetry::logInfo(telemetry::Part::Daemon, "Shutdown is complete.");
    this->context.ports.finished();
}

}
