#pragma once

#include "LargeBodies.h"

#include "flamingowick/proxy/CallerServer.h"
#include "flamingowick/proxy/PipelineQueue.h"

#include <deque>
#include <string_view>

// A caller's connection: reads requests, lets the pipeline queue decide which run, and writes the responses in order.
namespace flamingowick::proxy {

// Bytes that were received and not parsed yet, with the times at which they arrived.
class CallerInput {
public:
    void append(std::string_view bytes, TimePoint now);
    void consume(std::size_t count);
    void clear();
    // Memory that they take.
    std::size_t heldBytes() const noexcept { return this->text.empty() ? 0 : this->text.capacity(); }
    std::string_view bytes() const noexcept { return std::string_view(this->text).substr(this->start); }
    // When the first of the bytes arrived; there must be one.
    TimePoint oldestArrival() const noexcept { return this->arrivals.front().at; }

private:
    struct Arrival {
        std::size_t count;
        TimePoint at;
    };

    void release();

    std::string text;
    // Bytes at the start of the text that were consumed.
    std::size_t start { 0 };
    std::deque<Arrival> arrivals;
};

// What a connection is needed for, the least needed first.
enum class ConnectionUse : std::uint8_t {
    // Its last response has been written.
    Ending,
    // Its caller sends a request too slowly, or leaves it incomplete.
    SendingSlowly,
    // No request has been received.
    Unused,
    // It is kept for further requests.
    Idle,
    Serving,
};

class CallerStream : public std::enable_shared_from_this<CallerStream> {
public:
    CallerStream(CallerServer&, asio::ip::tcp::socket);
    CallerStream(const CallerStream&) = delete;
    CallerStream& operator=(const CallerStream&) = delete;

    void start();
    void respond(CallerExchange&, HttpMessage response);
    std::optional<asio::ip::tcp::socket> takeSocket();

    // Closes the connection at once; no handler is called afterwards.
    void close();

    // Ends the connection as if the caller had left.
    void cutOff() { this->handleDisconnect(); }

    // When the response that is being written was begun; none if there is none.
    std::optional<TimePoint> writingSince() const noexcept { return this->writing ? std::optional<TimePoint>(this->writeStartedAt) : std::nullopt; }
    // Bytes of requests and responses that are held.
    std::uint64_t heldBytes() const noexcept { return this->countedBytes; }

    // Bytes of a request that isn't complete, or waits to be parsed, without a large body.
    std::uint64_t receivingBytes() const noexcept { return this->countedReceivingBytes; }
    // Room for the large body that is being received.
    std::uint64_t reservedBytes() const noexcept { return this->bodyReservation ? this->bodyReservation->bytes() : 0; }
    // When the first byte of it was received.
    TimePoint receivingSince() const noexcept { return this->receivingStartedAt; }
    // Whether a request that isn't complete arrives too slowly to hold memory that others need.
    bool isSlowSender(TimePoint now) const noexcept { return this->isReceiving() && isSlow(this->sendingRate, this->server.memoryLimits, now); }
    ConnectionUse use(TimePoint now) const noexcept;
    // Since when it has served no request, or when the one that is being received began.
    TimePoint quietSince() const noexcept { return this->isReceiving() ? this->receivingStartedAt : this->idleSince; }
    // Drops what has been received of a request that isn't complete, or hasn't been parsed, and reads no further one: the former is
    // answered that it has not run for lack of memory, the latter waits behind requests whose last response closes the connection.
    void refuseIncomplete();

    // Whether a request has been received whose response has not been written completely.
    bool isServing() const noexcept { return !this->exchanges.empty(); }

private:
    void read();
    void handleReadable(const asio::error_code&);
    // Counts what is held now.
    void countHeldBytes();
    bool isReceiving() const noexcept { return !this->inputEnded && (this->reader.hasStarted() || !this->input.bytes().empty()); }
    // Counts received bytes, and keeps those of incomplete requests within their limit.
    void boundReceivedBytes();
    // Responds that the request has not run for lack of memory.
    void refuse(CallerExchange&);
    // Reads and starts requests as far as the queue allows.
    void serveInput();
    // Reserves room for the body that is being read, as far as it is known to be large. Returns whether there is any.
    bool reserveBody();
    // Bytes of the request that is being read, without a large body.
    std::uint64_t readBytes() const;
    // Drops what was read of the request that is being read.
    void dropRead();
    // Responds that the request, of which the body isn't read, has not run for lack of memory.
    void refuseBody();
    // Parses input up to the end of a request. Returns whether there is more to be done.
    bool parseInput();
    void acceptRequest();
    void acceptError(unsigned status);
    void enqueue(HttpMessage&& message, bool last, bool concurrent);
    void startRequests();
    void sendContinueIfDue();
    // Writes the next response if it is known.
    void writeNext();
    void handleWrite(const asio::error_code&);
    void cancelBehindFirst();
    void startLingeringClose();
    void handleDisconnect();
    void setTimeout(Duration);
    void startTimer();
    void handleTimeout();

    CallerServer& server;
    asio::ip::tcp::socket socket;
    Timer timer;
    MessageReader reader;
    CallerInput input;
    // Of the body that is being read, if it is large.
    std::unique_ptr<BodyReservation> bodyReservation;
    PipelineQueue queue;
    // Those of the queue, in its order.
    std::deque<std::shared_ptr<CallerExchange>> exchanges;
    // When the first byte of the request that is being read arrived.
    TimePoint startedAt;
    TimePoint timeoutAt;
    TimePoint writeStartedAt;
    // As counted in the server's sums.
    std::uint64_t countedBytes { 0 };
    std::uint64_t countedReceivingBytes { 0 };
    TimePoint receivingStartedAt;
    SendingRate sendingRate;
    // When the connection was accepted, or its last response had been written.
    TimePoint idleSince { Clock::now() };
    bool hasServed { false };
    bool timerArmed { false };
    bool serving { false };
    bool writing { false };
    bool closeAfterWrite { false };
    // No further request is read, because framing is lost or the caller sends none.
    bool inputEnded { false };
    bool lingering { false };
    bool closed { false };
    bool reading { false };
    // The caller waits for a statement that it may send the body.
    bool continueDue { false };
};

}
