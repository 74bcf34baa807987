#include "flamingowick/proxy/StateFeed.h"

#include "flamingowick/model/StableHash.h"

#include <state.pb.h>

#include <algorithm>
#include <charconv>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;
    using telemetry::EventFields;
    using telemetry::Weight;

    constexpr unsigned maxPeerConnections = 512;
    constexpr std::string_view statePath = "/state";
    constexpr std::array<std::string_view, allStateKinds.size()> kindNames { "configuration", "targets", "members" };

    // Returns the value of a parameter in the query of a request target; 0 when it is missing or not a number.
    std::uint64_t queryParameter(std::string_view target, std::string_view name)
    {
        const std::string prefix = std::string(name).append("=");
        const std::size_t position = target.find(prefix);
        std::uint64_t value = 0;
        if (position != std::string_view::npos)
            std::from_chars(target.data() + position + prefix.size(), target.data() + target.size(), value);
        return value;
    }

    void writeDelta(const KindCache& cache, StateKind kind, std::uint64_t seenRevision, wire::StateAnswer& answer)
    {
        const StateDelta delta = changesSince(cache, seenRevision);
        wire::KindState& state = *answer.add_kinds();
        state.set_kind(static_cast<std::uint32_t>(kind));
        state.set_revision(delta.revision);
        state.set_whole(delta.whole);
        for (const StateChange& change : delta.changes) {
            wire::StateObject& object = *state.add_objects();
            object.set_name(change.object.name);
            object.set_revision(change.object.revision);
            object.set_payload(change.object.payload);
            object.set_removed(change.removed);
        }
    }

}

std::vector<std::string> relaysOf(Fleet& fleet, std::string_view failureDomain, const FeedLimits& limits)
{
    std::vector<std::string> inDomain;
    std::vector<std::string> all = dispatchersOf(fleet, "relays");
    std::size_t membersInDomain = 0;
    for (const auto& [name, member] : fleet.members)
        membersInDomain += member.failureDomain == failureDomain ? 1 : 0;
    const std::size_t relayCount = std::max(limits.relaysAsked, (membersInDomain + limits.daemonsForEachRelay - 1) / limits.daemonsForEachRelay);
    for (const std::string& name : all) {
        if (fleet.members.at(name).failureDomain == failureDomain)
            inDomain.push_back(name);
    }
    std::vector<std::string>& selected = inDomain.empty() ? all : inDomain;
    if (selected.size() > relayCount)
        selected.resize(relayCount);
    return selected;
}

// A relay that this daemon follows.
struct StateFeed::Followed {
    Followed(asio::io_context& io, std::string memberName, const std::string& address)
        : name(std::move(memberName))
        , client(io, address)
        , pause(io)
    {
    }

    std::string name;
    HttpClient client;
    Timer pause;
    bool dropped { false };
};

StateFeed::StateFeed(asio::io_context& ioContext, std::string_view address, std::string ownDomain, Fleet& knownFleet, telemetry::EventLog& eventLog, FeedPorts feedPorts)
    : io(ioContext)
    , failureDomain(std::move(ownDomain))
    , fleet(knownFleet)
    , log(eventLog)
    , ports(std::move(feedPorts))
    , heldTimer(ioContext)
    , reviewTimer(ioContext)
    , lastContact(Clock::now() - this->limits.contactLimit)
    , directUntil(lastContact)
{
    this->server = std::make_unique<CallerServer>(this->io, address, maxPeerConnections,
        CallerServerHandlers { [] { return CallerLimits {}; }, [this](const std::shared_ptr<CallerConnection>& connection) { this->takeQuestion(connection); } });
}

// A request in progress and its relay refer to each other; stop() cancels the requests, so that both are freed.
StateFeed::~StateFeed()
{
    this->stop();
}

Duration StateFeed::contactAge() const
{
    return Clock::now() - this->lastContact;
}

void StateFeed::takeWhole(StateKind kind, std::uint64_t revision, std::span<const StateObject> objects)
{
    this->applied(kind, proxy::takeWhole(this->caches.at(static_cast<std::size_t>(kind)), revision, objects), Duration::zero());
}

void StateFeed::takeChanges(StateKind kind, std::uint64_t revision, std::span<const StateChange> changes)
{
    this->applied(kind, proxy::takeChanges(this->caches.at(static_cast<std::size_t>(kind)), revision, changes), Duration::zero());
}

void StateFeed::applied(StateKind kind, const std::vector<StateChange>& changes, Duration storeConnectedFor)
{
    if (changes.empty())
        return;
    this->ports.apply(kind, changes, storeConnectedFor);
    this->answerHeld(false);
}

void StateFeed::storeAnswered()
{
    this->lastContact = Clock::now();
}

bool StateFeed::servedByRelays() const
{
    return !this->isRelay && this->lastRelayAnswer && Clock::now() - *this->lastRelayAnswer < this->limits.hold + this->limits.answerSlack;
}

void StateFeed::takeQuestion(const std::shared_ptr<CallerConnection>& connection)
{
    const std::string& target = connection->request().target;
    if (target.rfind(statePath, 0) != 0) {
        HttpMessage unknown;
        unknown.status = 404;
        connection->respond(unknown);
        return;
    }
    Held request;
    request.connection = connection;
    bool hasChanges = false;
    for (std::size_t index = 0; index < kindNames.size(); ++index) {
        request.seen.at(index) = queryParameter(target, kindNames.at(index));
        hasChanges = hasChanges || hasNews(this->caches.at(index), request.seen.at(index));
    }
    if (hasChanges || this->stopped) {
        this->answer(request);
        return;
    }
    request.due = Clock::now() + this->limits.hold;
    this->held.push_back(std::move(request));
    this->planHeld();
}

void StateFeed::answer(Held& request)
{
    wire::StateAnswer answer;
    answer.set_contact_age(static_cast<std::uint32_t>(std::min<std::int64_t>(std::chrono::duration_cast<milliseconds>(this->contactAge()).count(), 3'600'000)));
    answer.set_in_touch_for(static_cast<std::uint32_t>(std::min<std::int64_t>(std::chrono::duration_cast<milliseconds>(this->ports.inTouchFor()).count(), 3'600'000)));
    for (std::size_t index = 0; index < kindNames.size(); ++index) {
        if (hasNews(this->caches.at(index), request.seen.at(index)))
            writeDelta(this->caches.at(index), allStateKinds.at(index), request.seen.at(index), answer);
    }
    HttpMessage message;
    message.status = 200;
    message.body = answer.SerializeAsString();
    request.connection->respond(message);
}

void StateFeed::answerHeld(bool dueOnly)
{
    const TimePoint now = Clock::now();
    for (auto request = this->held.begin(); request != this->held.end();) {
        bool ready = request->due <= now;
        for (std::size_t index = 0; !ready && !dueOnly && index < kindNames.size(); ++index)
            ready = hasNews(this->caches.at(index), request->seen.at(index));
        if (!ready) {
            ++request;
            continue;
        }
        this->answer(*request);
        request = this->held.erase(request);
    }
}

void StateFeed::planHeld()
{
    if (this->held.empty() || this->heldTimer.expiry() > Clock::now())
        return;
    this->heldTimer.expires_at(this->held.front().due);
    this->heldTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->answerHeld(true);
        this->planHeld();
    });
}

void StateFeed::review()
{
    if (this->stopped)
        return;
    const std::vector<std::string> relays = relaysOf(this->fleet, this->failureDomain, this->limits);
    const TimePoint now = Clock::now();
    this->isRelay = std::find(relays.begin(), relays.end(), this->fleet.self) != relays.end();
    if (this->contactAge() > this->limits.contactLimit)
        this->directUntil = now + this->limits.leastDirect;
    const bool watch = this->isRelay || now < this->directUntil;
    // Each follower orders the relays by its own name, so that the followers spread evenly over them.
    std::vector<std::string> toFollow;
    if (!this->isRelay) {
        for (const std::size_t index : rendezvousOrder(this->fleet.self, relays))
            toFollow.push_back(relays[index]);
        if (toFollow.size() > this->limits.relaysAsked)
            toFollow.resize(this->limits.relaysAsked);
    }
    std::erase_if(this->followed, [&toFollow](const std::shared_ptr<Followed>& relay) {
        relay->dropped = std::find(toFollow.begin(), toFollow.end(), relay->name) == toFollow.end();
        if (relay->dropped) {
            relay->pause.cancel();
            relay->client.abandonAll("dropped");
        }
        return relay->dropped;
    });
    for (const std::string& name : toFollow) {
        if (std::any_of(this->followed.begin(), this->followed.end(), [&name](const auto& relay) { return relay->name == name; }))
            continue;
        auto relay = std::make_shared<Followed>(this->io, name, this->fleet.members.at(name).address);
        this->followed.push_back(relay);
        this->follow(relay);
    }
    if (watch != this->direct) {
        this->direct = watch;
        this->log.write(Weight::Process, "feed", watch ? "watching-store" : "following-relays",
            EventFields().flag("relay", this->isRelay).number("relays", static_cast<std::int64_t>(relays.size())).milliseconds("contactAgeMs", this->contactAge()));
        this->ports.watchStore(watch);
    }
    this->planReview();
}

void StateFeed::planReview()
{
    // A relay's role depends on the members only, and a change of these causes a review.
    if (this->isRelay)
        return;
    const TimePoint due = std::max(this->direct ? this->directUntil : this->lastContact + this->limits.contactLimit, Clock::now()) + milliseconds(1);
    if (this->reviewTimer.expiry() == due)
        return;
    this->reviewTimer.expires_at(due);
    this->reviewTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->review();
    });
}

void StateFeed::follow(const std::shared_ptr<Followed>& relay)
{
    std::string path = std::string(statePath).append("?");
    for (std::size_t index = 0; index < kindNames.size(); ++index)
        path.append(kindNames.at(index)).append("=").append(std::to_string(this->caches.at(index).seen)).append("&");
    HttpCall call;
    call.path = std::move(path);
    call.timeout = this->limits.hold + this->limits.answerSlack;
    relay->client.call(call, [this, relay](const HttpReply& reply) { this->takeAnswer(relay, reply); });
}

void StateFeed::takeAnswer(const std::shared_ptr<Followed>& relay, const HttpReply& reply)
{
    if (relay->dropped || this->stopped)
        return;
    wire::StateAnswer answer;
    Duration delay = Duration::zero();
    if (reply.status == 200 && answer.ParseFromString(reply.body)) {
        this->lastRelayAnswer = Clock::now();
        this->lastContact = std::max(this->lastContact, *this->lastRelayAnswer - milliseconds(answer.contact_age()));
        for (const wire::KindState& state : answer.kinds()) {
            if (state.kind() >= kindNames.size())
                continue;
            const StateKind kind = allStateKinds.at(state.kind());
            std::vector<StateChange> changes;
            std::vector<StateObject> objects;
            for (const wire::StateObject& object : state.objects()) {
                if (state.whole())
                    objects.push_back({ object.name(), object.revision(), object.payload() });
                else
                    changes.push_back({ { object.name(), object.revision(), object.payload() }, object.removed() });
            }
            KindCache& cache = this->caches.at(state.kind());
            const bool isContactRecent = milliseconds(answer.contact_age()) < this->limits.contactLimit;
            const Duration storeConnectedFor = isContactRecent ? Duration(milliseconds(answer.in_touch_for())) : Duration::zero();
            this->applied(kind, state.whole() ? proxy::takeWhole(cache, state.revision(), objects) : proxy::takeChanges(cache, state.revision(), changes), storeConnectedFor);
            delay = this->limits.newsPause;
        }
    } else {
        delay = this->limits.failurePause;
        this->ports.silent(relay->name);
        this->review();
        if (relay->dropped)
            return;
    }
    if (delay == Duration::zero()) {
        this->follow(relay);
        return;
    }
    relay->pause.expires_after(delay);
    relay->pause.async_wait([this, relay](const asio::error_code& error) {
        if (!error && !relay->dropped)
            this->follow(relay);
    });
}

void StateFeed::stop()
{
    this->stopped = true;
    this->reviewTimer.cancel();
    for (const auto& relay : this->followed) {
        relay->dropped = true;
        relay->pause.cancel();
        relay->client.abandonAll("stopped");
    }
    this->followed.clear();
    for (Held& request : this->held)
        this->answer(request);
    this->held.clear();
    this->server->closeIdle();
}

}
