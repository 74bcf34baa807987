#include "FakeFleet.h"

#include "flamingowick/configuration/AuditTrail.h"
#include "flamingowick/model/Error.h"

#include <algorithm>

namespace flamingowick::configuration::tests {

namespace {

    constexpr std::int64_t faultyMs = 15'000;
    constexpr std::int64_t quietMs = 12'000;
    constexpr std::int64_t tickMs = 100;
    // A daemon that becomes ready may lag behind the fleet by what happened within this time.
    constexpr std::int64_t readinessLagMs = 3'000;

    std::uint64_t versionAt(const std::map<std::int64_t, std::uint64_t>& since, std::int64_t timeMs)
    {
        const auto after = since.upper_bound(timeMs);
        return after == since.begin() ? 0 : std::prev(after)->second;
    }

}

Checked<ServiceDocument> checkFakeText(std::string_view text)
{
    Checked<ServiceDocument> checked;
    const std::size_t first = text.find(' ');
    const std::size_t second = text.rfind(' ');
    checked.value.name = text.substr(0, first);
    checked.value.queue.maxWaiting = static_cast<unsigned>(std::atoi(std::string(text.substr(first + 1)).c_str()));
    if (text.substr(second + 1) != "ok")
        checked.findings.push_back({ 100, "", 1, "broken" });
    return checked;
}

Policy fakePolicy()
{
    Policy policy;
    policy.check = checkFakeText;
    return policy;
}

FakeFleet::FakeFleet(std::uint64_t seed, const Policy& fleetPolicy)
    : random(seed)
    , policy(fleetPolicy)
{
    this->nodes.resize(2 + this->below(6));
    const std::size_t domains = 1 + this->below(3);
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        this->nodes[node].state.vm = "vm" + std::to_string(node);
        this->nodes[node].state.failureDomain = "domain" + std::to_string(node % domains);
    }
    for (std::size_t service = 0; service <= this->below(3); ++service)
        this->services.push_back("service" + std::to_string(service));
}

void FakeFleet::require(bool holds, const std::string& message)
{
    if (!holds)
        this->violations.push_back(std::to_string(this->clockMs) + " ms: " + message);
}

void FakeFleet::after(std::int64_t delayMs, std::function<void()> work)
{
    this->queue.push({ this->clockMs + delayMs, ++this->steps, std::move(work) });
}

void FakeFleet::runUntil(std::int64_t endMs)
{
    while (!this->queue.empty() && this->queue.top().at <= endMs && this->violations.empty()) {
        const Step step = this->queue.top();
        this->queue.pop();
        this->clockMs = step.at;
        step.work();
    }
    this->clockMs = endMs;
}

void FakeFleet::deliver(std::size_t node, std::uint64_t life, const Event& event)
{
    Node& receiver = this->nodes[node];
    if (!receiver.up || receiver.life != life)
        return;
    if (this->clockMs <= receiver.pausedUntilMs) {
        receiver.backlog.push_back(event);
        return;
    }
    try {
        for (const Action& action : handle(receiver.state, this->policy, event, this->now()))
            std::visit([&](const auto& known) { this->perform(node, known); }, action);
    } catch (const InvariantViolation& violation) {
        this->require(false, violation.what());
    }
}

void FakeFleet::deliverAfter(std::int64_t delayMs, std::size_t node, Event event)
{
    const std::uint64_t life = this->nodes[node].life;
    this->after(delayMs, [this, node, life, event = std::move(event)] { this->deliver(node, life, event); });
}

void FakeFleet::deliverInOrder(std::int64_t& last, std::int64_t delayMs, std::size_t node, Event event)
{
    last = std::max(last, this->clockMs + delayMs);
    this->deliverAfter(last - this->clockMs, node, std::move(event));
}

void FakeFleet::tick(std::size_t node, std::uint64_t life)
{
    if (!this->nodes[node].up || this->nodes[node].life != life)
        return;
    if (this->clockMs > this->nodes[node].pausedUntilMs)
        this->deliver(node, life, Tick {});
    this->after(tickMs, [this, node, life] { this->tick(node, life); });
}

void FakeFleet::start(std::size_t node)
{
    Node& starting = this->nodes[node];
    if (starting.up)
        return;
    const std::uint64_t life = starting.life + 1;
    const State old = starting.state;
    starting = {};
    starting.life = life;
    starting.up = true;
    starting.state = makeState(old.vm, old.failureDomain, life, this->random(), this->now());
    this->after(static_cast<std::int64_t>(this->below(tickMs)), [this, node, life] { this->tick(node, life); });
    this->tellMembers();
}

void FakeFleet::stop(std::size_t node)
{
    this->nodes[node].up = false;
    this->tellMembers();
}

void FakeFleet::pause(std::size_t node, std::int64_t durationMs)
{
    this->nodes[node].pausedUntilMs = std::max(this->nodes[node].pausedUntilMs, this->clockMs + durationMs);
    this->after(durationMs + 1, [this, node] {
        if (this->clockMs > this->nodes[node].pausedUntilMs)
            this->resume(node);
    });
}

// Hands a process what came in while it was paused, in order.
void FakeFleet::resume(std::size_t node)
{
    this->nodes[node].pausedUntilMs = 0;
    const std::vector<Event> backlog = std::move(this->nodes[node].backlog);
    this->nodes[node].backlog.clear();
    for (const Event& event : backlog)
        this->deliver(node, this->nodes[node].life, event);
}

void FakeFleet::tellMembers()
{
    MembersChanged event;
    for (const Node& node : this->nodes) {
        if (node.up)
            event.members.push_back({ node.state.vm, node.state.failureDomain });
    }
    for (std::size_t node = 0; node < this->nodes.size(); ++node)
        this->deliverInOrder(this->nodes[node].toldUntilMs, static_cast<std::int64_t>(this->below(500)), node, event);
}

void FakeFleet::perform(std::size_t node, const StartWatch&)
{
    this->nodes[node].watching = true;
    this->list(node);
}

void FakeFleet::perform(std::size_t node, const StopWatch&)
{
    this->nodes[node].watching = false;
}

void FakeFleet::perform(std::size_t node, const ReadAccepted& read)
{
    const auto call = [this, read]() -> Event { return AcceptedRead { read.service, read.ticket, this->readAccepted(read.service) }; };
    this->callStore(node, 0, call, CallFailed { read.service, read.ticket });
}

void FakeFleet::perform(std::size_t node, const ReadSource& read)
{
    const auto call = [this, read]() -> Event { return SourceRead { read.service, read.ticket, this->readSource(read.service), this->clockMs }; };
    this->callStore(node, 0, call, CallFailed { read.service, read.ticket });
}

void FakeFleet::perform(std::size_t node, const WriteAccepted& write)
{
    const std::int64_t delayMs = this->odds(this->faults.lateWrites) ? static_cast<std::int64_t>(this->below(6'000)) : 0;
    const auto call = [this, write]() -> Event { return WriteAnswered { write.document.service, write.ticket, this->write(write) }; };
    this->callStore(node, delayMs, call, WriteAnswered { write.document.service, write.ticket, WriteOutcome::Unknown });
}

void FakeFleet::perform(std::size_t node, const WriteArchive& write)
{
    const auto call = [this, write]() -> Event {
        const auto [entry, added] = this->store.archives.try_emplace({ write.archive.service, write.archive.segment }, write.archive);
        this->require(added || entry->second == write.archive, "an archive would change");
        return ArchiveWritten { write.archive.service, write.ticket };
    };
    this->callStore(node, 0, call, CallFailed { write.archive.service, write.ticket });
}

void FakeFleet::perform(std::size_t node, const SendMessage& send)
{
    const auto receiver = static_cast<std::size_t>(std::atoi(send.to.substr(2).c_str()));
    if (this->cuts.contains({ node, receiver }))
        return;
    const unsigned copies = this->odds(this->faults.messageRepeat) ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        if (this->odds(this->faults.messageLoss))
            continue;
        const auto delayMs = static_cast<std::int64_t>(1 + this->below(this->faults.maxMessageDelayMs));
        this->deliverAfter(delayMs, receiver, MessageReceived { this->nodes[node].state.vm, send.message });
    }
}

void FakeFleet::perform(std::size_t node, const ApplyDocument& apply)
{
    std::uint64_t& version = this->nodes[node].applied[apply.service];
    this->require(apply.version > version, "an older version was applied");
    version = apply.version;
    this->nodes[node].appliedSince[apply.service][this->clockMs] = version;
    const auto& history = this->store.accepted[apply.service];
    const auto written = std::ranges::find_if(history, [&](const StoredDocument& stored) { return stored.document.version == apply.version; });
    if (written == history.end()) {
        this->require(false, "a version was applied that the store never held");
        return;
    }
    const AcceptedDocument& document = written->document;
    const unsigned number = document.deleted ? 0 : checkFakeText(document.text).value.queue.maxWaiting;
    const bool same = apply.deleted == document.deleted && (apply.deleted || apply.document.queue.maxWaiting == number);
    this->require(same, "another text was applied than the store holds for the version");
}

void FakeFleet::perform(std::size_t node, const BecomeReady&)
{
    this->nodes[node].everReady = true;
    this->nodes[node].readySinceMs = this->clockMs;
    for (const std::string& service : this->services) {
        const bool current = this->nodes[node].applied[service] >= this->readinessFloor(node, service);
        this->require(current, "a daemon became ready behind what the fleet had in force");
    }
}

void FakeFleet::callStore(std::size_t node, std::int64_t delayMs, std::function<Event()> call, const Event& failure)
{
    const std::uint64_t life = this->nodes[node].life;
    const auto travelMs = static_cast<std::int64_t>(1 + this->below(this->faults.maxCallDelayMs));
    this->after(delayMs + travelMs, [this, node, life, call = std::move(call), failure] {
        ++this->store.calls;
        const Event answer = this->store.down ? failure : call();
        // A lost answer shows as a failure or not at all.
        const bool lost = this->odds(this->faults.lostAnswers);
        if (lost && this->odds(50))
            return;
        const auto backMs = static_cast<std::int64_t>(1 + this->below(this->faults.maxCallDelayMs));
        this->after(backMs, [this, node, life, event = lost ? failure : answer] { this->deliver(node, life, event); });
    });
}

std::optional<StoredDocument> FakeFleet::readAccepted(const std::string& service)
{
    const auto& history = this->store.accepted[service];
    if (history.empty())
        return std::nullopt;
    return this->odds(this->faults.staleReads) ? history[this->below(history.size())] : history.back();
}

std::optional<SourceObject> FakeFleet::readSource(const std::string& service)
{
    const auto& history = this->store.sourceHistory[service];
    if (!history.empty() && this->odds(this->faults.staleSourceReads))
        return history[this->below(history.size())];
    const auto found = this->store.sources.find(service);
    return found == this->store.sources.end() ? std::nullopt : std::optional(found->second);
}

WriteOutcome FakeFleet::write(const WriteAccepted& write)
{
    auto& history = this->store.accepted[write.document.service];
    const std::string current = history.empty() ? "" : history.back().objectVersion;
    const bool unconditional = write.expectedVersion == "*";
    if (!unconditional && current != write.expectedVersion)
        return WriteOutcome::Conflict;
    ++this->store.writes;
    this->store.lastWriteMs = this->clockMs;
    this->storedSince[write.document.service][this->clockMs] = write.document.version;
    history.push_back({ write.document, "o" + std::to_string(this->store.writes) });
    this->notifyWatchers(AcceptedNoticed { history.back() });
    return WriteOutcome::Done;
}

void FakeFleet::list(std::size_t node)
{
    if (this->store.down)
        return;
    WatchListed event;
    for (const auto& [service, source] : this->store.sources)
        event.sources.push_back({ service, markOf(source) });
    for (const auto& [service, history] : this->store.accepted) {
        if (!history.empty())
            event.accepted.push_back(history.back());
    }
    this->deliverInOrder(this->nodes[node].watchedUntilMs, static_cast<std::int64_t>(1 + this->below(this->faults.maxWatchLagMs)), node, event);
}

void FakeFleet::notifyWatchers(const Event& event)
{
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        if (!this->nodes[node].up || !this->nodes[node].watching || this->store.down)
            continue;
        const auto lagMs = static_cast<std::int64_t>(1 + this->below(this->faults.maxWatchLagMs));
        if (!this->odds(this->faults.watchBreaks)) {
            this->deliverInOrder(this->nodes[node].watchedUntilMs, lagMs, node, event);
            continue;
        }
        const std::uint64_t life = this->nodes[node].life;
        this->deliverInOrder(this->nodes[node].watchedUntilMs, lagMs, node, WatchBroken {});
        this->after(lagMs, [this, node, life] {
            if (this->nodes[node].up && this->nodes[node].life == life && this->nodes[node].watching)
                this->list(node);
        });
    }
}

void FakeFleet::setStoreDown(bool down)
{
    this->store.down = down;
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        if (!this->nodes[node].up || !this->nodes[node].watching)
            continue;
        if (down)
            this->deliverInOrder(this->nodes[node].watchedUntilMs, 1, node, WatchBroken {});
        else
            this->list(node);
    }
}

// Lets services begin with a long audit trail, so that archives come into play.
void FakeFleet::fillAudit()
{
    for (const std::string& service : this->services) {
        if (this->odds(50))
            continue;
        AcceptedDocument document;
        document.service = service;
        for (std::uint64_t version = 1; version < maxAuditEntries - 2; ++version) {
            const SourceObject source { service, std::to_string(version), service + " " + std::to_string(++this->textsWritten) + " ok", "operator" };
            document = decideChange(document, source, this->policy.check, {});
            this->store.sources[service] = source;
            this->storedSince[service][this->clockMs] = version;
            this->store.accepted[service].push_back({ document, "start" + std::to_string(version) });
        }
    }
}

void FakeFleet::changeSource()
{
    if (this->store.down)
        return;
    const std::string& service = this->services[this->below(this->services.size())];
    auto& sources = this->store.sources;
    if (sources.contains(service) && this->odds(10)) {
        sources.erase(service);
        this->notifyWatchers(SourceNoticed { service, SourceMark {} });
        return;
    }
    SourceObject& source = sources[service];
    // A re-created object is numbered from the start again.
    const int version = source.resourceVersion.empty() ? 0 : std::atoi(source.resourceVersion.c_str());
    const bool same = !source.text.empty() && this->odds(10);
    source.service = service;
    source.resourceVersion = std::to_string(version + 1);
    if (!same)
        source.text = service + " " + std::to_string(++this->textsWritten) + (this->odds(20) ? " broken" : " ok");
    source.changedBy = "operator" + std::to_string(this->below(3));
    this->store.sourceHistory[service].push_back(source);
    this->notifyWatchers(SourceNoticed { service, markOf(source) });
}

void FakeFleet::injectFault()
{
    const std::size_t node = this->below(this->nodes.size());
    switch (this->below(6)) {
    case 0:
        this->stop(node);
        this->after(static_cast<std::int64_t>(this->below(3'000)), [this, node] { this->start(node); });
        break;
    case 1:
        this->setStoreDown(true);
        this->after(static_cast<std::int64_t>(this->below(6'000)), [this] { this->setStoreDown(false); });
        break;
    case 2:
        this->cuts.insert({ node, this->below(this->nodes.size()) });
        break;
    case 3:
        this->pause(node, static_cast<std::int64_t>(this->below(5'000)));
        break;
    case 4:
        this->cuts.clear();
        break;
    default:
        this->faults = { static_cast<unsigned>(this->below(50)), 20, 1 + static_cast<unsigned>(this->below(800)),
            static_cast<unsigned>(this->below(50)), 20, 1 + static_cast<unsigned>(this->below(200)), 20,
            1 + static_cast<unsigned>(this->below(1'000)), 20, this->staleSources ? 30U : 0U };
    }
}

// Returns the version that a daemon must have when it becomes ready: that which the slowest of the
// other ready daemons had a moment ago, or when it became ready itself if that was later. Never more
// than the store had a moment ago, and just that where no other daemon is ready.
std::uint64_t FakeFleet::readinessFloor(std::size_t node, const std::string& service)
{
    const std::int64_t momentAgo = this->clockMs - readinessLagMs;
    std::optional<std::uint64_t> least;
    for (Node& other : this->nodes) {
        if (!other.up || !other.everReady || &other == &this->nodes[node])
            continue;
        const std::uint64_t version = versionAt(other.appliedSince[service], std::max(momentAgo, other.readySinceMs));
        least = std::min(least.value_or(version), version);
    }
    const std::uint64_t stored = versionAt(this->storedSince[service], momentAgo);
    return std::min(least.value_or(stored), stored);
}

bool FakeFleet::documentsAgree() const
{
    for (const std::string& service : this->services) {
        const auto source = this->store.sources.find(service);
        const auto history = this->store.accepted.find(service);
        AcceptedDocument accepted;
        if (history != this->store.accepted.end() && !history->second.empty())
            accepted = history->second.back().document;
        const auto present = source == this->store.sources.end() ? std::nullopt : std::optional(source->second);
        if (accepted.checked != markOf(present))
            return false;
        if (present && present->text.ends_with("ok") && (accepted.deleted || accepted.text != present->text))
            return false;
        for (const Node& node : this->nodes) {
            const HeldDocument* held = findHeld(node.state, service);
            const AcceptedDocument document = held ? held->document : AcceptedDocument {};
            if (document.revision != accepted.revision || (held && held->appliedVersion != accepted.version))
                return false;
        }
    }
    return true;
}

bool FakeFleet::allReady() const
{
    return std::ranges::all_of(this->nodes, &Node::everReady);
}

void FakeFleet::checkAudit()
{
    for (const auto& [service, history] : this->store.accepted) {
        if (history.empty())
            continue;
        std::vector<AuditArchive> archives;
        for (const auto& [place, archive] : this->store.archives) {
            if (place.first == service)
                archives.push_back(archive);
        }
        const auto trail = auditTrail(history.back().document, archives);
        this->require(trail.accepted(), "an accepted version isn't in the audit trail exactly once");
    }
}

void FakeFleet::checkSourceOrder()
{
    for (const auto& [service, history] : this->store.accepted) {
        unsigned last = 0;
        for (const StoredDocument& stored : history) {
            if (stored.document.text.empty())
                continue;
            const unsigned number = checkFakeText(stored.document.text).value.queue.maxWaiting;
            this->require(number >= last, "an older source was accepted after a newer one");
            last = number;
        }
    }
}

void FakeFleet::run()
{
    this->fillAudit();
    for (std::size_t node = 0; node < this->nodes.size(); ++node)
        this->start(node);
    const std::int64_t endOfFaults = this->clockMs + faultyMs;
    while (this->clockMs < endOfFaults && this->violations.empty()) {
        this->runUntil(this->clockMs + static_cast<std::int64_t>(1 + this->below(400)));
        for (std::size_t change = this->below(3); change > 0; --change)
            this->changeSource();
        if (this->odds(40))
            this->injectFault();
    }
    this->faults = {};
    this->cuts.clear();
    this->setStoreDown(false);
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        this->resume(node);
        this->start(node);
    }
    const std::int64_t quietSince = this->clockMs;
    while (this->clockMs < quietSince + quietMs && this->violations.empty()) {
        this->runUntil(this->clockMs + tickMs);
        const std::int64_t quietFor = this->clockMs - quietSince;
        if (!this->documentsAgree())
            this->agreementMs = -1;
        else if (this->agreementMs < 0)
            this->agreementMs = quietFor;
        this->spreadMs = this->agreementMs - std::max<std::int64_t>(0, this->store.lastWriteMs - quietSince);
        if (this->readinessMs < 0 && this->allReady())
            this->readinessMs = quietFor;
    }
    if (this->violations.empty()) {
        this->require(this->agreementMs >= 0, "the daemons didn't agree with the store");
        this->require(this->readinessMs >= 0, "a daemon didn't become ready");
    }
    this->checkAudit();
    this->checkSourceOrder();
}

}
