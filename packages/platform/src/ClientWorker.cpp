#include "ClientWorker.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/platform/detail/Wire.h"

#include <algorithm>

namespace flamingowick::platform {

namespace {

    constexpr int badSettings = 200;
    constexpr std::chrono::seconds maxIdleTime { 1 };

    void checkSettings(const ClientSettings& settings)
    {
        if (!settings.url.starts_with("http://") || settings.url.ends_with('/'))
            throw PlatformError(badSettings, "the platform's address must read http://ip:port");
        if (settings.vm.find_first_of("\r\n") != std::string::npos)
            throw PlatformError(badSettings, "the VM's name has a line break");
        if (settings.maxCallsPerSecond == 0 || settings.maxOutstanding == 0 || settings.maxWaiting == 0)
            throw PlatformError(badSettings, "a limit on calls is zero");
        if (settings.watchTimeout < std::chrono::seconds(1) || settings.minBackoff <= Duration::zero())
            throw PlatformError(badSettings, "a wait of the watches is too short");
    }

    const ClientSettings& checked(const ClientSettings& settings)
    {
        checkSettings(settings);
        return settings;
    }

}

PlatformClient::Worker::Worker(const ClientSettings& settings, ResultHandler handler, ClientPolicy policy)
    : settings(checked(settings))
    , handler(std::move(handler))
    , policy(policy)
    , calls(settings.maxWaiting, [this] { this->transfers.wake(); })
    , pacer(settings.maxCallsPerSecond)
    , random(settings.seed)
{
    this->thread = std::thread([this] { this->run(); });
}

PlatformClient::Worker::~Worker() { this->stop(); }

bool PlatformClient::Worker::submit(Call call)
{
    const std::scoped_lock lock(this->submitMutex);
    return this->accepting && this->calls.tryPush(std::move(call));
}

void PlatformClient::Worker::stop()
{
    {
        const std::scoped_lock lock(this->submitMutex);
        this->accepting = false;
    }
    this->stopping = true;
    this->transfers.wake();
    if (this->thread.joinable())
        this->thread.join();
}

void PlatformClient::Worker::run()
{
    while (!this->stopping) {
        this->takeCalls();
        const TimePoint now = Clock::now();
        this->giveUpLateCalls(now);
        this->startWatches(now);
        this->startCalls(now);
        this->endTransfers(Clock::now());
        this->deliver();
        this->transfers.wait(this->idleTime(Clock::now()));
    }
    this->shutDown();
}

void PlatformClient::Worker::takeCalls()
{
    Call call;
    while (this->waiting.size() < this->settings.maxWaiting && this->calls.tryPop(call))
        std::visit([this](const auto& typed) { this->take(typed); }, call);
}

void PlatformClient::Worker::take(const Watch& watch)
{
    this->watches.try_emplace(watch.id, watch, this->settings.maxEventBytes);
}

void PlatformClient::Worker::take(const StopWatch& stop)
{
    const auto found = this->watches.find(stop.id);
    if (found == this->watches.end())
        return;
    if (found->second.transfer) {
        this->transfers.cancel(*found->second.transfer);
        this->watchTransfers.erase(*found->second.transfer);
    }
    this->watches.erase(found);
}

void PlatformClient::Worker::admit(Preparation preparation)
{
    if (auto* rejected = std::get_if<Rejected>(&preparation)) {
        this->results.emplace_back(std::move(*rejected));
        return;
    }
    auto& call = std::get<PreparedCall>(preparation);
    call.startBy = Clock::now() + this->settings.callTimeout;
    this->waiting.push_back(std::move(call));
}

void PlatformClient::Worker::giveUpLateCalls(TimePoint now)
{
    while (!this->waiting.empty() && this->waiting.front().startBy <= now) {
        this->results.emplace_back(Unavailable { this->waiting.front().id, "the call could not start in time" });
        this->waiting.pop_front();
    }
}

void PlatformClient::Worker::startWatches(TimePoint now)
{
    for (auto& [id, course] : this->watches) {
        if (course.transfer || course.notBefore > now)
            continue;
        if (nextStart(this->pacer, now) > now)
            return;
        recordStart(this->pacer, now);
        try {
            startRequest(course, this->transfers.start(this->requestFor(course)), now);
            this->watchTransfers.emplace(*course.transfer, id);
        } catch (const PlatformError& error) {
            const Exchange exchange { .error = error.what() };
            takeEnd(course, exchange, Verdict::Unavailable, {}, now, { this->settings.minBackoff, this->settings.maxBackoff }, this->random, this->results);
        }
    }
}

void PlatformClient::Worker::startCalls(TimePoint now)
{
    while (!this->waiting.empty() && this->active.size() < this->settings.maxOutstanding) {
        if (nextStart(this->pacer, now) > now)
            return;
        PreparedCall call = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->startCall(std::move(call), now);
    }
}

void PlatformClient::Worker::startCall(PreparedCall call, TimePoint now)
{
    recordStart(this->pacer, now);
    try {
        const TransferId transfer = this->transfers.start(this->requestFor(call));
        this->active.emplace(transfer, std::move(call));
    } catch (const PlatformError& error) {
        this->results.emplace_back(Unavailable { call.id, error.what() });
    }
}

TransferRequest PlatformClient::Worker::requestFor(const PreparedCall& call) const
{
    TransferRequest request;
    request.method = call.method;
    request.url = this->settings.url + call.path;
    request.body = call.body;
    request.vm = this->settings.vm;
    request.write = isWrite(call);
    request.connectTimeout = this->settings.connectTimeout;
    request.timeout = this->settings.callTimeout;
    request.maxAnswerBytes = this->settings.maxAnswerBytes;
    return request;
}

TransferRequest PlatformClient::Worker::requestFor(WatchCourse& course)
{
    const auto timeout = std::chrono::ceil<std::chrono::seconds>(this->settings.watchTimeout);
    TransferRequest request;
    request.method = "GET";
    request.vm = this->settings.vm;
    request.connectTimeout = this->settings.connectTimeout;
    request.timeout = this->settings.callTimeout;
    request.maxAnswerBytes = this->settings.maxAnswerBytes;
    if (!course.following) {
        request.url = this->settings.url + detail::pathOf(course.plural);
        return request;
    }
    request.url = this->settings.url + detail::watchPathOf(course.plural, course.version, timeout);
    request.timeout += timeout;
    // Courses are map entries and outlive their transfers, which take(StopWatch) cancels first.
    request.onBegin = [this, &course] { takeBegin(course, this->results); };
    request.onBytes = [this, &course](std::string_view bytes) { return takeBytes(course, bytes, this->results); };
    return request;
}

void PlatformClient::Worker::endTransfers(TimePoint now)
{
    std::vector<TransferEnd> ends;
    this->transfers.perform(ends);
    for (const TransferEnd& end : ends) {
        if (const auto call = this->active.find(end.id); call != this->active.end()) {
            this->endCall(call->second, end.exchange, end.body);
            this->active.erase(call);
            continue;
        }
        const auto watched = this->watchTransfers.find(end.id);
        WatchCourse& course = this->watches.at(watched->second);
        this->watchTransfers.erase(watched);
        takeEnd(course, end.exchange, this->policy.judge(end.exchange), end.body, now, { this->settings.minBackoff, this->settings.maxBackoff }, this->random, this->results);
    }
}

void PlatformClient::Worker::endCall(const PreparedCall& call, const Exchange& exchange, std::string_view body)
{
    this->results.push_back(conclude(call, exchange, this->policy.judge(exchange), body));
}

void PlatformClient::Worker::deliver()
{
    std::vector<Result> delivered;
    delivered.swap(this->results);
    for (Result& result : delivered)
        this->handler(std::move(result));
}

Duration PlatformClient::Worker::idleTime(TimePoint now) const
{
    TimePoint next = now + maxIdleTime;
    const TimePoint paced = nextStart(this->pacer, now);
    for (const auto& entry : this->watches) {
        if (!entry.second.transfer)
            next = std::min(next, std::max(entry.second.notBefore, paced));
    }
    if (!this->waiting.empty()) {
        next = std::min(next, this->waiting.front().startBy);
        if (this->active.size() < this->settings.maxOutstanding)
            next = std::min(next, paced);
    }
    return std::max(next - now, Duration::zero());
}

void PlatformClient::Worker::shutDown()
{
    for (const auto& [transfer, call] : this->active) {
        Exchange exchange = this->transfers.cancel(transfer);
        exchange.error = "the client stops";
        this->endCall(call, exchange, {});
    }
    this->active.clear();
    for (const auto& [transfer, watch] : this->watchTransfers)
        this->transfers.cancel(transfer);
    this->watchTransfers.clear();
    this->watches.clear();
    do {
        this->takeCalls();
        for (const PreparedCall& call : this->waiting)
            this->results.emplace_back(Unavailable { call.id, "the client stops" });
        this->waiting.clear();
    } while (this->calls.size() > 0);
    this->deliver();
}

}
