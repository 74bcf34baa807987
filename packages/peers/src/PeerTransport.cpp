#include "flamingowick/peers/PeerTransport.h"

#include "flamingowick/model/BoundedRing.h"
#include "flamingowick/model/Error.h"
#include "flamingowick/peers/Codec.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstring>
#include <thread>
#include <unordered_map>
#include <variant>
#include <zmq.hpp>

namespace flamingowick::peers {

namespace {

    constexpr int heartbeatIntervalMs = 3000;
    constexpr int heartbeatTimeoutMs = 9000;
    constexpr int reconnectIntervalMs = 50;
    constexpr int reconnectIntervalMaxMs = 1000;
    constexpr std::size_t receiveBatch = 256;
    // Monitors are looked at this often rather than waited for: waiting on a socket for each peer
    // costs as much for every message as all peers together.
    constexpr std::chrono::milliseconds monitorInterval { 50 };

    struct SendCommand {
        std::string address;
        Incarnation toIncarnation { 0 };
        Message message;
    };

    struct ConnectCommand {
        std::string address;
    };

    struct DisconnectCommand {
        std::string address;
    };

    using Command = std::variant<SendCommand, ConnectCommand, DisconnectCommand>;

    // An outgoing connection with the monitor that tells of its loss.
    struct Link {
        zmq::socket_t socket;
        zmq::socket_t monitor;

        Link() = default;
        Link(Link&&) = default;
        Link& operator=(Link&&) = default;
        Link(const Link&) = delete;
        Link& operator=(const Link&) = delete;

        // The socket must report to nobody before the reader of its reports is closed: ZeroMQ's thread
        // would wait for that reader, and with it every other connection.
        ~Link()
        {
            if (this->socket)
                zmq_socket_monitor(this->socket.handle(), nullptr, 0);
        }
    };

    class WakeEvent {
    public:
        WakeEvent()
            : descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
        {
            if (this->descriptor < 0)
                throw PeerError(302, "No descriptor for waking the transport");
        }

        ~WakeEvent() { close(this->descriptor); }
        WakeEvent(const WakeEvent&) = delete;
        WakeEvent& operator=(const WakeEvent&) = delete;

        void signal() const noexcept { eventfd_write(this->descriptor, 1); }

        void clear() const noexcept
        {
            eventfd_t value = 0;
            eventfd_read(this->descriptor, &value);
        }

        int fd() const noexcept { return this->descriptor; }

    private:
        int descriptor;
    };

    void setCommonOptions(zmq::socket_t& socket, const TransportSettings& settings)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, settings.peerQueueLength);
        socket.set(zmq::sockopt::rcvhwm, settings.peerQueueLength);
        socket.set(zmq::sockopt::maxmsgsize, settings.maxMessageBytes);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
    }

}

struct PeerTransport::Impl {
    TransportSettings settings;
    TransportHandlers handlers;
    WakeEvent wake;
    BoundedRing<Command> commands;
    std::atomic<bool> stopping { false };
    zmq::context_t context;
    // Used on the transport's thread alone, once it runs.
    zmq::socket_t inbox;
    std::unordered_map<std::string, Link> links;
    std::uint64_t monitors { 0 };
    TimePoint nextMonitorCheck;
    std::thread thread;

    Impl(const TransportSettings& transportSettings, TransportHandlers transportHandlers)
        : settings(transportSettings)
        , handlers(std::move(transportHandlers))
        , commands(transportSettings.sendCapacity, [this] { this->wake.signal(); })
    {
        this->open();
        this->thread = std::thread([this] { this->run(); });
    }

    ~Impl()
    {
        this->stopping = true;
        this->wake.signal();
        this->thread.join();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    void open()
    {
        try {
            this->inbox = zmq::socket_t(this->context, zmq::socket_type::router);
            setCommonOptions(this->inbox, this->settings);
            this->inbox.bind("tcp://" + this->settings.address);
            std::string endpoint = this->inbox.get(zmq::sockopt::last_endpoint);
            this->settings.address = endpoint.substr(std::string_view("tcp://").size());
        } catch (const zmq::error_t& error) {
            throw PeerError(302, "Can't listen for peers on " + this->settings.address + ": " + error.what());
        }
    }

    void run()
    {
        std::vector<Command> batch;
        while (!this->stopping) {
            this->waitForWork();
            this->wake.clear();
            batch.clear();
            this->commands.popAll(batch);
            for (Command& command : batch)
                std::visit([this](auto& each) { this->execute(each); }, command);
            this->receive();
            if (Clock::now() >= this->nextMonitorCheck)
                this->checkMonitors();
        }
        this->links.clear();
        this->inbox.close();
    }

    void waitForWork()
    {
        std::array<zmq::pollitem_t, 2> items { { { nullptr, this->wake.fd(), ZMQ_POLLIN, 0 }, { this->inbox.handle(), 0, ZMQ_POLLIN, 0 } } };
        zmq::poll(items, monitorInterval);
    }

    void execute(SendCommand& command)
    {
        Link* link = this->linkTo(command.address);
        Envelope envelope;
        envelope.from = this->settings.self;
        envelope.fromAddress = this->settings.address;
        envelope.toIncarnation = command.toIncarnation;
        envelope.sentAtWallMs = wallClockMilliseconds();
        envelope.message = std::move(command.message);
        std::string bytes = encode(envelope, Clock::now());
        bool sent = false;
        try {
            sent = link != nullptr && link->socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
        } catch (const zmq::error_t&) {
            sent = false;
        }
        if (!sent)
            this->handlers.onNotSent(command.address, std::move(envelope.message));
    }

    void execute(const ConnectCommand& command) { this->linkTo(command.address); }

    void execute(const DisconnectCommand& command) { this->links.erase(command.address); }

    // Returns the link to an address, opened if need be, or nullptr when it can't be opened.
    Link* linkTo(const std::string& address)
    {
        auto known = this->links.find(address);
        if (known != this->links.end())
            return &known->second;
        try {
            Link link = this->openLink(address);
            return &this->links.emplace(address, std::move(link)).first->second;
        } catch (const zmq::error_t&) {
            return nullptr;
        }
    }

    Link openLink(const std::string& address)
    {
        Link link;
        link.socket = zmq::socket_t(this->context, zmq::socket_type::dealer);
        setCommonOptions(link.socket, this->settings);
        // Only open connections take messages, so that none waits for a peer that comes back.
        link.socket.set(zmq::sockopt::immediate, 1);
        link.socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMs);
        link.socket.set(zmq::sockopt::reconnect_ivl_max, reconnectIntervalMaxMs);
        std::string endpoint = "inproc://monitor-" + std::to_string(++this->monitors);
        if (zmq_socket_monitor(link.socket.handle(), endpoint.c_str(), ZMQ_EVENT_DISCONNECTED) != 0)
            throw zmq::error_t();
        link.monitor = zmq::socket_t(this->context, zmq::socket_type::pair);
        link.monitor.set(zmq::sockopt::linger, 0);
        link.monitor.connect(endpoint);
        link.socket.connect("tcp://" + address);
        return link;
    }

    void receive()
    {
        for (std::size_t count = 0; count < receiveBatch; ++count) {
            zmq::message_t identity;
            if (!this->inbox.recv(identity, zmq::recv_flags::dontwait))
                return;
            zmq::message_t payload;
            if (!identity.more() || !this->inbox.recv(payload, zmq::recv_flags::dontwait))
                continue;
            this->accept({ payload.data<char>(), payload.size() });
        }
    }

    void accept(std::string_view bytes)
    {
        try {
            Envelope envelope = decode(bytes, Clock::now(), wallClockMilliseconds());
            bool forThisLife = envelope.toIncarnation == 0 || envelope.toIncarnation == this->settings.self.incarnation;
            if (forThisLife)
                this->handlers.onMessage(std::move(envelope));
        } catch (const PeerError&) {
            // A message that can't be read is dropped like a lost one.
            return;
        }
    }

    void checkMonitors()
    {
        this->nextMonitorCheck = Clock::now() + monitorInterval;
        for (auto& [address, link] : this->links) {
            zmq::message_t event;
            while (link.monitor.recv(event, zmq::recv_flags::dontwait)) {
                if (event.more())
                    continue;
                this->handlers.onLinkLost(address);
            }
        }
    }
};

PeerTransport::PeerTransport(const TransportSettings& settings, TransportHandlers handlers)
    : impl(std::make_unique<Impl>(settings, std::move(handlers)))
{
}

PeerTransport::~PeerTransport() = default;

const std::string& PeerTransport::address() const noexcept
{
    return this->impl->settings.address;
}

bool PeerTransport::send(std::string_view address, Incarnation toIncarnation, Message message)
{
    return this->impl->commands.tryPush(SendCommand { std::string(address), toIncarnation, std::move(message) });
}

void PeerTransport::connect(std::string_view address)
{
    // A connection that is not opened ahead is opened by the first message.
    static_cast<void>(this->impl->commands.tryPush(ConnectCommand { std::string(address) }));
}

void PeerTransport::disconnect(std::string_view address)
{
    static_cast<void>(this->impl->commands.tryPush(DisconnectCommand { std::string(address) }));
}

}
