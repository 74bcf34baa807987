#pragma once

#include "flamingowick/peers/Message.h"

#include <functional>
#include <memory>
#include <string>

// The port through which daemons reach each other, and its adapter on ZeroMQ.
namespace flamingowick::peers {

struct TransportSettings {
    DaemonId self;
    // Where this daemon listens, as "ip:port"; port 0 takes any free port.
    std::string address;
    // Messages that wait for the transport's thread.
    std::size_t sendCapacity { 4096 };
    // Messages that wait for one peer's connection.
    int peerQueueLength { 4096 };
    std::int64_t maxMessageBytes { 16LL << 20 };
};

// What the transport reports, on its own thread. None may block or throw.
struct TransportHandlers {
    std::function<void(Envelope)> onMessage;
    // The message was certainly not sent to that address, and will not be.
    std::function<void(const std::string& address, Message)> onNotSent;
    // The connection to that address was lost. Messages sent before may or may not have arrived.
    std::function<void(const std::string& address)> onLinkLost;
};

// Exchanges messages with peers on a thread of its own. A message goes only over an open
// connection: nothing is kept for a peer that returns later. Messages meant for another life of this
// daemon are dropped.
class PeerTransport {
public:
    // Opens the address and starts the thread. Throws PeerError 302 when the address can't be used.
    PeerTransport(const TransportSettings&, TransportHandlers);

    // Drops what waits and joins the thread.
    ~PeerTransport();

    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    // Queues a message. Returns false, and does not send it, when the queue is full. A message that
    // can't be handed to an open connection comes back through onNotSent. Safe from any thread.
    bool send(std::string_view address, Incarnation toIncarnation, Message);

    // Opens a connection ahead of use. Safe from any thread.
    void connect(std::string_view address);

    // Closes the connection to an address that is no longer a member's. Safe from any thread.
    void disconnect(std::string_view address);

    // Returns where this daemon listens, as "ip:port" with the port that was taken. Never changes.
    const std::string& address() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
