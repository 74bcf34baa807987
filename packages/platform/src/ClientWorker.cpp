#include "ClientWorker.h"

#include "flamingowick/model/Error.h"
#include "flamingowick/platform/detail/Wire.h"

#include <algorithm>

namespace flamingowick::platform {

namespace {

    constexpr int invalidSettingsError = 200;
    constexpr std::chrono::seconds maxPollTimeout { 1 };

    void validateSettings(const ClientSettings& settings)
    {
        if (!settings.url.starts_with("http://") || settings.url.ends_with('/'))
            throw PlatformError(invalidSettingsError, "the object store's URL must have the form http://ip:port without a trailing slash");
        if (settings.vm.find_first_of("\r\n") != std::string::npos)
            throw PlatformError(invalidSettingsError, "the VM name contains a line break");
        if (settings.maxCallsPerSecond == 0 || settings.maxOutstanding == 0 || settings.maxWaiting == 0)
            throw PlatformError(invalidSettingsError, "maxCallsPerSecond, maxOutstanding and maxWaiting must be at least 1");
        if (settings.watchTimeout < std::chrono::seconds(1) || settings.minBackoff <= Duration::zero())
            throw PlatformError(invalidSettingsError, "watchTimeout must be at least 1 s and minBackoff must be positive");
    }

    const ClientSettings& validated(const ClientSettings& settings)
    {
        validateSettings(settings);
        return settings;
    }

}

PlatformClient::Worker::Worker(const ClientSettings& settings, ResultHandler handler, ClientPolicy policy)
    : settings(validated(settings))
    , handler(std::move(handler))
    , policy(policy)
    , submittedCalls(settings.maxWaiting, [this] { this->transfers.wake(); })
    , pacer(settings.maxCallsPerSecond)
    , random(settings.seed)
{
    this->thread = std::thread([this] { this->run(); });
}

PlatformClient::Worker::~Worker() { this->stop(); }

bool PlatformClient::Worker::submit(Call call)
{
    const std::scoped_lock lock(this->submitMutex);
    return this->accepting && this->submittedCalls.tryPush(std::move(call));
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
        this->receiveCalls();
        const TimePoint now = Clock::now();
        this->expireQueuedCalls(now);
        this->startWatches(now);
        this->startCalls(now);
        this->handleFinishedTransfers(Clock::now());
        this->deliverResults();
        this->transfers.wait(this->pollTimeout(Clock::now()));
    }
    this->shutDown();
}

void PlatformClient::Worker::receiveCalls()
{
    Call call;
    while (this->queuedCalls.size() < this->settings.maxWaiting && this->submittedCalls.tryPop(call))
        std::visit([this](const auto& typed) { this->handle(typed); }, call);
}

void PlatformClient::Worker::handle(const Watch& watch)
{
    this->watches.try_emplace(watch.id, watch, this->settings.maxEventBytes);
}

void PlatformClient::Worker::handle(const StopWatch& stop)
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

void PlatformClient::Worker::enqueueCall(PreparationResult preparation)
{
    if (auto* rejected = std::get_if<Rejected>(&preparation)) {
        this->results.emplace_back(std::move(*rejected));
        return;
    }
    auto& call = std::get<PreparedCall>(preparation);
    call.startDeadline = Clock::now() + this->settings.callTimeout;
    this->queuedCalls.push_back(std::move(call));
}

void PlatformClient::Worker::expireQueuedCalls(TimePoint now)
{
    while (!this->queuedCalls.empty() && this->queuedCalls.front().startDeadline <= now) {
        this->results.emplace_back(Unavailable { this->queuedCalls.front().id, "the call timed out in the client's queue before it was sent" });
        this->queuedCalls.pop_front();
    }
}

void PlatformClient::Worker::startWatches(TimePoint now)
{
    for (auto& [id, state] : this->watches) {
        if (state.transfer || state.nextRequestAt > now)
            continue;
        if (earliestStart(this->pacer, now) > now)
            return;
        recordStart(this->pacer, now);
        try {
            recordRequestStart(state, this->transfers.start(this->buildRequest(state)), now);
            this->watchTransfers.emplace(*state.transfer, id);
        } catch (const PlatformError& error) {
            const Exchange exchange { .error = error.what() };
            handleRequestEnd(state, exchange, Verdict::Unavailable, {}, now, { this->settings.minBackoff, this->settings.maxBackoff }, this->random, this->results);
        }
    }
}

void PlatformClient::Worker::startCalls(TimePoint now)
{
    while (!this->queuedCalls.empty() && this->activeCalls.size() < this->settings.maxOutstanding) {
        if (earliestStart(this->pacer, now) > now)
            return;
        PreparedCall call = std::move(this->queuedCalls.front());
        this->queuedCalls.pop_front();
        this->startCall(std::move(call), now);
    }
}

void PlatformClient::Worker::startCall(PreparedCall call, TimePoint now)
{
    recordStart(this->pacer, now);
    try {
        const TransferId transfer = this->transfers.start(this->buildRequest(call));
        this->activeCalls.emplace(transfer, std::move(call));
    } catch (const PlatformError& error) {
        this->results.emplace_back(Unavailable { call.id, error.what() });
    }
}

TransferRequest PlatformClient::Worker::buildRequest(const PreparedCall& call) const
{
    TransferRequest request;
    request.method = call.method;
    request.url = this->settings.url + call.path;
    request.body = call.body;
    request.vm = this->settings.vm;
    request.isWrite = isWrite(call);
    request.connectTimeout = this->settings.connectTimeout;
    request.timeout = this->settings.callTimeout;
    request.maxResponseBytes = this->settings.maxAnswerBytes;
    return request;
}

TransferRequest PlatformClient::Worker::buildRequest(WatchState& state)
{
    const auto timeout = std::chrono::ceil<std::chrono::seconds>(this->settings.watchTimeout);
    TransferRequest request;
    request.method = "GET";
    request.vm = this->settings.vm;
    request.connectTimeout = this->settings.connectTimeout;
    request.timeout = this->settings.callTimeout;
    request.maxResponseBytes = this->settings.maxAnswerBytes;
    if (!state.following) {
        request.url = this->settings.url + detail::pathOf(state.plural);
        return request;
    }
    request.url = this->settings.url + detail::watchPathOf(state.plural, state.resourceVersion, timeout);
    request.timeout += timeout;
    // The callbacks may refer to the map entry: handle(StopWatch) cancels the transfer before it erases the entry.
    request.onResponseStart = [this, &state] { handleWatchAccepted(state, this->results); };
    request.onBodyBytes = [this, &state](std::string_view bytes) { return handleWatchBytes(state, bytes, this->results); };
    return request;
}

void PlatformClient::Worker::handleFinishedTransfers(TimePoint now)
{
    std::vector<FinishedTransfer> finished;
    this->transfers.perform(finished);
    for (const FinishedTransfer& transfer : finished) {
        if (const auto call = this->activeCalls.find(transfer.id); call != this->activeCalls.end()) {
            this->finishCall(call->second, transfer.exchange, transfer.body);
            this->activeCalls.erase(call);
            continue;
        }
        const auto watched = this->watchTransfers.find(transfer.id);
        WatchState& state = this->watches.at(watched->second);
        this->watchTransfers.erase(watched);
        handleRequestEnd(state, transfer.exchange, this->policy.judge(transfer.exchange), transfer.body, now, { this->settings.minBackoff, this->settings.maxBackoff }, this->random, this->results);
    }
}

void PlatformClient::Worker::finishCall(const PreparedCall& call, const Exchange& exchange, std::string_view body)
{
    this->results.push_back(makeResult(call, exchange, this->policy.judge(exchange), body));
}

void PlatformClient::Worker::deliverResults()
{
    std::vector<Result> delivered;
    delivered.swap(this->results);
    for (Result& result : delivered)
        this->handler(std::move(result));
}

Duration PlatformClient::Worker::pollTimeout(TimePoint now) const
{
    TimePoint next = now + maxPollTimeout;
    const TimePoint earliestCallStart = earliestStart(this->pacer, now);
    for (const auto& entry : this->watches) {
        if (!entry.second.transfer)
            next = std::min(next, std::max(entry.second.nextRequestAt, earliestCallStart));
    }
    if (!this->queuedCalls.empty()) {
        next = std::min(next, this->queuedCalls.front().startDeadline);
        if (this->activeCalls.size() < this->settings.maxOutstanding)
            next = std::min(next, earliestCallStart);
    }
    return std::max(next - now, Duration::zero());
}

void PlatformClient::Worker::shutDown()
{
    for (const auto& [transfer, call] : this->activeCalls) {
        Exchange exchange = this->transfers.cancel(transfer);
        exchange.error = "the client was stopped";
        this->finishCall(call, exchange, {});
    }
    this->activeCalls.clear();
    for (const auto& [transfer, watch] : this->watchTransfers)
        this->transfers.cancel(transfer);
    this->watchTransfers.clear();
    this->watches.clear();
    do {
        this->receiveCalls();
        for (const PreparedCall& call : this->queuedCalls)
            this->results.emplace_back(Unavailable { call.id, "the client was stopped" });
        this->queuedCalls.clear();
    } while (this->submittedCalls.size() > 0);
    this->deliverResults();
}

}
