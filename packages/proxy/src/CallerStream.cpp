#include "CallerStream.h"

#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace flamingowick::proxy {

namespace {

    // Bytes of pipelined requests that are buffered before they are parsed; beyond that the socket isn't read.
    constexpr std::size_t maxBufferedBytes = 64U << 10U;
    // Added to the idle timeout, because a caller that sends a request just before the timeout must not find the
    // connection closed when the request arrives.
    constexpr Duration idleTimeoutMargin { std::chrono::milliseconds(500) };
    // How long a connection waits for the caller to close it after the last response.
    constexpr Duration lingerTimeout { std::chrono::seconds(1) };
    // Value of Retry-After, in seconds, of a request that is refused for lack of memory: slow readers are cut off by then.
    constexpr std::string_view memoryRetryAfter = "0.500";

    void appendHeader(std::string& out, std::string_view name, std::string_view value)
    {
        out.append(name).append(": ").append(value).append("\r\n");
    }

    // Keeps a link busy over some milliseconds of delay. Only as many connections have it as have room reserved for a large body.
    constexpr int maxUnreadBytesOfLargeBody = 256 << 10;

    bool hasNoBody(unsigned status) noexcept { return status == 204 || status == 304 || status < 200; }

    // Returns the header without the statement that the connection is closed and without the empty line.
    std::string serializeHeader(const HttpMessage& response)
    {
        std::string header;
        header.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ").append(reasonPhrase(response.status)).append("\r\n");
        for (const Header& item : response.headers) {
            if (!isHopByHopHeader(response, item.name) && !headerNamesEqual(item.name, "content-length"))
                appendHeader(header, item.name, item.value);
        }
        if (!hasNoBody(response.status))
            appendHeader(header, "Content-Length", std::to_string(response.body.size()));
        return header;
    }

}

void CallerInput::append(std::string_view bytes, TimePoint now)
{
    if (bytes.empty())
        return;
    if (this->start > 0) {
        this->text.erase(0, this->start);
        this->start = 0;
    }
    this->text.append(bytes);
    this->arrivals.push_back({ bytes.size(), now });
}

void CallerInput::consume(std::size_t count)
{
    this->start += count;
    if (this->start == this->text.size()) {
        // Most connections are idle.
        this->release();
    }
    while (count > 0) {
        Arrival& oldest = this->arrivals.front();
        const std::size_t part = std::min(count, oldest.count);
        oldest.count -= part;
        count -= part;
        if (oldest.count == 0)
            this->arrivals.pop_front();
    }
}

void CallerInput::clear()
{
    this->release();
    this->arrivals.clear();
}

void CallerInput::release()
{
    // An assignment of an empty string would keep the memory.
    std::string().swap(this->text);
    this->start = 0;
}

CallerExchange::CallerExchange(std::shared_ptr<CallerStream> owner, HttpMessage received, TimePoint firstByteAt)
    : stream(std::move(owner))
    , message(std::move(received))
    , startedAt(firstByteAt)
{
}

void CallerExchange::respond(HttpMessage response) { this->stream->respond(*this, std::move(response)); }

CallerExchange::~CallerExchange() = default;

std::optional<asio::ip::tcp::socket> CallerExchange::takeSocket() { return this->stream->takeSocket(); }

void CallerExchange::close() { this->stream->close(); }

CallerStream::CallerStream(CallerServer& owner, asio::ip::tcp::socket accepted)
    : server(owner)
    , socket(std::move(accepted))
    , timer(owner.context)
    , reader(MessageReader::Kind::Requests, {})
{
    asio::error_code ignored;
    this->socket.non_blocking(true, ignored);
}

void CallerStream::start()
{
    this->setTimeout(this->server.handlers.limits().idleTimeout + idleTimeoutMargin);
    // The first request has often arrived by now.
    this->handleReadable({});
}

void CallerStream::read()
{
    if (this->reading || this->closed)
        return;
    this->reading = true;
    // A buffer for each idle connection would take more memory than all requests.
    this->socket.async_wait(asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](const asio::error_code& error) {
        self->reading = false;
        self->handleReadable(error);
    });
}

void CallerStream::handleReadable(const asio::error_code& waitError)
{
    if (this->closed)
        return;
    asio::error_code error = waitError;
    const std::size_t size = error ? 0 : this->socket.read_some(asio::buffer(this->server.inputBuffer), error);
    if (error == asio::error::would_block) {
        this->read();
        return;
    }
    if (error) {
        this->handleDisconnect();
        return;
    }
    // What follows the last request is dropped, but the end of the connection has to be noticed.
    if (!this->lingering && !this->inputEnded) {
        const TimePoint now = Clock::now();
        if (!this->isReceiving()) {
            this->receivingStartedAt = now;
            this->sendingRate = { now };
        }
        recordReceived(this->sendingRate, size, this->server.memoryLimits, now);
        this->input.append(std::string_view(this->server.inputBuffer).substr(0, size), now);
        this->serveInput();
        this->boundReceivedBytes();
    }
    if (this->input.bytes().size() < maxBufferedBytes)
        this->read();
}

void CallerStream::serveInput()
{
    // A handler that responds at once leads back here.
    if (this->serving)
        return;
    this->serving = true;
    do {
        this->startRequests();
        this->writeNext();
    } while (!this->closed && !this->inputEnded && !this->input.bytes().empty() && (this->reader.hasStarted() || mayReadNext(this->queue, this->server.stopping)) && this->parseInput());
    this->serving = false;
}

bool CallerStream::parseInput()
{
    const CallerLimits limits = this->server.handlers.limits();
    if (!this->reader.hasStarted()) {
        const MemoryLimits& memoryLimits = this->server.memoryLimits;
        const std::uint64_t maxBodyBytes = memoryLimits.maxBytes > 0 ? std::min(limits.maxBodyBytes, memoryLimits.maxSingleBodyBytes) : limits.maxBodyBytes;
        this->reader.restart({ limits.maxHeaderBytes, maxBodyBytes, limits.maxHeaderFields });
        this->startedAt = this->input.oldestArrival();
        this->setTimeout(limits.headerTimeout);
    }
    const bool headersWereComplete = this->reader.hasCompleteHeaders();
    this->input.consume(this->reader.parse(this->input.bytes()));
    switch (this->reader.state()) {
    case ReadState::Complete:
        this->acceptRequest();
        return true;
    case ReadState::Malformed:
        this->acceptError(400);
        return true;
    case ReadState::HeaderTooLarge:
        this->acceptError(431);
        return true;
    case ReadState::BodyTooLarge:
        this->acceptError(413);
        return true;
    case ReadState::Incomplete:
        break;
    }
    if (!this->reader.hasCompleteHeaders())
        return false;
    if (!this->reserveBody()) {
        this->refuseBody();
        return true;
    }
    // Receiving a body has no total timeout: each read restarts the idle timeout.
    this->setTimeout(limits.idleTimeout);
    if (!headersWereComplete && headerNamesEqual(headerValue(this->reader.message(), "expect"), "100-continue")) {
        this->continueDue = true;
        this->sendContinueIfDue();
    }
    return false;
}

bool CallerStream::reserveBody()
{
    const std::uint64_t needed = std::max<std::uint64_t>(this->reader.declaredBodyBytes(), this->reader.message().body.size());
    if (needed <= maxSmallBodyBytes || (this->bodyReservation && needed <= this->bodyReservation->bytes()))
        return true;
    const bool isFirst = !this->bodyReservation;
    if (isFirst)
        this->bodyReservation = std::make_unique<BodyReservation>(this->server.reservedBodyBytes);
    if (!this->server.reserveBody(*this, *this->bodyReservation, needed))
        return false;
    if (isFirst) {
        this->reader.allocateWholeBody();
        limitUnreadBytes(this->socket, maxUnreadBytesOfLargeBody);
    }
    return true;
}

std::uint64_t CallerStream::readBytes() const
{
    const std::uint64_t held = this->reader.heldBytes();
    return held - std::min(held, this->bodyReservation ? this->bodyReservation->bytes() : 0);
}

void CallerStream::dropRead()
{
    this->reader.restart({});
    this->bodyReservation = nullptr;
}

void CallerStream::refuseBody()
{
    this->dropRead();
    this->enqueue({}, true, true);
    this->refuse(*this->exchanges.back());
}

void CallerStream::refuseIncomplete()
{
    this->input.clear();
    if (this->reader.hasStarted()) {
        this->refuseBody();
    } else {
        endWithNewest(this->queue);
        this->inputEnded = true;
        this->countHeldBytes();
    }
    this->read();
}

void CallerStream::sendContinueIfDue()
{
    // It belongs to the next response, so that those before it come first.
    if (!this->continueDue || !this->exchanges.empty())
        return;
    this->continueDue = false;
    asio::error_code ignored;
    constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    this->socket.write_some(asio::buffer(interimResponse.data(), interimResponse.size()), ignored);
}

void CallerStream::enqueue(HttpMessage&& message, bool last, bool concurrent)
{
    const std::uint64_t bytes = this->readBytes();
    const auto exchange = std::make_shared<CallerExchange>(this->shared_from_this(), std::move(message), this->startedAt);
    exchange->bodyReservation = std::move(this->bodyReservation);
    exchange->number = addRequest(this->queue, concurrent, last, bytes);
    this->exchanges.push_back(exchange);
    this->inputEnded = last;
    this->continueDue = false;
    this->reader.restart({});
}

void CallerStream::acceptRequest()
{
    HttpMessage& message = this->reader.message();
    const bool concurrent = this->server.handlers.mayRunConcurrently && this->server.handlers.mayRunConcurrently(message);
    // What the kernel receives ahead on a connection can't be lowered once it was raised for a large body.
    const bool last = !message.keepAlive || this->bodyReservation;
    this->enqueue(std::move(message), last, concurrent);
}

void CallerStream::acceptError(unsigned status)
{
    this->dropRead();
    this->enqueue({}, true, true);
    // Nothing is to be done for it, so that it need not wait for its turn.
    HttpMessage response;
    response.status = status;
    this->respond(*this->exchanges.back(), std::move(response));
}

void CallerStream::startRequests()
{
    while (!this->closed) {
        const std::optional<std::uint64_t> number = startNext(this->queue, this->server.stopping);
        if (!number)
            return;
        const auto found = std::find_if(this->exchanges.begin(), this->exchanges.end(), [&number](const auto& exchange) { return exchange->number == *number; });
        const std::shared_ptr<CallerExchange> exchange = *found;
        if (this->server.excessBytes() > 0)
            this->refuse(*exchange);
        else
            this->server.handlers.onRequest(exchange);
    }
}

void CallerStream::refuse(CallerExchange& exchange)
{
    ++this->server.refusedForMemory;
    HttpMessage response;
    response.status = 503;
    response.headers.push_back({ "Retry-After", std::string(memoryRetryAfter) });
    response.body = "no memory\n";
    this->respond(exchange, std::move(response));
}

ConnectionUse CallerStream::use(TimePoint now) const noexcept
{
    if (this->lingering)
        return ConnectionUse::Ending;
    if (!this->exchanges.empty())
        return ConnectionUse::Serving;
    if (this->isReceiving())
        return this->isSlowSender(now) ? ConnectionUse::SendingSlowly : ConnectionUse::Serving;
    return this->hasServed ? ConnectionUse::Idle : ConnectionUse::Unused;
}

void CallerStream::countHeldBytes()
{
    const std::uint64_t receiving = this->closed ? 0 : this->input.heldBytes() + this->readBytes();
    this->server.incompleteBytes += receiving - std::exchange(this->countedReceivingBytes, receiving);
    const std::uint64_t held = this->closed ? 0 : proxy::heldBytes(this->queue) + receiving;
    const std::uint64_t before = std::exchange(this->countedBytes, held);
    this->server.changeHeldBytes(before, held);
}

void CallerStream::boundReceivedBytes()
{
    this->countHeldBytes();
    if (this->isReceiving() && !this->closed)
        this->server.boundReceiving(*this);
}

void CallerStream::respond(CallerExchange& exchange, HttpMessage response)
{
    const bool awaited = std::any_of(this->exchanges.begin(), this->exchanges.end(), [&exchange](const auto& item) { return item.get() == &exchange; });
    if (this->closed || !awaited || !exchange.responseHeader.empty())
        return;
    exchange.onDisconnect = nullptr;
    exchange.responseHeader = serializeHeader(response);
    if (!hasNoBody(response.status) && exchange.message.method != "HEAD")
        exchange.responseBody = std::move(response.body);
    recordResponse(this->queue, exchange.number, exchange.responseHeader.size() + exchange.responseBody.size());
    this->countHeldBytes();
    this->writeNext();
}

void CallerStream::writeNext()
{
    if (this->closed || this->writing)
        return;
    const std::optional<NextResponse> next = nextResponse(this->queue, this->server.stopping);
    if (!next)
        return;
    this->writing = true;
    this->writeStartedAt = Clock::now();
    this->closeAfterWrite = next->closes;
    CallerExchange& exchange = *this->exchanges.front();
    if (next->closes) {
        this->inputEnded = true;
        appendHeader(exchange.responseHeader, "Connection", "close");
        this->cancelBehindFirst();
    }
    exchange.responseHeader.append("\r\n");
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(exchange.responseHeader), asio::buffer(exchange.responseBody) };
    asio::async_write(this->socket, buffers, [self = this->shared_from_this(), written = this->exchanges.front()](const asio::error_code& error, std::size_t) { self->handleWrite(error); });
}

// Requests behind a response that closes the connection count as not read, so that the caller sends them again.
void CallerStream::cancelBehindFirst()
{
    removeBehindFirst(this->queue);
    const std::vector<std::shared_ptr<CallerExchange>> cancelled(std::next(this->exchanges.begin()), this->exchanges.end());
    this->exchanges.resize(1);
    for (const auto& exchange : cancelled) {
        if (const std::function<void()> callback = std::exchange(exchange->onDisconnect, nullptr))
            callback();
    }
}

void CallerStream::handleWrite(const asio::error_code& error)
{
    this->writing = false;
    if (this->closed)
        return;
    if (error) {
        this->handleDisconnect();
        return;
    }
    removeFirst(this->queue);
    this->exchanges.pop_front();
    this->idleSince = Clock::now();
    this->hasServed = true;
    this->countHeldBytes();
    if (this->closeAfterWrite || (this->inputEnded && this->exchanges.empty())) {
        this->startLingeringClose();
        return;
    }
    if (this->exchanges.empty() && !this->reader.hasStarted())
        this->setTimeout(this->server.handlers.limits().idleTimeout + idleTimeoutMargin);
    this->sendContinueIfDue();
    this->serveInput();
    this->boundReceivedBytes();
    if (this->input.bytes().size() < maxBufferedBytes)
        this->read();
}

void CallerStream::startLingeringClose()
{
    // Closing a socket that has unread bytes resets the connection, and the caller could lose the response. So only the
    // sending side is shut down, and input is read and dropped until the caller closes.
    this->lingering = true;
    this->input.clear();
    this->countHeldBytes();
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->setTimeout(lingerTimeout);
    this->read();
}

void CallerStream::handleDisconnect()
{
    std::vector<std::function<void()>> callbacks;
    for (const auto& exchange : this->exchanges)
        callbacks.push_back(std::exchange(exchange->onDisconnect, nullptr));
    this->close();
    for (const auto& callback : callbacks) {
        if (callback)
            callback();
    }
}

std::optional<asio::ip::tcp::socket> CallerStream::takeSocket()
{
    if (this->closed || this->reading || !this->input.bytes().empty() || this->exchanges.size() != 1)
        return std::nullopt;
    std::optional<asio::ip::tcp::socket> taken(std::move(this->socket));
    this->close();
    return taken;
}

void CallerStream::close()
{
    if (this->closed)
        return;
    this->closed = true;
    for (const auto& exchange : this->exchanges)
        exchange->onDisconnect = nullptr;
    this->exchanges.clear();
    this->queue.requests.clear();
    this->countHeldBytes();
    asio::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->server.connections.erase(this->shared_from_this());
}

void CallerStream::setTimeout(Duration timeout)
{
    this->timeoutAt = Clock::now() + timeout;
    if (!this->timerArmed || this->timeoutAt < this->timer.expiry())
        this->startTimer();
}

void CallerStream::startTimer()
{
    this->timerArmed = true;
    this->timer.expires_at(this->timeoutAt);
    this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
        if (!error && !self->closed)
            self->handleTimeout();
    });
}

void CallerStream::handleTimeout()
{
    this->timerArmed = false;
    if (Clock::now() < this->timeoutAt) {
        this->startTimer();
        return;
    }
    if (this->lingering) {
        this->close();
        return;
    }
    if (this->reader.hasStarted() && !this->inputEnded) {
        this->acceptError(408);
        return;
    }
    // A request that is being served has its own deadline.
    if (this->exchanges.empty())
        this->close();
}

}
