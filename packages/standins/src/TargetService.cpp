#include "TargetService.h"

#include "flamingowick/standins/detail/TargetJson.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace flamingowick::standins {

using detail::HttpAnswer;
using detail::HttpRequest;

namespace {

    constexpr unsigned statusInternalError = 500;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusGatewayTimeout = 504;
    constexpr std::chrono::milliseconds frozenRetry { 5 };

    HttpAnswer answerWith(unsigned status, std::string body) { return { status, {}, std::move(body) }; }

    // Returns when the caller of a request that comes now stops waiting; never when it does not say.
    TimePoint deadlineOf(const HttpRequest& request, TimePoint now)
    {
        constexpr std::int64_t longestMilliseconds = 3600000;
        const std::string_view text = detail::headerValue(request.headers, "X-Timeout-Ms");
        std::int64_t milliseconds = 0;
        if (std::from_chars(text.data(), text.data() + text.size(), milliseconds).ec != std::errc())
            return TimePoint::max();
        return now + std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, longestMilliseconds));
    }

    RunRecord recordOf(const HttpRequest& request, std::uint64_t run)
    {
        RunRecord record;
        record.run = run;
        record.requestId = detail::headerValue(request.headers, "X-Request-Id");
        record.key = detail::headerValue(request.headers, "Idempotency-Key");
        record.nonce = detail::headerValue(request.headers, "X-Nonce");
        record.method = request.method;
        record.path = request.path;
        return record;
    }

}

TargetService::TargetService(asio::io_context& context, const TargetOptions& options, std::uint16_t port, std::uint64_t seed)
    : context(context)
    , options(options)
    , server(context, options.address, port,
          [this](const ConnectionPointer& connection, HttpRequest request) { this->handle(connection, std::move(request)); })
    , random(seed)
    , restartTimer(context)
    , startedAt(Clock::now())
{
}

void TargetService::setFaults(const TargetFaults& changed)
{
    this->faults = changed;
    this->server.setFrozen(changed.freeze);
    this->startWaiting();
}

TargetLedger TargetService::ledger(bool withRuns) const
{
    TargetLedger copy = this->counters;
    copy.runCount = this->lastRun;
    copy.openConnections = static_cast<unsigned>(this->server.openConnections());
    copy.maxConnections = static_cast<unsigned>(this->server.mostConnections());
    if (withRuns)
        copy.runs.assign(this->records.begin(), this->records.end());
    return copy;
}

bool TargetService::handleControl(const ConnectionPointer& connection, const HttpRequest& request)
{
    if (request.path == "/control/ledger") {
        connection->answer(answerWith(200, detail::renderLedger(this->ledger(true), true)));
        return true;
    }
    if (request.path != "/control")
        return false;
    TargetFaults changed = this->faults;
    if (request.method == "POST" && !detail::applyControl(request.body, changed)) {
        connection->answer(answerWith(400, "{}"));
        return true;
    }
    connection->answer(answerWith(200, detail::renderLedger(this->ledger(false), false)));
    this->setFaults(changed);
    return true;
}

void TargetService::handle(const ConnectionPointer& connection, HttpRequest request)
{
    if (this->handleControl(connection, request))
        return;
    if (request.path == "/healthz") {
        ++this->counters.probes;
        if (!this->faults.oneWay)
            connection->answer(answerWith(200, R"({"status":"ok"})"));
        return;
    }
    if (this->faults.drain) {
        ++this->counters.refusedDraining;
        this->refuse(connection, "draining");
        return;
    }
    const auto run = std::make_shared<Run>(this->context, connection, std::move(request));
    run->deadline = deadlineOf(run->request, Clock::now());
    this->admit(run);
}

void TargetService::admit(const RunPointer& run)
{
    if (this->counters.running < this->options.slots) {
        this->begin(run);
        return;
    }
    if (this->faults.shed || this->waiting.size() >= this->options.maxWaiting) {
        ++this->counters.shed;
        this->refuse(run->connection, "shed");
        return;
    }
    this->waiting.push_back(run);
}

void TargetService::begin(const RunPointer& run)
{
    run->number = ++this->lastRun;
    run->life = this->life;
    this->records.push_back(recordOf(run->request, run->number));
    if (this->records.size() > this->options.maxLedger) {
        this->records.pop_front();
        ++this->counters.dropped;
    }
    ++this->counters.running;
    this->counters.maxRunning = std::max(this->counters.maxRunning, this->counters.running);
    const std::string& mark = this->faults.crashMark;
    if (!mark.empty() && run->request.body.find(mark) != std::string::npos) {
        this->crash();
        return;
    }
    run->connection->onCancel([this, run] { this->cancel(run); });
    const Duration serviceTime = this->drawServiceTime();
    const Duration remaining = run->deadline - Clock::now();
    run->expired = serviceTime > remaining;
    this->finishAfter(run, std::min(serviceTime, remaining));
}

void TargetService::finishAfter(const RunPointer& run, Duration wait)
{
    run->timer.expires_after(wait);
    run->timer.async_wait([this, run](const asio::error_code& error) {
        if (!error)
            this->finish(run);
    });
}

void TargetService::finish(const RunPointer& run)
{
    if (run->over || run->life != this->life)
        return;
    if (this->faults.freeze) {
        this->finishAfter(run, frozenRetry);
        return;
    }
    const bool failed = this->faultsApply() && (this->faults.requestsBad || this->chance(this->faults.errorShare));
    if (this->faults.oneWay || !run->connection->open()) {
        this->leaveSlot(run, RunEnd::Unanswered);
        return;
    }
    const std::string name = this->options.address + ":" + std::to_string(this->port());
    const RunRecord record = recordOf(run->request, run->number);
    const unsigned status = run->expired ? statusGatewayTimeout : failed ? statusInternalError
                                                                         : 200;
    HttpAnswer answer = answerWith(status, detail::renderRun(record, name, this->options.answerBytes));
    answer.headers.push_back({ "X-Nonce", record.nonce });
    if (this->faults.drain)
        answer.headers.push_back({ "X-Target-State", "leaving" });
    run->connection->answer(answer);
    this->leaveSlot(run, status == 200 ? RunEnd::Answered : RunEnd::Failed);
}

void TargetService::cancel(const RunPointer& run)
{
    if (run->over || run->life != this->life || !this->faults.acceptCancel)
        return;
    run->timer.cancel();
    this->leaveSlot(run, RunEnd::Cancelled);
}

void TargetService::leaveSlot(const RunPointer& run, RunEnd end)
{
    run->over = true;
    --this->counters.running;
    if (RunRecord* record = this->findRecord(run->number))
        record->end = end;
    this->startWaiting();
}

void TargetService::startWaiting()
{
    while (!this->waiting.empty() && this->counters.running < this->options.slots) {
        const RunPointer run = this->waiting.front();
        this->waiting.pop_front();
        if (!run->connection->open())
            continue;
        if (run->deadline > Clock::now())
            this->begin(run);
        else
            this->refuse(run->connection, "deadline");
    }
}

void TargetService::crash()
{
    ++this->counters.crashes;
    ++this->life;
    for (RunRecord& record : this->records) {
        if (record.end == RunEnd::Open)
            record.end = RunEnd::Crashed;
    }
    this->counters.running = 0;
    this->waiting.clear();
    this->server.close();
    this->server.dropAll();
    if (this->faults.crashDowntime < Duration::zero())
        return;
    this->restartTimer.expires_after(this->faults.crashDowntime);
    this->restartTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->restart();
    });
}

void TargetService::restart()
{
    this->startedAt = Clock::now();
    try {
        this->server.reopen();
    } catch (const std::system_error&) {
        // The port is still held by a closing connection; tried again after as long a wait.
        this->restartTimer.expires_after(std::max(this->faults.crashDowntime, Duration(std::chrono::milliseconds(10))));
        this->restartTimer.async_wait([this](const asio::error_code& error) {
            if (!error)
                this->restart();
        });
    }
}

void TargetService::refuse(const ConnectionPointer& connection, std::string_view reason)
{
    if (this->faults.oneWay)
        return;
    HttpAnswer answer = answerWith(statusUnavailable, "{}");
    answer.headers.push_back({ "X-Not-Run", std::string(reason) });
    answer.headers.push_back({ "Retry-After", "1" });
    if (this->faults.drain)
        answer.headers.push_back({ "X-Target-State", "leaving" });
    connection->answer(answer);
}

bool TargetService::faultsApply() const
{
    if (this->faults.flapPeriod <= Duration::zero())
        return true;
    const auto halfPeriod = std::max<Duration::rep>(1, this->faults.flapPeriod.count() / 2);
    return (Clock::now().time_since_epoch().count() / halfPeriod) % 2 == 0;
}

bool TargetService::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

Duration TargetService::drawServiceTime()
{
    constexpr double logNormalSigma = 0.5;
    constexpr double longestInMeans = 20;
    double means = 1;
    if (this->options.distribution == ServiceTimes::Exponential)
        means = std::exponential_distribution<double>(1)(this->random);
    else if (this->options.distribution == ServiceTimes::LogNormal)
        means = std::lognormal_distribution<double>(-logNormalSigma * logNormalSigma / 2, logNormalSigma)(this->random);
    means = std::min(means, longestInMeans) * this->slowStartFactor();
    if (this->faultsApply())
        means *= this->faults.slowFactor;
    return Duration(static_cast<Duration::rep>(means * static_cast<double>(this->options.serviceTime.count())));
}

double TargetService::slowStartFactor() const
{
    const Duration age = Clock::now() - this->startedAt;
    if (this->faults.slowStart <= Duration::zero() || age >= this->faults.slowStart)
        return 1;
    const double remaining = 1 - static_cast<double>(age.count()) / static_cast<double>(this->faults.slowStart.count());
    return 1 + (this->faults.slowStartFactor - 1) * remaining;
}

RunRecord* TargetService::findRecord(std::uint64_t run)
{
    if (this->records.empty() || run < this->records.front().run)
        return nullptr;
    return &this->records[run - this->records.front().run];
}

}
