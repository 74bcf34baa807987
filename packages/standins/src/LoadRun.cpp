#include "LoadRun.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <stdexcept>

namespace flamingowick::standins {

namespace {

    asio::ip::tcp::endpoint parseEndpoint(const std::string& text)
    {
        const std::size_t colon = text.rfind(':');
        if (colon == std::string::npos)
            throw std::runtime_error("an entry must read ip:port: " + text);
        const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
        return { asio::ip::make_address(text.substr(0, colon)), port };
    }

    bool isOwnAnswer(const LoadRequest& request, const detail::HttpResponse& response)
    {
        return response.body.find("\"nonce\":\"" + request.nonce + "\"") != std::string::npos;
    }

    // Returns whether the answer is a target's: the fleet's own answers echo no nonce.
    bool isFromTarget(const detail::HttpResponse& response)
    {
        const std::string_view outcome = detail::headerValue(response.headers, "X-Outcome");
        return response.status == 200 && (outcome.empty() || outcome == "answered");
    }

    constexpr std::string_view nameOf(LoadEnd end) noexcept
    {
        switch (end) {
        case LoadEnd::Answered:
            return "answered";
        case LoadEnd::CutOff:
            return "cut-off";
        case LoadEnd::TimedOut:
            return "timed-out";
        case LoadEnd::ConnectFailed:
            return "connect-failed";
        case LoadEnd::GivenUpUnsent:
            return "given-up-unsent";
        }
        return "";
    }

    // Returns the latency in milliseconds below which the given share of a sorted list lies.
    double percentile(const std::vector<std::uint32_t>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
        return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1] / 1000.0;
    }

}

LoadRun::LoadRun(const LoadOptions& options)
    : options(options)
    , arrival(this->context)
    , signals(this->context)
    , random(options.seed)
{
    if (options.entries.empty() || options.rate <= 0)
        throw std::runtime_error("a load needs an entry and a rate");
    for (const std::string& entry : options.entries)
        this->entries.push_back({ parseEndpoint(entry), {}, {}, 0 });
    if (options.toldFile.empty())
        return;
    this->told.open(options.toldFile);
    if (!this->told)
        throw std::runtime_error("the file of what was told can't be written");
}

LoadReport LoadRun::run()
{
    if (this->options.stopOnSignals) {
        this->signals.add(SIGTERM);
        this->signals.add(SIGINT);
        this->signals.async_wait([this](const asio::error_code& error, int) {
            if (!error)
                this->stopStarting();
        });
    }
    this->start = Clock::now();
    this->due = this->start;
    this->scheduleNext();
    this->context.run();
    const std::chrono::duration<double> lasted = Clock::now() - this->start;
    this->report.seconds = lasted.count();
    return std::move(this->report);
}

void LoadRun::scheduleNext()
{
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(this->options.rate)(this->random));
    this->due += std::chrono::duration_cast<Duration>(gap);
    if (!this->starting || this->started >= this->options.maxRequests || this->due > this->start + this->options.time) {
        this->stopStarting();
        return;
    }
    this->arrival.expires_after(std::max(this->due - Clock::now(), Duration::zero()));
    this->arrival.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->startRequest();
        this->scheduleNext();
    });
}

void LoadRun::startRequest()
{
    ++this->started;
    const std::size_t entry = this->random() % this->entries.size();
    LoadRequest request = this->makeRequest(entry, this->due);
    if (!request.key.empty() && this->chance(this->options.resendShare)) {
        LoadRequest resend = request;
        resend.number = ++this->lastNumber;
        resend.entry = (entry + 1) % this->entries.size();
        this->dispatch(std::move(resend));
    }
    this->dispatch(std::move(request));
}

LoadRequest LoadRun::makeRequest(std::size_t entry, TimePoint time)
{
    LoadRequest request;
    request.number = ++this->lastNumber;
    request.entry = entry;
    request.due = time;
    request.nonce = std::to_string(this->options.seed) + "-" + std::to_string(this->started);
    const bool post = this->chance(this->options.postShare);
    std::string body;
    if (post) {
        request.key = this->newKey();
        body = R"({"nonce":")" + request.nonce + "\"}";
    }
    std::string& text = request.text;
    text = (post ? "POST " + this->options.postPath : "GET " + this->options.getPath) + " HTTP/1.1\r\n";
    text += "Host: " + this->options.host + "\r\nX-Nonce: " + request.nonce;
    text += "\r\nX-Caller: caller-" + std::to_string(this->started % std::max(1U, this->options.callers)) + "\r\n";
    if (post)
        text += "Idempotency-Key: " + request.key + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    return request;
}

void LoadRun::dispatch(LoadRequest request)
{
    ++this->unfinished;
    Entry& entry = this->entries[request.entry];
    while (!entry.idle.empty() && !entry.idle.back()->open()) {
        entry.idle.pop_back();
        --entry.open;
    }
    if (!entry.idle.empty()) {
        const std::shared_ptr<LoadConnection> connection = entry.idle.back();
        entry.idle.pop_back();
        ++this->report.sent;
        connection->send(std::move(request));
        return;
    }
    if (entry.open < this->options.connectionsPerEntry) {
        ++entry.open;
        ++this->report.sent;
        std::make_shared<LoadConnection>(this->context, entry.endpoint, this->options.timeout,
            [this](const std::shared_ptr<LoadConnection>& connection, const LoadRequest& ended, LoadEnd how, const detail::HttpResponse& response) {
                this->take(connection, ended, how, response);
            })
            ->send(std::move(request));
        return;
    }
    if (entry.waiting.size() < this->options.maxWaiting) {
        entry.waiting.push_back(std::move(request));
        return;
    }
    this->record(request, LoadEnd::GivenUpUnsent, {});
}

void LoadRun::take(const std::shared_ptr<LoadConnection>& connection, const LoadRequest& request, LoadEnd how, const detail::HttpResponse& response)
{
    Entry& entry = this->entries[request.entry];
    if (how == LoadEnd::CutOff && connection->reused())
        ++this->report.cutOffOnReuse;
    this->record(request, how, response);
    if (connection->open()) {
        this->reuse(entry, connection);
        return;
    }
    --entry.open;
    if (entry.waiting.empty())
        return;
    // Posted, so that many failures in a row don't deepen the stack.
    asio::post(this->context, [this, next = std::move(entry.waiting.front())]() mutable {
        --this->unfinished;
        this->dispatch(std::move(next));
    });
    entry.waiting.pop_front();
}

void LoadRun::reuse(Entry& entry, const std::shared_ptr<LoadConnection>& connection)
{
    if (!entry.waiting.empty()) {
        ++this->report.sent;
        LoadRequest next = std::move(entry.waiting.front());
        entry.waiting.pop_front();
        connection->send(std::move(next));
        return;
    }
    entry.idle.push_back(connection);
    this->finishWhenDone();
}

void LoadRun::record(const LoadRequest& request, LoadEnd how, const detail::HttpResponse& response)
{
    --this->unfinished;
    this->count(request, how, response);
    if (this->told.is_open())
        this->writeTold(request, how, response);
    this->finishWhenDone();
}

void LoadRun::count(const LoadRequest& request, LoadEnd how, const detail::HttpResponse& response)
{
    switch (how) {
    case LoadEnd::Answered:
        break;
    case LoadEnd::CutOff:
        ++this->report.cutOff;
        return;
    case LoadEnd::TimedOut:
        ++this->report.timedOut;
        return;
    case LoadEnd::ConnectFailed:
        ++this->report.connectFailed;
        return;
    case LoadEnd::GivenUpUnsent:
        ++this->report.givenUpUnsent;
        return;
    }
    ++this->report.answered;
    ++this->report.statuses[response.status];
    ++this->report.outcomes[std::string(detail::headerValue(response.headers, "X-Outcome"))];
    if (isFromTarget(response) && !isOwnAnswer(request, response))
        ++this->report.foreignAnswers;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - request.due).count();
    this->report.latencies.push_back(static_cast<std::uint32_t>(latency));
}

void LoadRun::writeTold(const LoadRequest& request, LoadEnd how, const detail::HttpResponse& response)
{
    const nlohmann::json line {
        { "nonce", request.nonce },
        { "key", request.key },
        { "end", nameOf(how) },
        { "status", response.status },
        { "outcome", detail::headerValue(response.headers, "X-Outcome") },
    };
    this->told << line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) << '\n';
}

void LoadRun::stopStarting()
{
    this->starting = false;
    this->arrival.cancel();
    this->finishWhenDone();
}

void LoadRun::finishWhenDone()
{
    if (this->starting || this->unfinished > 0)
        return;
    this->signals.cancel();
    for (Entry& entry : this->entries) {
        for (const auto& connection : entry.idle)
            connection->close();
        entry.idle.clear();
    }
}

std::string LoadRun::newKey()
{
    // A version 7 UUID: 48 bits of wall clock, then chance.
    const auto time = static_cast<unsigned long long>(wallClockMilliseconds()) & 0xffffffffffffULL;
    const unsigned long long tail = this->random() & 0xffffffffffffULL;
    const auto second = static_cast<unsigned>(this->random() & 0xfffU);
    const auto third = static_cast<unsigned>(this->random() & 0x3fffU) | 0x8000U;
    std::array<char, 40> text {};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03x-%04x-%012llx", time >> 16U, time & 0xffffU, second, third, tail);
    return text.data();
}

bool LoadRun::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

LoadReport runLoad(const LoadOptions& options)
{
    return LoadRun(options).run();
}

std::string renderReport(const LoadReport& report)
{
    std::vector<std::uint32_t> sorted = report.latencies;
    std::sort(sorted.begin(), sorted.end());
    nlohmann::json statuses = nlohmann::json::object();
    for (const auto& [status, count] : report.statuses)
        statuses[std::to_string(status)] = count;
    const nlohmann::json rendered {
        { "sent", report.sent },
        { "answered", report.answered },
        { "cutOff", report.cutOff },
        { "cutOffOnReuse", report.cutOffOnReuse },
        { "timedOut", report.timedOut },
        { "connectFailed", report.connectFailed },
        { "givenUpUnsent", report.givenUpUnsent },
        { "foreignAnswers", report.foreignAnswers },
        { "statuses", statuses },
        { "outcomes", report.outcomes },
        { "seconds", report.seconds },
        { "answersPerSecond", report.seconds > 0 ? static_cast<double>(report.answered) / report.seconds : 0 },
        { "latencyMs",
            { { "p50", percentile(sorted, 0.5) }, { "p90", percentile(sorted, 0.9) }, { "p99", percentile(sorted, 0.99) }, { "max", percentile(sorted, 1) } } },
    };
    return rendered.dump();
}

}
