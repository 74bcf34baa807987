#pragma once

#include "FreeAddress.h"

#include "flamingowick/proxy/Proxy.h"

#include <CppUTest/TestHarness.h>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <fcntl.h>

#include <memory>

// Daemons, targets and callers for tests, on one thread and connected by loopback sockets.
namespace flamingowick::proxy {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline HeaderNames testHeaders()
{
    return { "X-Id", "X-Left-Ms", "X-Signature", "X-Expected", "X-Not-Run", "X-Leaving", "X-Limit", "X-Key", "X-Organisation" };
}

// Returns the entry of a target that started at the given time.
inline TargetEntry entryOf(std::string instance, std::int64_t startedAt)
{
    TargetEntry entry;
    entry.service = "stock";
    entry.target.instance = std::move(instance);
    entry.startedAt = startedAt;
    return entry;
}

// A target that answers each request with the bytes that the script returns, or never when it returns none.
class ScriptedTarget {
public:
    using Script = std::function<std::optional<std::string>(const HttpMessage& request)>;

    ScriptedTarget(asio::io_context& io, Script responseScript)
        : context(io)
        , endpoint(parseTcpEndpoint(freeAddress()))
        , acceptor(io, this->endpoint)
        , restartTimer(io)
        , crashTimer(io)
        , script(std::move(responseScript))
    {
        this->accept();
    }

    std::string address() const { return this->endpoint.address().to_string() + ":" + std::to_string(this->endpoint.port()); }

    // Returns the response of a healthy target.
    static std::string healthyResponse(const HttpMessage& request, std::string_view body = "fine", std::string_view extraHeaders = "")
    {
        return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(headerValue(request, "X-Id")) + "\r\nX-Signature: s\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + std::string(extraHeaders) + "\r\n" + std::string(body);
    }

    std::vector<HttpMessage> requests;
    unsigned connections { 0 };
    unsigned closedByPeer { 0 };
    // Whether to close the connection after each response.
    bool closeAfterResponse { false };
    // Whether to reset the connection instead of answering.
    bool resetInsteadOfResponse { false };
    // A request whose body contains this crashes the target; empty for none.
    std::string crashMark;
    // Returns the part of a response that the target sends before such a crash; empty for none.
    std::function<std::string(const HttpMessage& request)> responseBeforeCrash;
    // Whether a crash ends the connections cleanly, as the kernel does where nothing was left to read, instead of resetting them.
    bool crashEndsCleanly { false };
    // Whether the target answers such a request, by its script, instead of crashing; empty if it never does.
    std::function<bool()> survivesCrashMark;
    // How long a crashed target refuses connections.
    Duration crashDowntime { milliseconds(50) };
    // How long a crashed target, whose connections have ended, still accepts new ones, as a dying process does.
    Duration acceptTimeAfterCrash { 0 };
    unsigned crashes { 0 };
    // Sent after each response again and again, until the peer closes the connection; empty for nothing.
    std::string endlessBytes;
    std::uint64_t endlessBytesSent { 0 };
    unsigned endlessResponsesClosed { 0 };

    // Answers the last request if the script returned no response to it.
    void answerHeld()
    {
        for (const std::weak_ptr<Connection>& item : this->openConnections) {
            if (const std::shared_ptr<Connection> connection = item.lock(); connection && connection->socket.is_open())
                asio::write(connection->socket, asio::buffer(healthyResponse(this->requests.back())));
        }
    }

    // Resets all connections and refuses new ones for the downtime.
    void crash()
    {
        ++this->crashes;
        this->resetConnections();
        if (this->acceptTimeAfterCrash == Duration::zero()) {
            this->stayDown();
            return;
        }
        this->restartTimer.expires_after(this->acceptTimeAfterCrash);
        this->restartTimer.async_wait([this](const asio::error_code& error) {
            if (error)
                return;
            this->resetConnections();
            this->stayDown();
        });
    }

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(ScriptedTarget& target, asio::ip::tcp::socket accepted)
            : owner(target)
            , socket(std::move(accepted))
            , buffer(65536, '\0')
        {
        }

        void read()
        {
            this->socket.async_read_some(asio::buffer(this->buffer), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
                if (error == asio::error::operation_aborted)
                    return;
                if (error) {
                    ++self->owner.closedByPeer;
                    return;
                }
                self->reader.parse(std::string_view(self->buffer).substr(0, size));
                if (self->reader.state() == ReadState::Complete)
                    self->respond();
                self->read();
            });
        }

        void respond()
        {
            this->owner.requests.push_back(this->reader.message());
            const std::string& mark = this->owner.crashMark;
            if (!mark.empty() && this->reader.message().body.find(mark) != std::string::npos && !(this->owner.survivesCrashMark && this->owner.survivesCrashMark())) {
                this->crashTarget();
                return;
            }
            if (this->owner.resetInsteadOfResponse) {
                this->reset();
                return;
            }
            const std::optional<std::string> bytes = this->owner.script(this->reader.message());
            this->reader.restart({});
            if (!bytes)
                return;
            asio::write(this->socket, asio::buffer(*bytes));
            if (!this->owner.endlessBytes.empty())
                this->writeWithoutEnd();
            if (this->owner.closeAfterResponse)
                this->socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        }

        void crashTarget()
        {
            if (!this->owner.responseBeforeCrash) {
                this->owner.crash();
                return;
            }
            asio::write(this->socket, asio::buffer(this->owner.responseBeforeCrash(this->reader.message())));
            this->owner.crashTimer.expires_after(std::chrono::milliseconds(20));
            this->owner.crashTimer.async_wait([&target = this->owner](const asio::error_code& error) {
                if (!error)
                    target.crash();
            });
        }

        void writeWithoutEnd()
        {
            asio::async_write(this->socket, asio::buffer(this->owner.endlessBytes), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
                self->owner.endlessBytesSent += size;
                if (error)
                    ++self->owner.endlessResponsesClosed;
                else
                    self->writeWithoutEnd();
            });
        }

        void reset()
        {
            this->socket.set_option(asio::socket_base::linger(true, 0));
            this->socket.close();
        }

        ScriptedTarget& owner;
        asio::ip::tcp::socket socket;
        MessageReader reader { MessageReader::Kind::Requests, {} };
        std::string buffer;
    };

    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++this->connections;
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            this->openConnections.push_back(connection);
            connection->read();
            this->accept();
        });
    }

    void resetConnections()
    {
        for (const std::weak_ptr<Connection>& item : this->openConnections) {
            const std::shared_ptr<Connection> connection = item.lock();
            if (!connection || !connection->socket.is_open())
                continue;
            if (this->crashEndsCleanly)
                connection->socket.close();
            else
                connection->reset();
        }
        this->openConnections.clear();
    }

    void stayDown()
    {
        this->acceptor.close();
        this->restartTimer.expires_after(this->crashDowntime);
        this->restartTimer.async_wait([this](const asio::error_code& error) {
            if (error)
                return;
            this->acceptor = asio::ip::tcp::acceptor(this->context, this->endpoint);
            this->accept();
        });
    }

    asio::io_context& context;
    asio::ip::tcp::endpoint endpoint;
    asio::ip::tcp::acceptor acceptor;
    Timer restartTimer;
    Timer crashTimer;
    std::vector<std::weak_ptr<Connection>> openConnections;
    Script script;
};

// A caller's connection that sends raw bytes and collects the responses.
class RawCaller {
public:
    RawCaller(asio::io_context& io, const std::string& address)
        : socket(io)
        , buffer(65536, '\0')
    {
        this->socket.connect(parseTcpEndpoint(address));
        this->read();
    }

    void send(std::string_view bytes) { asio::write(this->socket, asio::buffer(bytes.data(), bytes.size())); }
    void close() { this->socket.close(); }

    std::vector<HttpMessage> responses;
    bool ended { false };

private:
    void read()
    {
        this->socket.async_read_some(asio::buffer(this->buffer), [this, alive = std::weak_ptr<char>(this->lifetimeToken)](const asio::error_code& error, std::size_t size) {
            if (alive.expired())
                return;
            if (error) {
                this->ended = true;
                return;
            }
            std::string_view bytes = std::string_view(this->buffer).substr(0, size);
            while (!bytes.empty()) {
                bytes.remove_prefix(this->reader.parse(bytes));
                if (this->reader.state() != ReadState::Complete)
                    break;
                this->responses.push_back(this->reader.message());
                this->reader.restart({});
            }
            this->read();
        });
    }

    asio::ip::tcp::socket socket;
    MessageReader reader { MessageReader::Kind::Responses, {} };
    std::string buffer;
    std::shared_ptr<char> lifetimeToken { std::make_shared<char>() };
};

struct ProxyTestBed {
    asio::io_context io { 1 };
    int devNull { ::open("/dev/null", O_WRONLY | O_CLOEXEC) };
    telemetry::EventLog log { devNull, 1000 };
    std::vector<std::unique_ptr<Proxy>> proxies;
    // Serve the other daemons.
    std::vector<std::unique_ptr<CallerServer>> peerServers;
    std::vector<ProxySettings> settings;
    std::vector<std::unique_ptr<ScriptedTarget>> targets;
    std::vector<TargetEntry> entries;
    Configuration configuration;
    // What daemons know of the fleet at their start.
    FleetStage fleetStage { FleetStage::Unknown };

    ~ProxyTestBed()
    {
        this->peerServers.clear();
        this->proxies.clear();
        ::close(this->devNull);
    }

    ScriptedTarget& addTarget(ScriptedTarget::Script script)
    {
        this->targets.push_back(std::make_unique<ScriptedTarget>(this->io, std::move(script)));
        TargetEntry entry;
        entry.service = "stock";
        entry.target.instance = "i-" + std::to_string(this->targets.size());
        entry.target.address = this->targets.back()->address();
        entry.target.failureDomain = "a";
        entry.target.slots = 2;
        this->entries.push_back(entry);
        return *this->targets.back();
    }

    void start(unsigned count, bool idempotent, Duration timeout = seconds(2))
    {
        Route route;
        route.host = "x";
        route.pathPrefix = "/stock/";
        route.name = "stock";
        route.idempotent = idempotent;
        route.timeout = timeout;
        route.maxAttempts = 2;
        route.parts = { { "stock", 1 } };
        this->configuration.version = 1;
        this->configuration.routes = { route };
        std::vector<FleetMember> members;
        for (unsigned index = 0; index < count; ++index) {
            ProxySettings daemonSettings;
            daemonSettings.vm = "vm-" + std::to_string(index);
            daemonSettings.failureDomain = "a";
            daemonSettings.callerAddress = freeAddress();
            daemonSettings.readyAddress = freeAddress();
            daemonSettings.peerAddress = freeAddress();
            daemonSettings.headers = testHeaders();
            daemonSettings.retryRatio = 0.2;
            daemonSettings.retryBurst = 50;
            daemonSettings.fleetStage = this->fleetStage;
            this->settings.push_back(daemonSettings);
            members.push_back({ daemonSettings.vm, daemonSettings.peerAddress, "a" });
            this->proxies.push_back(std::make_unique<Proxy>(this->io, daemonSettings, index + 1, this->log));
            this->peerServers.push_back(std::make_unique<CallerServer>(this->io, daemonSettings.peerAddress, 100, CallerServerHandlers { [] { return CallerLimits {}; }, [&proxy = *this->proxies.back()](const std::shared_ptr<CallerExchange>& connection) { proxy.handlePeerRequest(connection); } }));
        }
        for (const auto& proxy : this->proxies) {
            proxy->setConfiguration(this->configuration);
            proxy->applyTargetChanges(this->entries, {});
            proxy->setMembers(members);
        }
    }

    std::unique_ptr<RawCaller> connectCaller(std::size_t proxy = 0) { return std::make_unique<RawCaller>(this->io, this->settings.at(proxy).callerAddress); }

    // Runs the event loop until the condition is true, and returns whether it is. Only a failing test reaches the limit.
    bool runUntil(const std::function<bool()>& condition, Duration limit = seconds(10))
    {
        const TimePoint end = Clock::now() + limit;
        while (!condition() && Clock::now() < end)
            this->io.run_one_for(milliseconds(20));
        return condition();
    }

    void runFor(Duration time)
    {
        const TimePoint end = Clock::now() + time;
        while (Clock::now() < end)
            this->io.run_one_for(milliseconds(5));
    }
};

inline std::string makeRequest(std::string_view id, std::string_view method = "GET", std::string_view body = "", std::string_view timeLeftMs = "5000")
{
    return std::string(method) + " /stock/7 HTTP/1.1\r\nHost: x\r\nX-Id: " + std::string(id) + "\r\nX-Left-Ms: " + std::string(timeLeftMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}
