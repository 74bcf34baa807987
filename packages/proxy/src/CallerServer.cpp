#include "flamingowick/proxy/CallerServer.h"

#include "CallerStream.h"
#include "LargeBodies.h"

#include <asio/post.hpp>

#include <vector>

namespace flamingowick::proxy {

namespace {

    // Delay before accepting again after an error, such as running out of file descriptors.
    constexpr Duration acceptRetryDelay { std::chrono::milliseconds(50) };
    constexpr std::size_t readBufferBytes = 16U << 10U;
    // Of a bounded server's connection: the kernel's buffers, which grow to some megabytes, aren't counted in its budget.
    constexpr int maxUnsentBytes = 128 << 10;
    // The same of what is unread, also on connections that haven't been accepted yet, which may be many and are read in turn.
    constexpr int maxUnreadBytes = 16 << 10;
    // Interval at which slow callers are looked for while there are none.
    constexpr Duration cutInterval { std::chrono::milliseconds(50) };

}

CallerServer::CallerServer(asio::io_context& ioContext, std::string_view address, unsigned connectionLimit, CallerServerHandlers serverHandlers)
    : context(ioContext)
    , acceptor(listenOn(ioContext, address))
    , acceptRetryTimer(ioContext)
    , maxConnections(connectionLimit)
    , handlers(std::move(serverHandlers))
    , inputBuffer(readBufferBytes, '\0')
{
    this->accept();
}

CallerServer::~CallerServer()
{
    const std::vector<std::shared_ptr<CallerStream>> snapshot(this->connections.begin(), this->connections.end());
    for (const auto& connection : snapshot)
        connection->close();
}

void CallerServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            this->acceptRetryTimer.expires_after(acceptRetryDelay);
            this->acceptRetryTimer.async_wait([this](const asio::error_code& waitError) {
                if (!waitError && this->acceptor.is_open())
                    this->accept();
            });
            return;
        }
        if (this->connections.size() < this->maxConnections || this->closeLeastUseful()) {
            setSocketOptions(socket);
            if (this->memoryLimits.maxBytes > 0)
                limitUnsentBytes(socket, maxUnsentBytes);
            auto connection = std::make_shared<CallerStream>(*this, std::move(socket));
            this->connections.insert(connection);
            connection->start();
        }
        this->accept();
    });
}

bool CallerServer::closeLeastUseful()
{
    const TimePoint now = Clock::now();
    std::shared_ptr<CallerStream> chosen;
    std::pair<ConnectionUse, TimePoint> least { ConnectionUse::Serving, {} };
    for (const auto& connection : this->connections) {
        const std::pair use { connection->use(now), connection->quietSince() };
        if (use.first < ConnectionUse::Serving && (!chosen || use < least)) {
            chosen = connection;
            least = use;
        }
    }
    if (!chosen)
        return false;
    chosen->cutOff();
    ++this->replacedConnections;
    return true;
}

void CallerServer::boundMemory(const MemoryLimits& limits, std::function<std::uint64_t()> elsewhere)
{
    this->memoryLimits = limits;
    this->heldElsewhere = std::move(elsewhere);
    asio::error_code ignored;
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(maxUnreadBytes), ignored);
}

std::uint64_t CallerServer::excessBytes() const
{
    if (this->memoryLimits.maxBytes == 0)
        return 0;
    const std::uint64_t held = this->callerBytes + (this->heldElsewhere ? this->heldElsewhere() : 0);
    return held > this->memoryLimits.maxBytes ? held - this->memoryLimits.maxBytes : 0;
}

void CallerServer::changeHeldBytes(std::uint64_t before, std::uint64_t after)
{
    this->callerBytes += after - before;
    if (after <= before || this->cutScheduled || this->excessBytes() == 0 || Clock::now() < this->nextCutAt)
        return;
    // Posted, since the connection that reports the change is in the middle of it.
    this->cutScheduled = true;
    asio::post(this->context, [this, alive = std::weak_ptr<char>(this->lifetimeToken)] {
        if (!alive.expired())
            this->cutSlowReaders();
    });
}

void CallerServer::cutSlowReaders()
{
    this->cutScheduled = false;
    std::vector<std::shared_ptr<CallerStream>> streams;
    std::vector<HoldingCaller> readers;
    for (const auto& connection : this->connections) {
        if (const std::optional<TimePoint> since = connection->writingSince()) {
            streams.push_back(connection);
            readers.push_back({ connection->heldBytes(), *since });
        }
    }
    const std::vector<std::size_t> chosen = chooseCallersToCut(readers, this->excessBytes(), this->memoryLimits, Clock::now());
    for (const std::size_t index : chosen)
        streams[index]->cutOff();
    this->cutReaders += chosen.size();
    if (chosen.empty())
        this->nextCutAt = Clock::now() + cutInterval;
}

void CallerServer::boundReceiving(CallerStream& newest)
{
    const auto excess = [this] { return this->memoryLimits.maxBytes > 0 && this->incompleteBytes > this->memoryLimits.maxReceivingBytes ? this->incompleteBytes - this->memoryLimits.maxReceivingBytes : 0; };
    if (excess() > 0)
        this->cutSlowSenders(newest, excess(), [](const CallerStream& stream) { return stream.receivingBytes(); });
    if (excess() > 0)
        newest.refuseIncomplete();
}

bool CallerServer::reserveBody(const CallerStream& stream, BodyReservation& reservation, std::uint64_t bytes)
{
    const std::uint64_t limit = this->memoryLimits.maxBytes > 0 ? this->memoryLimits.maxLargeBodyBytes : 0;
    if (reservation.growTo(bytes, limit))
        return true;
    const std::uint64_t others = *this->reservedBodyBytes - reservation.bytes();
    this->cutSlowSenders(stream, others + bytes - limit, [](const CallerStream& other) { return other.reservedBytes(); });
    return reservation.growTo(bytes, limit);
}

void CallerServer::cutSlowSenders(const CallerStream& exempt, std::uint64_t excessBytes, const std::function<std::uint64_t(const CallerStream&)>& heldBy)
{
    const TimePoint now = Clock::now();
    if (now < this->nextSenderCutAt)
        return;
    std::vector<std::shared_ptr<CallerStream>> streams;
    std::vector<HoldingCaller> senders;
    for (const auto& connection : this->connections) {
        const std::uint64_t held = heldBy(*connection);
        if (held > 0 && connection.get() != &exempt && connection->isSlowSender(now)) {
            streams.push_back(connection);
            senders.push_back({ held, connection->receivingSince() });
        }
    }
    const std::vector<std::size_t> chosen = chooseCallersToCut(senders, excessBytes, this->memoryLimits, now);
    for (const std::size_t index : chosen)
        streams[index]->refuseIncomplete();
    this->cutSenders += chosen.size();
    if (chosen.empty())
        this->nextSenderCutAt = now + cutInterval;
}

void CallerServer::closeIdle()
{
    asio::error_code ignored;
    this->acceptor.close(ignored);
    this->acceptRetryTimer.cancel();
    const std::vector<std::shared_ptr<CallerStream>> snapshot(this->connections.begin(), this->connections.end());
    for (const auto& connection : snapshot) {
        if (!connection->isServing())
            connection->close();
    }
}

std::size_t CallerServer::servingCount() const
{
    std::size_t count = 0;
    for (const auto& connection : this->connections)
        count += connection->isServing() ? 1 : 0;
    return count;
}

}
