#include "flamingowick/proxy/StateFeed.h"

#include "flamingowick/model/StableHash.h"
#include "flamingowick/proxy/Compression.h"

#include <state.pb.h>

#include <algorithm>
#include <charconv>

namespace flamingowick::proxy {

namespace {

    using std::chrono::milliseconds;
    using telemetry::EventFields;
    using telemetry::EventScope;

    constexpr unsigned maxPeerConnections = 512;
    constexpr std::string_view statePath = "/state";
    // Revision of the configuration object that a follower has; states that it reads compressed kinds.
    constexpr std::string_view baseParameter = "base";
    constexpr std::array<std::string_view, allStateKinds.size()> kindNames { "configuration", "targets", "members", "quarantines" };

    // Returns the value of a parameter in the query of a request target: nothing when it is missing, 0 when it is not a
    // number.
    std::optional<std::uint64_t> queryParameter(std::string_view target, std::string_view name)
    {
        const std::string prefix = std::string(name).append("=");
        const std::size_t position = target.find(prefix);
        if (position == std::string_view::npos)
            return std::nullopt;
        std::uint64_t value = 0;
        std::from_chars(target.data() + position + prefix.size(), target.data() + target.size(), value);
        return value;
    }

    // Kinds of this size and more are compressed.
    constexpr std::size_t minCompressedBytes = 4U << 10U;
    // Most bytes of a kind once it is restored.
    constexpr std::size_t maxKindBytes = 16U << 20U;
    // Configurations that are kept as bases. A follower that is further behind, which is rare, gets one compressed by itself.
    constexpr std::size_t maxRecentConfigurations = 3;

    wire::KindState deltaOf(const KindCache& cache, StateKind kind, std::uint64_t seenRevision)
    {
        const StateDelta delta = changesSince(cache, seenRevision);
        wire::KindState state;
        state.set_kind(static_cast<std::uint32_t>(kind));
        state.set_revision(delta.revision);
        state.set_whole(delta.isSnapshot);
        for (const StateChange& change : delta.changes) {
            wire::StateObject& object = *state.add_objects();
            object.set_name(change.object.name);
            object.set_revision(change.object.revision);
            object.set_payload(change.object.payload);
            object.set_removed(change.removed);
        }
        return state;
    }

}

// A relay that this daemon follows.
struct StateFeed::FollowedRelay {
    FollowedRelay(asio::io_context& io, std::string memberName, const std::string& address)
        : name(std::move(memberName))
        , client(io, address)
        , pollTimer(io)
    {
    }

    std::string name;
    HttpClient client;
    Timer pollTimer;
    TimePoint polledAt;
    // Set when a compressed kind could not be read: the next poll asks for none.
    bool readsPlainOnly { false };
    bool dropped { false };
};

StateFeed::StateFeed(asio::io_context& ioContext, std::string_view address, std::string ownDomain, Fleet& knownFleet, telemetry::EventLog& eventLog, telemetry::Metrics& counters, FeedCallbacks feedCallbacks)
    : io(ioContext)
    , failureDomain(std::move(ownDomain))
    , fleet(knownFleet)
    , log(eventLog)
    , metrics(counters)
    , callbacks(std::move(feedCallbacks))
    , heldRequestTimer(ioContext)
    , reviewTimer(ioContext)
    , lastStoreContactAt(Clock::now() - this->limits.maxContactAge)
    , watchStoreUntil(lastStoreContactAt)
{
    this->server = std::make_unique<CallerServer>(this->io, address, maxPeerConnections,
        CallerServerHandlers { [] { return internalRequestLimits; }, [this](const std::shared_ptr<CallerExchange>& connection) { this->handleRequest(connection); } });
}

// A request in progress and its relay refer to each other; stop() cancels the requests, so that both are freed.
StateFeed::~StateFeed()
{
    this->stop();
}

Duration StateFeed::storeContactAge() const
{
    return Clock::now() - this->lastStoreContactAt;
}

void StateFeed::applySnapshot(StateKind kind, std::uint64_t revision, std::span<const StateObject> objects)
{
    this->publishChanges(kind, proxy::applySnapshot(this->caches.at(static_cast<std::size_t>(kind)), revision, objects), { "store list", Duration::zero() });
}

void StateFeed::applyChanges(StateKind kind, std::uint64_t revision, std::span<const StateChange> changes)
{
    this->publishChanges(kind, proxy::applyChanges(this->caches.at(static_cast<std::size_t>(kind)), revision, changes), { "store watch", Duration::zero() });
}

void StateFeed::publishChanges(StateKind kind, const std::vector<StateChange>& changes, const ChangeSource& source)
{
    if (changes.empty())
        return;
    this->compressedDeltas.clear();
    if (kind == StateKind::Configuration) {
        this->rememberConfigurations(changes);
        this->log.write(EventScope::Process, "feed", "configuration-received",
            EventFields().text("source", source.name).number("revision", static_cast<std::int64_t>(changes.back().object.revision)).milliseconds("contactAgeMs", this->storeContactAge()));
    }
    this->callbacks.onChanges(kind, changes, source.storeConnectedFor);
    this->respondToHeldRequests(false);
}

void StateFeed::recordStoreContact()
{
    this->lastStoreContactAt = Clock::now();
}

bool StateFeed::isServedByRelays() const
{
    return !this->isRelay && this->lastRelayResponseAt && Clock::now() - *this->lastRelayResponseAt < this->limits.longPollTimeout + this->limits.responseMargin;
}

void StateFeed::handleRequest(const std::shared_ptr<CallerExchange>& connection)
{
    const std::string& target = connection->request().target;
    if (target.rfind(statePath, 0) != 0) {
        if (this->callbacks.onOtherRequest && this->callbacks.onOtherRequest(connection))
            return;
        HttpMessage unknown;
        unknown.status = 404;
        connection->respond(unknown);
        return;
    }
    HeldRequest request;
    request.connection = connection;
    for (std::size_t index = 0; index < kindNames.size(); ++index)
        request.seenRevisions.at(index) = queryParameter(target, kindNames.at(index));
    request.baseRevision = queryParameter(target, baseParameter);
    if (this->hasChangesFor(request) || this->stopped) {
        this->sendResponse(request);
        return;
    }
    request.dueAt = Clock::now() + this->limits.longPollTimeout;
    this->heldRequests.push_back(std::move(request));
    this->scheduleHeldRequests();
}

bool StateFeed::hasChangesFor(const HeldRequest& request) const
{
    for (std::size_t index = 0; index < kindNames.size(); ++index) {
        const std::optional<std::uint64_t> seenRevision = request.seenRevisions.at(index);
        if (seenRevision && hasChangesSince(this->caches.at(index), *seenRevision))
            return true;
    }
    return false;
}

void StateFeed::sendResponse(HeldRequest& request)
{
    wire::StateAnswer content;
    content.set_contact_age(static_cast<std::uint32_t>(std::min<std::int64_t>(std::chrono::duration_cast<milliseconds>(this->storeContactAge()).count(), 3'600'000)));
    content.set_in_touch_for(static_cast<std::uint32_t>(std::min<std::int64_t>(std::chrono::duration_cast<milliseconds>(this->callbacks.storeConnectedFor()).count(), 3'600'000)));
    for (std::size_t index = 0; index < kindNames.size(); ++index) {
        const std::optional<std::uint64_t> seenRevision = request.seenRevisions.at(index);
        if (seenRevision && hasChangesSince(this->caches.at(index), *seenRevision))
            this->writeKind(allStateKinds.at(index), *seenRevision, request, content);
    }
    HttpMessage message;
    message.status = 200;
    message.body = content.SerializeAsString();
    this->metrics.increment("flamingowick_feed_sent_bytes_total", {}, message.body.size());
    request.connection->respond(message);
}

void StateFeed::writeKind(StateKind kind, std::uint64_t seenRevision, const HeldRequest& request, wire::StateAnswer& content)
{
    const KindCache& cache = this->caches.at(static_cast<std::size_t>(kind));
    const DeltaKey key { kind, seenRevision, request.baseRevision.value_or(0) };
    auto compressed = request.baseRevision ? this->compressedDeltas.find(key) : this->compressedDeltas.end();
    const StateObject* base = kind == StateKind::Configuration && request.baseRevision ? this->configurationAt(*request.baseRevision) : nullptr;
    if (compressed == this->compressedDeltas.end()) {
        wire::KindState state = deltaOf(cache, kind, seenRevision);
        if (!request.baseRevision || state.ByteSizeLong() < minCompressedBytes) {
            *content.add_kinds() = std::move(state);
            return;
        }
        std::optional<std::string> frame = compress(state.SerializeAsString(), base ? std::string_view(base->payload) : std::string_view());
        if (!frame) {
            this->log.write(EventScope::Process, "feed", "not-compressed", EventFields().text("kind", kindNames.at(static_cast<std::size_t>(kind))).number("bytes", static_cast<std::int64_t>(state.ByteSizeLong())));
            *content.add_kinds() = std::move(state);
            return;
        }
        compressed = this->compressedDeltas.emplace(key, std::move(*frame)).first;
    }
    wire::CompressedKind& entry = *content.add_compressed_kinds();
    entry.set_kind(static_cast<std::uint32_t>(kind));
    entry.set_revision(cache.seenRevision);
    entry.set_content(compressed->second);
    entry.set_base_revision(base ? base->revision : 0);
}

void StateFeed::rememberConfigurations(const std::vector<StateChange>& changes)
{
    for (const StateChange& change : changes) {
        if (!change.removed)
            this->recentConfigurations.push_back(change.object);
    }
    while (this->recentConfigurations.size() > maxRecentConfigurations)
        this->recentConfigurations.pop_front();
}

const StateObject* StateFeed::configurationAt(std::uint64_t revision) const
{
    const auto found = std::find_if(this->recentConfigurations.begin(), this->recentConfigurations.end(), [revision](const StateObject& object) { return object.revision == revision; });
    return found == this->recentConfigurations.end() ? nullptr : &*found;
}

std::uint64_t StateFeed::configurationRevision() const
{
    return this->recentConfigurations.empty() ? 0 : this->recentConfigurations.back().revision;
}

void StateFeed::respondToHeldRequests(bool dueOnly)
{
    const TimePoint now = Clock::now();
    for (auto request = this->heldRequests.begin(); request != this->heldRequests.end();) {
        if (request->dueAt > now && (dueOnly || !this->hasChangesFor(*request))) {
            ++request;
            continue;
        }
        this->sendResponse(*request);
        request = this->heldRequests.erase(request);
    }
}

void StateFeed::scheduleHeldRequests()
{
    if (this->heldRequests.empty() || this->heldRequestTimer.expiry() > Clock::now())
        return;
    this->heldRequestTimer.expires_at(this->heldRequests.front().dueAt);
    this->heldRequestTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->respondToHeldRequests(true);
        this->scheduleHeldRequests();
    });
}

void StateFeed::reviewRoles()
{
    if (this->stopped)
        return;
    const std::vector<std::string> relays = relaysForDomain(this->fleet, this->failureDomain, this->limits.relays);
    const TimePoint now = Clock::now();
    this->isRelay = std::find(relays.begin(), relays.end(), this->fleet.self) != relays.end() || isRelayOfEarlierRelease(this->fleet, this->failureDomain, this->limits.relays);
    if (this->storeContactAge() > this->limits.maxContactAge)
        this->watchStoreUntil = now + this->limits.minDirectWatchTime;
    const bool watch = this->isRelay || now < this->watchStoreUntil;
    const std::vector<std::string> toFollow = this->relaysToFollow(relays);
    std::erase_if(this->followedRelays, [&toFollow](const std::shared_ptr<FollowedRelay>& relay) {
        relay->dropped = std::find(toFollow.begin(), toFollow.end(), relay->name) == toFollow.end();
        if (relay->dropped) {
            relay->pollTimer.cancel();
            relay->client.cancelAll("dropped");
        }
        return relay->dropped;
    });
    for (const std::string& name : toFollow) {
        if (std::any_of(this->followedRelays.begin(), this->followedRelays.end(), [&name](const auto& relay) { return relay->name == name; }))
            continue;
        auto relay = std::make_shared<FollowedRelay>(this->io, name, this->fleet.members.at(name).address);
        this->followedRelays.push_back(relay);
        if (this->followedRelays.size() == 1 || this->caches.at(static_cast<std::size_t>(StateKind::Targets)).hasSnapshot)
            this->pollRelay(relay);
        else
            this->pollRelayAfter(relay, this->limits.firstStateDelay);
    }
    if (watch != this->watchesStore) {
        this->watchesStore = watch;
        this->log.write(EventScope::Process, "feed", watch ? "watching-store" : "following-relays",
            EventFields().flag("relay", this->isRelay).number("relays", static_cast<std::int64_t>(relays.size())).milliseconds("contactAgeMs", this->storeContactAge()));
        this->callbacks.setStoreWatch(watch);
    }
    this->scheduleRoleReview();
}

std::vector<std::string> StateFeed::relaysToFollow(const std::vector<std::string>& relaysOfDomain) const
{
    std::vector<std::string> toFollow;
    if (this->isRelay) {
        if (std::optional<std::string> other = relayForRelay(this->fleet, this->failureDomain, this->limits.relays))
            toFollow.push_back(std::move(*other));
        return toFollow;
    }
    // Each follower orders the relays by its own name, so that the followers spread evenly over them.
    for (const std::size_t index : rendezvousOrder(this->fleet.self, relaysOfDomain))
        toFollow.push_back(relaysOfDomain[index]);
    if (toFollow.size() > this->limits.relays.followed)
        toFollow.resize(this->limits.relays.followed);
    return toFollow;
}

void StateFeed::reviewDirectWatch()
{
    if (this->storeContactAge() <= this->limits.maxContactAge)
        this->watchStoreUntil = std::min(this->watchStoreUntil, Clock::now());
    this->reviewRoles();
}

void StateFeed::scheduleRoleReview()
{
    // A relay's role depends on the members only, and a change of these causes a review.
    if (this->isRelay)
        return;
    const TimePoint due = std::max(this->watchesStore ? this->watchStoreUntil : this->lastStoreContactAt + this->limits.maxContactAge, Clock::now()) + milliseconds(1);
    if (this->reviewTimer.expiry() == due)
        return;
    this->reviewTimer.expires_at(due);
    this->reviewTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->reviewRoles();
    });
}

void StateFeed::pollRelay(const std::shared_ptr<FollowedRelay>& relay)
{
    std::string path = std::string(statePath).append("?");
    for (std::size_t index = 0; index < kindNames.size(); ++index)
        path.append(kindNames.at(index)).append("=").append(std::to_string(this->caches.at(index).seenRevision)).append("&");
    relay->polledAt = Clock::now();
    if (!relay->readsPlainOnly)
        path.append(baseParameter).append("=").append(std::to_string(this->configurationRevision())).append("&");
    HttpCall call;
    call.path = std::move(path);
    call.timeout = this->limits.longPollTimeout + this->limits.responseMargin;
    call.extension = this->limits.responseMargin;
    relay->client.call(call, [this, relay](const HttpResponse& response) { this->handleRelayResponse(relay, response); });
}

void StateFeed::handleRelayResponse(const std::shared_ptr<FollowedRelay>& relay, const HttpResponse& response)
{
    if (relay->dropped || this->stopped)
        return;
    wire::StateAnswer content;
    Duration delay = Duration::zero();
    if (response.status == 200 && content.ParseFromString(response.body)) {
        this->lastRelayResponseAt = Clock::now();
        this->metrics.increment("flamingowick_feed_received_bytes_total", {}, response.body.size());
        this->lastStoreContactAt = std::max(this->lastStoreContactAt, *this->lastRelayResponseAt - milliseconds(content.contact_age()));
        relay->readsPlainOnly = false;
        for (const wire::KindState& state : content.kinds())
            this->applyKind(state, content, relay->name);
        for (const wire::CompressedKind& state : content.compressed_kinds()) {
            if (!this->applyCompressedKind(state, content, relay->name))
                relay->readsPlainOnly = true;
        }
        if (content.kinds_size() + content.compressed_kinds_size() > 0)
            delay = this->limits.changeBatchDelay;
    } else {
        delay = this->limits.retryDelay;
        this->metrics.increment("flamingowick_feed_polls_failed_total");
        this->metrics.increment("flamingowick_feed_discarded_bytes_total", {}, response.bytesBeforeFailure);
        this->log.write(EventScope::Process, "feed", "poll-failed",
            EventFields().text("relay", relay->name).text("reason", response.reason).number("status", response.status).number("receivedBytes", static_cast<std::int64_t>(response.bytesBeforeFailure)).milliseconds("tookMs", Clock::now() - relay->polledAt));
        this->callbacks.onMemberSilent(relay->name);
        this->reviewRoles();
        if (relay->dropped)
            return;
    }
    if (delay == Duration::zero()) {
        this->pollRelay(relay);
        return;
    }
    this->pollRelayAfter(relay, delay);
}

void StateFeed::applyKind(const wire::KindState& state, const wire::StateAnswer& answer, const std::string& relay)
{
    if (state.kind() >= kindNames.size())
        return;
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
    const bool isContactRecent = milliseconds(answer.contact_age()) < this->limits.maxContactAge;
    const Duration storeConnectedFor = isContactRecent ? Duration(milliseconds(answer.in_touch_for())) : Duration::zero();
    this->publishChanges(kind, state.whole() ? proxy::applySnapshot(cache, state.revision(), objects) : proxy::applyChanges(cache, state.revision(), changes), { relay, storeConnectedFor });
}

bool StateFeed::applyCompressedKind(const wire::CompressedKind& compressed, const wire::StateAnswer& answer, const std::string& relay)
{
    const StateObject* base = this->configurationAt(compressed.base_revision());
    const bool hasBase = base != nullptr || compressed.base_revision() == 0;
    const std::optional<std::string> content = hasBase ? decompress(compressed.content(), base ? std::string_view(base->payload) : std::string_view(), maxKindBytes) : std::nullopt;
    wire::KindState state;
    if (content && state.ParseFromString(*content)) {
        this->applyKind(state, answer, relay);
        return true;
    }
    this->log.write(EventScope::Process, "feed", "state-unreadable",
        EventFields().text("relay", relay).number("kind", compressed.kind()).number("bytes", static_cast<std::int64_t>(compressed.content().size())).number("baseRevision", static_cast<std::int64_t>(compressed.base_revision())).flag("hasBase", hasBase));
    return false;
}

void StateFeed::pollRelayAfter(const std::shared_ptr<FollowedRelay>& relay, Duration delay)
{
    relay->pollTimer.expires_after(delay);
    relay->pollTimer.async_wait([this, relay](const asio::error_code& error) {
        if (!error && !relay->dropped)
            this->pollRelay(relay);
    });
}

void StateFeed::stop()
{
    this->stopped = true;
    this->reviewTimer.cancel();
    for (const auto& relay : this->followedRelays) {
        relay->dropped = true;
        relay->pollTimer.cancel();
        relay->client.cancelAll("stopped");
    }
    this->followedRelays.clear();
    for (HeldRequest& request : this->heldRequests)
        this->sendResponse(request);
    this->heldRequests.clear();
    this->server->closeIdle();
}

}
