#pragma once

#include "flamingowick/grants/TargetPool.h"
#include "flamingowick/proxy/Sockets.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace flamingowick::proxy::wire {
class Datagram;
}

// UDP datagrams between daemons. Messages to the same daemon that are sent in one turn of the event loop share a
// datagram. Any datagram may be lost, duplicated, reordered or delayed.
namespace flamingowick::proxy {

struct AskMessage {
    std::uint64_t number { 0 };
    // Group of targets that is requested: a service and the part of its targets.
    std::string group;
    grants::GrantRequest request;
    // Time until the attempt's deadline when the message was sent.
    Duration left { 0 };
};

enum class WordKind : std::uint8_t {
    Granted,
    Refused,
    Waits,
};

struct WordMessage {
    WordKind kind { WordKind::Waits };
    grants::Decision decision;
};

struct EndMessage {
    std::uint64_t number { 0 };
    std::string group;
    grants::Outcome outcome { grants::Outcome::Abandoned };
    Duration lasted { 0 };
};

struct RunningMessage {
    std::uint64_t number { 0 };
    std::string group;
    std::string instance;
    Duration age { 0 };
    std::uint64_t workload { 0 };
};

struct PresenceMessage {
    std::string name;
    std::string address;
    bool leaving { false };
    bool wantsReply { false };
    std::string failureDomain;
};

// Origin of a datagram.
struct PeerSource {
    // Incarnation of the daemon: differs after each restart.
    std::uint64_t sender { 0 };
    std::string address;
};

struct PeerHandlers {
    std::function<void(const PeerSource&, const AskMessage&)> onAsk;
    std::function<void(const PeerSource&, const WordMessage&)> onWord;
    std::function<void(const PeerSource&, const EndMessage&)> onEnd;
    std::function<void(const PeerSource&, const RunningMessage&)> onRunning;
    std::function<void(const PeerSource&, const PresenceMessage&)> onPresence;
};

class PeerLink {
public:
    // Binds a UDP socket to the address and starts receiving; the handlers run on the io_context. sender is the
    // incarnation that all datagrams carry. Throws SettingsError 111 for an invalid address, PeerError 300 when the
    // socket can't be bound.
    PeerLink(asio::io_context&, std::string_view address, std::uint64_t sender, PeerHandlers);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    void send(const std::string& address, const AskMessage&);
    void send(const std::string& address, const WordMessage&);
    void send(const std::string& address, const EndMessage&);
    void send(const std::string& address, const RunningMessage&);
    void send(const std::string& address, const PresenceMessage&);

    // Sends all pending datagrams now. Otherwise they are sent by a handler that the first message posted.
    void flush();

    std::uint64_t sentDatagrams() const noexcept { return this->sent; }
    std::uint64_t unreadableDatagrams() const noexcept { return this->unreadable; }

private:
    wire::Datagram& datagramTo(const std::string& address);
    void receive();
    void drain();
    void dispatch(std::string_view bytes, const asio::ip::udp::endpoint& from);

    asio::io_context& context;
    asio::ip::udp::socket socket;
    std::uint64_t sender;
    PeerHandlers handlers;
    std::map<std::string, wire::Datagram> gathered;
    bool flushPlanned { false };
    std::string buffer;
    std::uint64_t sent { 0 };
    std::uint64_t unreadable { 0 };
    // Expires with the link, so that a posted flush that runs later does nothing.
    std::shared_ptr<char> alive { std::make_shared<char>() };
};

}
