#include "flamingowick/proxy/TargetConnections.h"

#include "LivenessCheck.h"
#include "TargetConnector.h"

#include "flamingowick/proxy/TunnelFrames.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace flamingowick::proxy {

namespace {

    constexpr std::size_t readBufferBytes = 16U << 10U;
    // Assumed when the target announces no Keep-Alive timeout.
    constexpr Duration defaultIdleTimeout { std::chrono::seconds(2) };
    // Shares of the idle timeout within which a connection is reused. The target may close the connection while a
    // request is on its way; a non-idempotent request can't be retried then, so that its share is smaller.
    constexpr double idempotentReuseShare = 0.8;
    constexpr double nonIdempotentReuseShare = 0.6;
    constexpr std::size_t maxIdlePerInstance = 4;
    // Interim responses and ones without the request's ID that are passed over before the response. A target that goes on
    // sending them would otherwise hold the request until its deadline.
    constexpr unsigned maxIgnoredResponses = 16;
    // Reads a decimal number without a sign or an exponent.
    std::optional<double> parseDecimal(std::string_view value) noexcept
    {
        double number = 0;
        const auto result = std::from_chars(value.data(), value.data() + value.size(), number, std::chars_format::fixed);
        if (value.empty() || result.ec != std::errc() || result.ptr != value.data() + value.size() || !std::isfinite(number) || std::signbit(number))
            return std::nullopt;
        return number;
    }

    Duration announcedIdleTimeout(const HttpMessage& response)
    {
        const std::string_view text = headerValue(response, "keep-alive");
        const std::size_t at = text.find("timeout=");
        unsigned seconds = 0;
        if (at == std::string_view::npos || std::from_chars(text.data() + at + 8, text.data() + text.size(), seconds).ec != std::errc())
            return defaultIdleTimeout;
        return std::chrono::seconds(seconds);
    }

}

grants::AttemptOutcome classifyResponse(const HttpMessage& response, const HeaderNames& names, std::string_view requestId)
{
    if (response.status == 421)
        return grants::AttemptOutcome::InstanceReplaced;
    if (!headerValue(response, names.notExecuted).empty())
        return grants::AttemptOutcome::Shed;
    if (!headerValue(response, "content-encoding").empty())
        return grants::AttemptOutcome::ConnectionBroken;
    if (response.status >= 200 && response.status < 300) {
        const bool verified = !headerValue(response, names.responseSignature).empty() && headerValue(response, names.requestId) == requestId;
        return verified ? grants::AttemptOutcome::Succeeded : grants::AttemptOutcome::ConnectionBroken;
    }
    return response.status >= 500 || response.status == 429 || response.status == 408 ? grants::AttemptOutcome::Failed : grants::AttemptOutcome::Succeeded;
}

std::optional<Duration> parseRetryAfter(std::string_view value) noexcept
{
    constexpr double maxSeconds = 3600;
    const std::optional<double> number = parseDecimal(value);
    if (!number)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(*number, maxSeconds)));
}

std::optional<double> parseRequestLimit(std::string_view value) noexcept
{
    constexpr double maxPerSecond = 1e6;
    const std::optional<double> number = parseDecimal(value);
    return number ? std::optional<double>(std::min(*number, maxPerSecond)) : std::nullopt;
}

LimitStatement readLimit(const HttpMessage& response, std::string_view headerName)
{
    // Bytes of an unreadable value that are kept for logs.
    constexpr std::size_t maxTextBytes = 32;
    LimitStatement statement { LimitStatementKind::None };
    for (const Header& header : response.headers) {
        if (!headerNamesEqual(header.name, headerName))
            continue;
        const std::optional<double> number = parseRequestLimit(header.value);
        const bool contradicts = number && statement.kind == LimitStatementKind::Named && *number != statement.requestsPerSecond;
        if (!number || contradicts)
            return { LimitStatementKind::Unreadable, 0, header.value.substr(0, maxTextBytes) };
        statement = { LimitStatementKind::Named, *number };
    }
    return statement;
}

class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
public:
    TargetConnection(TargetConnections& connections, std::string targetInstance)
        : owner(connections)
        , instance(std::move(targetInstance))
        , socket(connections.context)
        , reader(MessageReader::Kind::Responses, {})
        , inputBuffer(readBufferBytes, '\0')
    {
    }

    void start(std::uint64_t number, AttemptSpec attemptSpec, AttemptHandler attemptHandler)
    {
        this->attempt = number;
        this->spec = std::move(attemptSpec);
        this->handler = std::move(attemptHandler);
        this->reader.restart(this->spec.responseLimits, this->spec.isHeadRequest);
        this->mustClose = false;
        this->writeFailed = false;
        this->endedByTarget = false;
        this->sent = false;
        this->ignoredResponses = 0;
        if (this->socket.is_open())
            this->send();
        else
            this->connect();
    }

    // Whether the target should still have the connection open when a request arrives.
    bool isReusable(bool idempotent) const
    {
        const auto idleFor = std::chrono::duration<double>(Clock::now() - this->idleSince).count();
        const auto limit = std::chrono::duration<double>(this->idleTimeout).count();
        return this->socket.is_open() && idleFor < limit * (idempotent ? idempotentReuseShare : nonIdempotentReuseShare);
    }

    void close()
    {
        this->closed = true;
        this->handler = nullptr;
        this->countHeldBytes(0);
        asio::error_code ignored;
        this->socket.close(ignored);
        if (this->connector)
            this->connector->cancel();
    }

    // Ends the connection with the attempt that it carries.
    void forbidReuse() noexcept { this->reusable = false; }
    const std::string& targetInstance() const noexcept { return this->instance; }

    // Whether a response has begun and goes on.
    bool isReceiving() const
    {
        constexpr Duration longestPause { std::chrono::milliseconds(500) };
        return this->reader.hasStarted() && Clock::now() - this->lastReadAt < longestPause;
    }

    // Name of the member through which the target is connected; empty for a direct connection.
    const std::string& throughMember() const noexcept { return this->member; }

private:
    void countHeldBytes(std::uint64_t bytes)
    {
        this->owner.responseBytes += bytes - this->heldBytes;
        this->heldBytes = bytes;
    }

    void connect()
    {
        this->newConnection = true;
        this->connector = std::make_shared<TargetConnector>(this->owner, this->instance, this->spec.address);
        this->connector->start([self = this->shared_from_this()](Connected result) {
            self->connector = nullptr;
            if (self->closed)
                return;
            if (!result.failure.empty()) {
                self->failAttempt(grants::AttemptOutcome::Unreachable, result.failure);
                return;
            }
            self->socket = std::move(result.socket);
            self->member = std::move(result.member);
            if (result.framed)
                self->frames.emplace();
            self->send();
        });
    }

    void send()
    {
        this->sent = true;
        this->writing = true;
        const std::array<asio::const_buffer, 2> parts { asio::buffer(this->spec.requestBytes), this->spec.requestBody ? asio::buffer(*this->spec.requestBody) : asio::const_buffer() };
        asio::async_write(this->socket, parts, [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            self->writing = false;
            // The target may respond without reading the whole request, so that reading goes on after a failed write.
            if (error) {
                self->mustClose = true;
                self->writeFailed = true;
            }
        });
        this->read();
    }

    void read()
    {
        if (this->reading || this->closed)
            return;
        this->reading = true;
        this->socket.async_read_some(asio::buffer(this->inputBuffer), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
            self->reading = false;
            if (!self->closed)
                self->handleRead(error, size);
        });
    }

    void handleRead(const asio::error_code& error, std::size_t size)
    {
        if (!this->handler) {
            // The target closed an idle connection, or sent data without a request.
            this->removeFromIdle();
            return;
        }
        if (error) {
            this->handleReadError(error == asio::error::eof);
            return;
        }
        this->lastReadAt = Clock::now();
        const std::size_t contentSize = this->frames ? this->frames->extractContent({ this->inputBuffer.data(), size }) : size;
        const bool hasEnded = this->frames && this->frames->hasEnded();
        this->mustClose = this->mustClose || hasEnded;
        if (!this->parseResponse(std::string_view(this->inputBuffer).substr(0, contentSize)))
            return;
        if (hasEnded)
            this->handleEnd(true, "closed");
        else
            this->read();
    }

    void handleReadError(bool isCleanEnd)
    {
        if (this->member.empty()) {
            this->handleEnd(isCleanEnd, isCleanEnd ? "closed" : "reset");
            return;
        }
        // A member that passes the target's bytes on states the end of the target's connection in a frame, or passes its reset on; a clean
        // end without the frame is the member's own.
        if (isCleanEnd && this->frames)
            this->failAttempt(grants::AttemptOutcome::ConnectionBroken, "member-closed");
        else
            this->handleEnd(false, isCleanEnd ? "member-closed" : "member-reset");
    }

    // Ends the attempt with its connection, which the target has ended. A response without a length is complete only then, and
    // only if the end was clean.
    void handleEnd(bool isCleanEnd, std::string_view reason)
    {
        if (!isCleanEnd || !this->writing) {
            this->endAttempt(isCleanEnd, reason);
            return;
        }
        // A write that has failed may not have been reported yet.
        asio::post(this->owner.context, [self = this->shared_from_this(), reason] {
            if (!self->closed && self->handler)
                self->endAttempt(true, reason);
        });
    }

    void endAttempt(bool isCleanEnd, std::string_view reason)
    {
        // An operation that fails takes the connection's error with it: the read that follows a failed write finds a clean end.
        if (isCleanEnd && !this->writeFailed)
            this->reader.finishStream();
        this->endedByTarget = true;
        this->mustClose = true;
        if (this->reader.state() == ReadState::Complete && this->isAnswer())
            this->completeAttempt();
        else
            this->failAttempt(grants::AttemptOutcome::ConnectionBroken, reason);
    }

    // Returns whether the attempt goes on, since its response isn't complete yet.
    bool parseResponse(std::string_view bytes)
    {
        while (!bytes.empty()) {
            bytes.remove_prefix(this->reader.parse(bytes));
            this->countHeldBytes(this->reader.heldBytes());
            if (this->owner.responseBytes > TargetConnections::maxHeldResponseBytes) {
                this->failAttempt(grants::AttemptOutcome::ConnectionBroken, "responses-too-large");
                return false;
            }
            if (this->reader.state() == ReadState::Incomplete)
                break;
            if (this->reader.state() != ReadState::Complete) {
                this->mustClose = true;
                this->failAttempt(grants::AttemptOutcome::ConnectionBroken, "not-http");
                return false;
            }
            if (!this->isAnswer()) {
                this->mustClose = true;
                if (++this->ignoredResponses > maxIgnoredResponses) {
                    this->failAttempt(grants::AttemptOutcome::ConnectionBroken, "too-many-responses");
                    return false;
                }
                this->reader.restart(this->spec.responseLimits, this->spec.isHeadRequest);
                continue;
            }
            // Bytes after the response belong to no request, so that the connection can't be reused.
            if (!bytes.empty())
                this->mustClose = true;
            this->completeAttempt();
            return false;
        }
        return true;
    }

    // Whether the response answers the request. It doesn't if it is an interim one (1xx), or doesn't carry the request's ID: a late response to
    // an earlier request on this connection, or bytes of a faulty target that belong to no request.
    bool isAnswer()
    {
        const HttpMessage& response = this->reader.message();
        return response.status >= 200 && headerValue(response, this->owner.headerNames.requestId) == this->spec.requestId;
    }

    void completeAttempt()
    {
        AttemptResult result;
        result.sent = true;
        result.newConnection = this->newConnection;
        result.member = this->member;
        result.endedByTarget = this->endedByTarget;
        result.response = std::move(this->reader.message());
        result.outcome = classifyResponse(result.response, this->owner.headerNames, this->spec.requestId);
        if (result.outcome == grants::AttemptOutcome::ConnectionBroken)
            result.reason = "unproven";
        // Another instance at the address speaks of itself.
        const bool isOfThisTarget = result.outcome != grants::AttemptOutcome::InstanceReplaced;
        if (isOfThisTarget)
            this->readTargetState(result.response, result);
        // A response that isn't signed says nothing of the limit.
        if (isOfThisTarget && result.outcome != grants::AttemptOutcome::ConnectionBroken)
            result.limit = readLimit(result.response, this->owner.headerNames.requestLimit);
        const bool reuse = this->reusable && !this->mustClose && !this->writing && result.response.keepAlive && result.outcome != grants::AttemptOutcome::ConnectionBroken && result.outcome != grants::AttemptOutcome::InstanceReplaced;
        this->idleTimeout = announcedIdleTimeout(result.response);
        this->finishAttempt(std::move(result), reuse);
    }

    // Reads what a response says of its target rather than of the request.
    void readTargetState(const HttpMessage& response, AttemptResult& result) const
    {
        result.targetLeaving = headerValue(response, this->owner.headerNames.targetLeaving) == "1";
        const std::string_view retryAfter = headerValue(response, "retry-after");
        if (response.status != 503 || retryAfter.empty())
            return;
        result.holdOff = parseRetryAfter(retryAfter);
        result.holdOffUnreadable = !result.holdOff;
    }

    void failAttempt(grants::AttemptOutcome outcome, std::string_view reason)
    {
        AttemptResult result;
        // The headers of a response that breaks off may be whole.
        this->readTargetState(this->reader.message(), result);
        result.outcome = outcome;
        result.sent = this->sent;
        result.newConnection = this->newConnection;
        result.member = this->member;
        result.endedByTarget = this->endedByTarget;
        result.reason = reason;
        this->finishAttempt(std::move(result), false);
    }

    void finishAttempt(AttemptResult result, bool reuse)
    {
        const std::shared_ptr<TargetConnection> self = this->shared_from_this();
        const AttemptHandler completion = std::move(this->handler);
        this->handler = nullptr;
        this->countHeldBytes(0);
        this->owner.activeConnections.erase(this->attempt);
        if (reuse) {
            this->spec.requestBytes = {};
            this->spec.requestBody = nullptr;
            this->newConnection = false;
            this->idleSince = Clock::now();
            auto& connections = this->owner.idleConnections[this->instance];
            if (connections.size() >= maxIdlePerInstance) {
                connections.front()->close();
                connections.erase(connections.begin());
            }
            connections.push_back(self);
            this->read();
        } else {
            this->close();
        }
        if (completion)
            completion(std::move(result));
    }

    void removeFromIdle()
    {
        const std::shared_ptr<TargetConnection> self = this->shared_from_this();
        this->close();
        const auto connections = this->owner.idleConnections.find(this->instance);
        if (connections == this->owner.idleConnections.end())
            return;
        std::erase(connections->second, self);
        if (connections->second.empty())
            this->owner.idleConnections.erase(connections);
    }

    TargetConnections& owner;
    std::string instance;
    asio::ip::tcp::socket socket;
    // Set while the connection is being established.
    std::shared_ptr<TargetConnector> connector;
    std::string member;
    // Set if the member passes on in frames what the target sends.
    std::optional<TunnelFrameReader> frames;
    MessageReader reader;
    std::string inputBuffer;
    AttemptSpec spec;
    AttemptHandler handler;
    std::uint64_t attempt { 0 };
    // Of the response, as counted in TargetConnections::responseBytes.
    std::uint64_t heldBytes { 0 };
    unsigned ignoredResponses { 0 };
    TimePoint idleSince;
    TimePoint lastReadAt;
    Duration idleTimeout { 0 };
    bool newConnection { false };
    bool sent { false };
    bool writing { false };
    bool reading { false };
    bool mustClose { false };
    bool writeFailed { false };
    bool endedByTarget { false };
    bool reusable { true };
    bool closed { false };
};

TargetConnections::TargetConnections(asio::io_context& ioContext, HeaderNames names, TargetPaths& targetPaths, PathCallbacks pathCallbacks)
    : context(ioContext)
    , headerNames(std::move(names))
    , paths(targetPaths)
    , callbacks(std::move(pathCallbacks))
{
}

TargetConnections::~TargetConnections()
{
    for (auto& [instance, connections] : this->idleConnections) {
        for (const auto& connection : connections)
            connection->close();
    }
    for (auto& [attempt, connection] : this->activeConnections)
        connection->close();
    for (const auto& check : this->livenessChecks)
        check->cancel();
}

std::uint64_t TargetConnections::start(AttemptSpec spec, AttemptHandler handler)
{
    const std::uint64_t number = ++this->lastAttempt;
    std::shared_ptr<TargetConnection> connection;
    if (const auto idle = this->idleConnections.find(spec.instance); idle != this->idleConnections.end()) {
        while (!idle->second.empty() && !connection) {
            connection = idle->second.back();
            idle->second.pop_back();
            if (!this->isReusable(*connection, spec.idempotent)) {
                connection->close();
                connection = nullptr;
            }
        }
        if (idle->second.empty())
            this->idleConnections.erase(idle);
    }
    if (!connection)
        connection = std::make_shared<TargetConnection>(*this, spec.instance);
    this->activeConnections.emplace(number, connection);
    connection->start(number, std::move(spec), std::move(handler));
    return number;
}

bool TargetConnections::isReceiving(std::uint64_t attempt) const
{
    const auto found = this->activeConnections.find(attempt);
    return found != this->activeConnections.end() && found->second->isReceiving();
}

void TargetConnections::cancel(std::uint64_t attempt)
{
    const auto found = this->activeConnections.find(attempt);
    if (found == this->activeConnections.end())
        return;
    const std::shared_ptr<TargetConnection> connection = found->second;
    this->activeConnections.erase(found);
    connection->close();
}

void TargetConnections::checkAlive(std::string instance, std::string address, std::function<void(bool)> handler)
{
    const auto check = std::make_shared<LivenessCheck>(*this, std::move(instance), std::move(address), std::move(handler));
    this->livenessChecks.insert(check);
    check->start();
}

bool TargetConnections::isReusable(const TargetConnection& connection, bool idempotent) const
{
    const bool doubtful = connection.throughMember().empty() && areDirectConnectionsDoubtful(this->paths);
    return !doubtful && connection.isReusable(idempotent);
}

bool TargetConnections::hasIdle(const std::string& instance, bool idempotent) const
{
    const auto found = this->idleConnections.find(instance);
    return found != this->idleConnections.end() && std::any_of(found->second.begin(), found->second.end(), [this, idempotent](const auto& connection) { return this->isReusable(*connection, idempotent); });
}

void TargetConnections::closeIdle(const std::string& instance)
{
    for (const auto& [attempt, connection] : this->activeConnections) {
        if (connection->targetInstance() == instance)
            connection->forbidReuse();
    }
    const auto found = this->idleConnections.find(instance);
    if (found == this->idleConnections.end())
        return;
    for (const auto& connection : found->second)
        connection->close();
    this->idleConnections.erase(found);
}

void TargetConnections::closeIdleThrough(std::string_view member)
{
    for (const auto& [attempt, connection] : this->activeConnections) {
        if (connection->throughMember() == member)
            connection->forbidReuse();
    }
    for (auto& [instance, connections] : this->idleConnections) {
        std::erase_if(connections, [member](const auto& connection) {
            const bool matches = connection->throughMember() == member;
            if (matches)
                connection->close();
            return matches;
        });
    }
    std::erase_if(this->idleConnections, [](const auto& item) { return item.second.empty(); });
}

std::size_t TargetConnections::idleConnectionCount() const noexcept
{
    std::size_t count = 0;
    for (const auto& [instance, connections] : this->idleConnections)
        count += connections.size();
    return count;
}

}
