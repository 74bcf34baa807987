#pragma once

#include "flamingowick/proxy/Configuration.h"
#include "flamingowick/proxy/HttpMessage.h"
#include "flamingowick/proxy/SlowCallers.h"
#include "flamingowick/proxy/Sockets.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

// HTTP/1.1 server for callers.
namespace flamingowick::proxy {

class BodyReservation;
class CallerServer;
class CallerStream;

// One request of a caller, and the way to respond to it. Requests of one connection that may be repeated are served at the
// same time; their responses go out in the order of the requests.
class CallerExchange : public std::enable_shared_from_this<CallerExchange> {
public:
    CallerExchange(std::shared_ptr<CallerStream>, HttpMessage received, TimePoint firstByteAt);
    ~CallerExchange();
    CallerExchange(const CallerExchange&) = delete;
    CallerExchange& operator=(const CallerExchange&) = delete;

    const HttpMessage& request() const noexcept { return this->message; }
    // When the first byte of the request was received.
    TimePoint requestStartedAt() const noexcept { return this->startedAt; }

    // Sends the response once those to earlier requests have been sent. Must be called once; ignored when the connection is
    // closed. Drops hop-by-hop headers and adds Content-Length, and Connection: close where the connection won't be reused.
    void respond(HttpMessage response);

    // Called once if the caller disconnects before respond() is called, which clears it, or if the response to an earlier
    // request closes the connection.
    std::function<void()> onDisconnect;

    // Gives up the connection for another protocol: the caller of this function gets the socket. None if more than this request
    // has been received. To be called by onRequest.
    std::optional<asio::ip::tcp::socket> takeSocket();

    // Closes the connection at once; no handler is called afterwards.
    void close();

private:
    friend class CallerStream;

    std::shared_ptr<CallerStream> stream;
    HttpMessage message;
    TimePoint startedAt;
    // Of a large body; null for others.
    std::unique_ptr<BodyReservation> bodyReservation;
    // On the connection.
    std::uint64_t number { 0 };
    // The response until it has been written: its header without the last line, and its body.
    std::string responseHeader;
    std::string responseBody;
};

struct CallerServerHandlers {
    // Returns the limits that apply to the next request.
    std::function<CallerLimits()> limits;
    // Called when a complete request has been received and may run.
    std::function<void(const std::shared_ptr<CallerExchange>&)> onRequest;
    // Whether a request may be repeated, and so may run beside others of its connection. No request may if it isn't set.
    std::function<bool(const HttpMessage&)> mayRunConcurrently {};
};

class CallerServer {
public:
    // Starts listening. A connection above the maximum takes the place of one that serves no request and whose caller sends none, or too
    // slowly; it is closed itself if there is none. Throws SettingsError 111 for an invalid address, GatewayError 400 when it can't be
    // listened on.
    CallerServer(asio::io_context&, std::string_view address, unsigned maxConnections, CallerServerHandlers);
    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    // From now on each response carries Connection: close, and its connection is closed after it.
    void beginStop() noexcept { this->stopping = true; }
    bool isStopping() const noexcept { return this->stopping; }

    // Bounds what is held for callers, together with what the function says is held elsewhere. Beyond the limit slow readers
    // are cut off, and requests that haven't started get 503 while that isn't enough. Requests that aren't complete yet have a part
    // of it, and large bodies of requests a bound of their own, which one of them may exceed: beyond these, requests of slow senders get
    // 503, and while that isn't enough the request that needs more does. Without this call there is no bound.
    void boundMemory(const MemoryLimits&, std::function<std::uint64_t()> heldElsewhere);

    // Bytes of requests and responses that are held, over all connections, without large bodies of requests.
    std::uint64_t heldBytes() const noexcept { return this->callerBytes; }
    // Bytes of large bodies of requests that are held or announced.
    std::uint64_t largeBodyBytes() const noexcept { return *this->reservedBodyBytes; }
    // Bytes of requests that aren't complete, without large bodies.
    std::uint64_t receivingBytes() const noexcept { return this->incompleteBytes; }
    std::uint64_t readersCutOff() const noexcept { return this->cutReaders; }
    std::uint64_t sendersCutOff() const noexcept { return this->cutSenders; }
    std::uint64_t connectionsReplaced() const noexcept { return this->replacedConnections; }
    std::uint64_t requestsRefusedForMemory() const noexcept { return this->refusedForMemory; }

    // Stops listening and closes all connections that have no request in progress.
    void closeIdle();

    // Returns the number of connections with a request whose response has not been written completely.
    std::size_t servingCount() const;

private:
    friend class CallerStream;

    void accept();
    // Closes the connection that is of least use, so that another one can be opened. Returns whether there was one. Linear in the
    // connections.
    bool closeLeastUseful();
    // Counts a change of the bytes that a connection holds.
    void changeHeldBytes(std::uint64_t before, std::uint64_t after);
    std::uint64_t excessBytes() const;
    void cutSlowReaders();
    // Makes room after the connection has received bytes of a request that isn't complete: refuses those of slow senders, and this one
    // if that isn't enough.
    void boundReceiving(CallerStream& newest);
    // Grows the reservation of the connection's large body, at the expense of slow senders' if there is no room. Returns whether there is.
    bool reserveBody(const CallerStream&, BodyReservation&, std::uint64_t bytes);
    // Refuses the requests of slow senders, other than the connection, of which the function says that they hold bytes, as many as free
    // the excess. Linearithmic in the connections, but only every 50 ms while there are none.
    void cutSlowSenders(const CallerStream&, std::uint64_t excessBytes, const std::function<std::uint64_t(const CallerStream&)>& heldBy);

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    Timer acceptRetryTimer;
    unsigned maxConnections;
    CallerServerHandlers handlers;
    std::unordered_set<std::shared_ptr<CallerStream>> connections;
    // Into which all connections read.
    std::string inputBuffer;
    MemoryLimits memoryLimits { 0 };
    std::function<std::uint64_t()> heldElsewhere;
    std::uint64_t callerBytes { 0 };
    std::shared_ptr<std::uint64_t> reservedBodyBytes { std::make_shared<std::uint64_t>(0) };
    std::uint64_t incompleteBytes { 0 };
    std::uint64_t cutReaders { 0 };
    std::uint64_t cutSenders { 0 };
    std::uint64_t replacedConnections { 0 };
    std::uint64_t refusedForMemory { 0 };
    TimePoint nextCutAt {};
    TimePoint nextSenderCutAt {};
    bool cutScheduled { false };
    bool stopping { false };
    std::shared_ptr<char> lifetimeToken { std::make_shared<char>() };
};

}
