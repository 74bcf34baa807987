#include "PlatformService.h"

#include "flamingowick/standins/detail/PlatformJson.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace flamingowick::standins {

using detail::HttpAnswer;
using detail::HttpRequest;
using detail::StoredObject;
using detail::StoreStatus;

namespace {

    constexpr std::string_view apiPrefix = "/apis/flamingowick.example/v1/";
    constexpr std::chrono::milliseconds tickInterval { 5 };
    constexpr std::size_t maxValueBytes = 1U << 20U;

    std::uint64_t parseNumber(std::string_view text, std::uint64_t otherwise)
    {
        std::uint64_t number = otherwise;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::string decodePercent(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            unsigned code = 0;
            const bool escaped = text[i] == '%' && i + 2 < text.size()
                && std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3;
            decoded.push_back(escaped ? static_cast<char>(code) : text[i]);
            if (escaped)
                i += 2;
        }
        return decoded;
    }

    HttpAnswer success(std::string body) { return { 200, {}, std::move(body) }; }

    HttpAnswer failure(unsigned code, std::string_view reason)
    {
        return { code, {}, detail::renderStatus(code, reason) };
    }

}

StandinPlatform::Service::Service(const PlatformStandinOptions& options)
    : server(this->context, options.address, options.port,
        [this](const ConnectionPointer& connection, HttpRequest request) { this->handle(connection, std::move(request)); })
    , appliedChanges(maxAppliedChanges)
    , baseUrl("http://" + options.address + ":" + std::to_string(this->server.port()))
    , store({ .maxHistory = options.maxHistory })
    , random(options.seed)
    , timer(this->context)
{
    this->tick();
    this->thread.start();
}

void StandinPlatform::Service::setFaults(const PlatformFaults& changed)
{
    this->faults = changed;
    if (!this->faults.outage)
        return;
    for (OpenWatch& watch : this->watches)
        watch.connection->drop();
}

void StandinPlatform::Service::handle(const ConnectionPointer& connection, HttpRequest request)
{
    if (request.path == "/control") {
        this->handleControl(connection, request);
        return;
    }
    ++this->counters.calls;
    const bool allowed = this->withinRate();
    if (this->isDeaf(detail::headerValue(request.headers, "X-Vm"), request.peer))
        return;
    if (this->faults.outage) {
        connection->drop();
        return;
    }
    if (!allowed) {
        ++this->counters.refused;
        HttpAnswer refusal = failure(429, "TooManyRequests");
        refusal.headers.push_back({ "Retry-After", "1" });
        connection->answer(refusal);
        return;
    }
    if (!request.path.starts_with(apiPrefix)) {
        connection->answer(failure(404, "NotFound"));
        return;
    }
    const std::string rest = request.path.substr(apiPrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name = slash == std::string::npos ? "" : decodePercent(std::string_view(rest).substr(slash + 1));
    this->handleApi(connection, { std::move(request), rest.substr(0, slash), name });
}

void StandinPlatform::Service::handleControl(const ConnectionPointer& connection, const HttpRequest& request)
{
    PlatformFaults changed = this->faults;
    if (request.method == "POST" && !detail::applyControl(request.body, changed)) {
        connection->answer(failure(400, "BadRequest"));
        return;
    }
    this->setFaults(changed);
    connection->answer(success(detail::renderCounters(this->counters)));
}

void StandinPlatform::Service::handleApi(const ConnectionPointer& connection, ApiCall call)
{
    if (!detail::knownPlural(call.plural)) {
        connection->answer(failure(404, "NotFound"));
        return;
    }
    if (call.request.method != "GET") {
        ++this->counters.writes;
        this->handleWrite(connection, std::move(call));
        return;
    }
    if (detail::queryValue(call.request.query, "watch") == "1") {
        this->beginWatch(connection, call);
        return;
    }
    ++this->counters.reads;
    this->answerLater(connection, this->read(call));
}

void StandinPlatform::Service::handleWrite(const ConnectionPointer& connection, ApiCall call)
{
    if (this->chance(this->faults.dropCalls)) {
        connection->drop();
        return;
    }
    const bool loseAnswer = this->chance(this->faults.loseAnswers);
    const bool applyLate = this->faults.slow > Duration::zero() && this->chance(0.5);
    if (!applyLate) {
        this->finishWrite(connection, call, loseAnswer);
        return;
    }
    this->after(this->faults.slow, [this, connection, call = std::move(call), loseAnswer] {
        HttpAnswer answer = this->write(call);
        if (loseAnswer)
            connection->drop();
        else
            connection->answer(answer);
    });
}

void StandinPlatform::Service::finishWrite(const ConnectionPointer& connection, const ApiCall& call, bool loseAnswer)
{
    HttpAnswer answer = this->write(call);
    if (loseAnswer)
        connection->drop();
    else
        this->answerLater(connection, std::move(answer));
}

void StandinPlatform::Service::beginWatch(const ConnectionPointer& connection, const ApiCall& call)
{
    constexpr std::uint64_t defaultTimeoutSeconds = 60;
    ++this->counters.watches[call.plural];
    const std::uint64_t version = parseNumber(detail::queryValue(call.request.query, "resourceVersion"), 0);
    const std::chrono::seconds timeout(parseNumber(detail::queryValue(call.request.query, "timeoutSeconds"), defaultTimeoutSeconds));
    this->store.advance(call.plural, Clock::now(), this->lagOf(call.plural));
    std::vector<const detail::StoreEvent*> events;
    if (!this->store.eventsAfter(call.plural, version, events)) {
        connection->answer(failure(410, "Expired"));
        return;
    }
    connection->beginStream();
    const std::string vm(detail::headerValue(call.request.headers, "X-Vm"));
    this->watches.push_back({ connection, call.plural, vm, call.request.peer, version, Clock::now() + timeout });
    ++this->counters.openWatches[call.plural];
    this->pumpWatches();
}

bool StandinPlatform::Service::withinRate()
{
    const auto second = static_cast<std::uint64_t>(std::chrono::floor<std::chrono::seconds>(Clock::now()).time_since_epoch().count());
    if (second != this->presentSecond)
        this->callsInSecond = 0;
    this->presentSecond = second;
    ++this->callsInSecond;
    this->counters.peakCallsPerSecond = std::max(this->counters.peakCallsPerSecond, this->callsInSecond);
    return this->faults.maxCallsPerSecond == 0 || this->callsInSecond <= this->faults.maxCallsPerSecond;
}

bool StandinPlatform::Service::isDeaf(std::string_view vm, std::string_view peer) const
{
    return std::any_of(this->faults.deaf.begin(), this->faults.deaf.end(),
        [vm, peer](const std::string& name) { return name == vm || name == peer; });
}

bool StandinPlatform::Service::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

Duration StandinPlatform::Service::lagOf(std::string_view plural) const
{
    const bool lagging = plural == "targetlists" || plural == "vmlists";
    return lagging ? this->faults.listLag : Duration::zero();
}

HttpAnswer StandinPlatform::Service::read(const ApiCall& call)
{
    this->store.advance(call.plural, Clock::now(), this->lagOf(call.plural));
    if (call.name.empty())
        return success(detail::renderList(call.plural, this->store.list(call.plural), this->store.readableVersion(call.plural)));
    const StoredObject* object = this->store.find(call.plural, call.name);
    if (object == nullptr)
        return failure(404, "NotFound");
    return success(detail::renderObject(call.plural, *object));
}

HttpAnswer StandinPlatform::Service::write(const ApiCall& call)
{
    const TimePoint now = Clock::now();
    if (call.request.method == "DELETE") {
        const std::uint64_t version = detail::parsePrecondition(call.request.body);
        return this->writeAnswer(call.plural, this->store.remove(call.plural, call.name, version, now), 200);
    }
    std::optional<StoredObject> object = detail::parseObject(call.request.body);
    const bool named = call.request.method == "POST" ? call.name.empty() : object && object->name == call.name;
    if (!object || object->name.empty() || !named)
        return failure(400, "BadRequest");
    if (object->spec.size() > maxValueBytes)
        return failure(413, "RequestEntityTooLarge");
    if (call.request.method == "POST")
        return this->writeAnswer(call.plural, this->store.create(call.plural, std::move(*object), now), 201);
    if (call.request.method != "PUT")
        return failure(405, "MethodNotAllowed");
    return this->writeAnswer(call.plural, this->store.replace(call.plural, std::move(*object), now), 200);
}

HttpAnswer StandinPlatform::Service::writeAnswer(std::string_view plural, const detail::StoreWrite& write, unsigned doneStatus)
{
    switch (write.status) {
    case StoreStatus::NotFound:
        return failure(404, "NotFound");
    case StoreStatus::Conflict:
        return failure(409, doneStatus == 201 ? "AlreadyExists" : "Conflict");
    case StoreStatus::Full:
        return failure(507, "InsufficientStorage");
    case StoreStatus::Done:
        break;
    }
    this->appliedChanges.push_back(detail::changeIdOf(write.object));
    this->store.advance(plural, Clock::now(), this->lagOf(plural));
    this->pumpWatches();
    return { doneStatus, {}, detail::renderObject(plural, write.object) };
}

void StandinPlatform::Service::answerLater(const ConnectionPointer& connection, HttpAnswer answer)
{
    if (this->faults.slow <= Duration::zero()) {
        connection->answer(answer);
        return;
    }
    this->after(this->faults.slow, [connection, answer = std::move(answer)] { connection->answer(answer); });
}

void StandinPlatform::Service::after(Duration wait, std::function<void()> action)
{
    const auto delay = std::make_shared<asio::steady_timer>(this->context, wait);
    delay->async_wait([delay, action = std::move(action)](const asio::error_code& error) {
        if (!error)
            action();
    });
}

void StandinPlatform::Service::tick()
{
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->pumpWatches();
        this->tick();
    });
}

void StandinPlatform::Service::pumpWatches()
{
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        if (this->pump(*watch)) {
            ++watch;
            continue;
        }
        --this->counters.openWatches[watch->plural];
        watch = this->watches.erase(watch);
    }
}

bool StandinPlatform::Service::pump(OpenWatch& watch)
{
    if (!watch.connection->open())
        return false;
    if (this->isDeaf(watch.vm, watch.peer))
        return true;
    const TimePoint now = Clock::now();
    this->store.advance(watch.plural, now, this->lagOf(watch.plural));
    std::vector<const detail::StoreEvent*> events;
    if (!this->store.eventsAfter(watch.plural, watch.version, events)) {
        watch.connection->sendChunk(R"({"type":"ERROR","object":)" + detail::renderStatus(410, "Expired") + "}\n");
        watch.connection->endStream();
        return false;
    }
    std::string lines;
    for (const detail::StoreEvent* event : events)
        lines += detail::renderEvent(watch.plural, *event);
    if (!events.empty())
        watch.version = events.back()->object.version;
    const bool over = now >= watch.until;
    if (over)
        lines += detail::renderBookmark(watch.plural, this->store.readableVersion(watch.plural));
    watch.connection->sendChunk(lines);
    if (over)
        watch.connection->endStream();
    return !over;
}

}
