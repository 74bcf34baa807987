#include "flamingowick/proxy/TunnelServer.h"

#include "flamingowick/proxy/TunnelFrames.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <vector>

namespace flamingowick::proxy {

namespace {

    constexpr std::string_view pathPrefix = "/tunnel/";
    // Daemons of earlier releases know the plain protocol only, and take any offer for it.
    constexpr std::string_view framedProtocol = "flamingowick-framed-tunnel";
    constexpr std::string_view plainProtocol = "flamingowick-tunnel";
    constexpr std::string_view unreachableReply = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    // Shorter than the time that the other daemon waits, so that it learns of the failure.
    constexpr Duration connectTimeout { std::chrono::milliseconds(100) };
    // Each takes two file descriptors; a process has about 4,000, of which callers take up to 3,000.
    constexpr std::size_t maxTunnels = 256;
    constexpr std::size_t bufferBytes = 16U << 10U;

    std::string establishedReply(std::string_view protocol)
    {
        return std::string("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ").append(protocol).append("\r\n\r\n");
    }

    bool offersFrames(const HttpMessage& request)
    {
        return headerValue(request, "upgrade").find(framedProtocol) != std::string_view::npos;
    }

}

std::string tunnelRequest(std::string_view instance)
{
    return std::string("GET ").append(pathPrefix).append(instance).append(" HTTP/1.1\r\nHost: target\r\nConnection: Upgrade\r\nUpgrade: ").append(framedProtocol).append(", ").append(plainProtocol).append("\r\n\r\n");
}

TunnelReply parseTunnelReply(std::string_view header)
{
    MessageReader reader(MessageReader::Kind::Responses, {});
    reader.parse(header);
    if (reader.state() != ReadState::Complete)
        return TunnelReply::Unusable;
    if (reader.message().status == 101)
        return headerValue(reader.message(), "upgrade") == framedProtocol ? TunnelReply::Established : TunnelReply::EstablishedPlain;
    return reader.message().status == 502 ? TunnelReply::TargetUnreachable : TunnelReply::Unusable;
}

class Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
    Tunnel(TunnelServer& owner, asio::ip::tcp::socket daemonSocket, bool withFrames)
        : server(owner)
        , daemon(std::move(daemonSocket))
        , target(owner.context)
        , timer(owner.context)
        , framed(withFrames)
    {
    }

    void start(const asio::ip::tcp::endpoint& endpoint)
    {
        this->timer.expires_after(connectTimeout);
        this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && !self->closed && !self->connected)
                self->reject();
        });
        this->target.async_connect(endpoint, [self = this->shared_from_this()](const asio::error_code& error) {
            if (self->closed || self->rejected)
                return;
            if (error)
                self->reject();
            else
                self->accept();
        });
    }

    // Ends both connections. To a daemon that reads no frames this looks as if the target had ended its connection.
    void close()
    {
        if (this->closed)
            return;
        this->closed = true;
        asio::error_code ignored;
        this->daemon.close(ignored);
        this->target.close(ignored);
        this->timer.cancel();
        this->server.tunnels.erase(this->shared_from_this());
    }

    // Ends both connections and resets that of the other daemon, so that a response without a length isn't taken for complete.
    void abort()
    {
        resetOnClose(this->daemon);
        this->close();
    }

private:
    static void resetOnClose(asio::ip::tcp::socket& socket)
    {
        asio::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }

    void accept()
    {
        this->connected = true;
        this->timer.cancel();
        setSocketOptions(this->target);
        this->server.metrics.increment("flamingowick_tunnels_served_total", "outcome=\"established\"");
        this->reply = establishedReply(this->framed ? framedProtocol : plainProtocol);
        asio::async_write(this->daemon, asio::buffer(this->reply), [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            if (self->closed)
                return;
            if (error) {
                self->close();
                return;
            }
            self->forwardToTarget();
            self->forwardToDaemon();
        });
    }

    void reject()
    {
        this->rejected = true;
        this->timer.cancel();
        asio::error_code ignored;
        this->target.close(ignored);
        this->server.metrics.increment("flamingowick_tunnels_served_total", "outcome=\"unreachable\"");
        asio::async_write(this->daemon, asio::buffer(unreachableReply), [self = this->shared_from_this()](const asio::error_code&, std::size_t) { self->close(); });
    }

    // What has been read is written before more is read, in either direction.
    void forwardToTarget()
    {
        this->daemon.async_read_some(asio::buffer(this->toTarget), [self = this->shared_from_this()](const asio::error_code& readError, std::size_t size) {
            if (self->closed)
                return;
            if (readError) {
                self->handleDaemonEnd(readError);
                return;
            }
            asio::async_write(self->target, asio::buffer(self->toTarget, size), [self](const asio::error_code& writeError, std::size_t) {
                if (self->closed)
                    return;
                if (writeError)
                    self->abort();
                else
                    self->forwardToTarget();
            });
        });
    }

    void forwardToDaemon()
    {
        this->target.async_read_some(asio::buffer(this->toDaemon), [self = this->shared_from_this()](const asio::error_code& readError, std::size_t size) {
            if (self->closed)
                return;
            if (readError)
                self->handleTargetEnd(readError);
            else
                self->sendToDaemon(size, [self] { self->forwardToDaemon(); });
        });
    }

    template <typename Continue>
    void sendToDaemon(std::size_t size, Continue next)
    {
        this->frameHeader = tunnelFrameHeader(static_cast<std::uint32_t>(size));
        const std::array<asio::const_buffer, 2> parts { asio::buffer(this->frameHeader, this->framed ? this->frameHeader.size() : 0), asio::buffer(this->toDaemon, size) };
        asio::async_write(this->daemon, parts, [self = this->shared_from_this(), next](const asio::error_code& error, std::size_t) {
            if (self->closed)
                return;
            if (error)
                self->handleDaemonEnd(error);
            else
                next();
        });
    }

    void handleDaemonEnd(const asio::error_code& error)
    {
        if (error != asio::error::eof)
            resetOnClose(this->target);
        this->close();
    }

    // Only a clean end of the target's connection may look like one to the other daemon.
    void handleTargetEnd(const asio::error_code& error)
    {
        if (error != asio::error::eof) {
            this->abort();
            return;
        }
        // A write to the target that has failed takes the connection's error with it, and may not have been reported yet.
        asio::post(this->server.context, [self = this->shared_from_this()] {
            if (!self->closed)
                self->endForDaemon();
        });
    }

    void endForDaemon()
    {
        if (this->framed)
            this->sendToDaemon(0, [self = this->shared_from_this()] { self->close(); });
        else
            this->close();
    }

    TunnelServer& server;
    asio::ip::tcp::socket daemon;
    asio::ip::tcp::socket target;
    Timer timer;
    std::string reply;
    std::array<char, tunnelFrameHeaderBytes> frameHeader {};
    std::array<char, bufferBytes> toTarget {};
    std::array<char, bufferBytes> toDaemon {};
    // The other daemon reads frames.
    bool framed { false };
    bool connected { false };
    bool rejected { false };
    bool closed { false };
};

TunnelServer::TunnelServer(asio::io_context& ioContext, const TargetDirectory& targetDirectory, const TargetPaths& targetPaths, telemetry::Metrics& counters)
    : context(ioContext)
    , directory(targetDirectory)
    , paths(targetPaths)
    , metrics(counters)
{
}

TunnelServer::~TunnelServer()
{
    const std::vector<std::shared_ptr<Tunnel>> open(this->tunnels.begin(), this->tunnels.end());
    for (const auto& tunnel : open)
        tunnel->abort();
}

bool TunnelServer::isTunnelRequest(const HttpMessage& request) noexcept
{
    return request.target.starts_with(pathPrefix);
}

void TunnelServer::handleRequest(const std::shared_ptr<CallerExchange>& connection)
{
    const auto known = this->directory.entries.find(connection->request().target.substr(pathPrefix.size()));
    HttpMessage response;
    response.status = known == this->directory.entries.end() ? 502 : 503;
    const bool framed = offersFrames(connection->request());
    std::optional<asio::ip::tcp::socket> socket;
    if (known != this->directory.entries.end() && !isCutOff(this->paths) && this->tunnels.size() < maxTunnels)
        socket = connection->takeSocket();
    if (!socket) {
        this->metrics.increment("flamingowick_tunnels_served_total", "outcome=\"rejected\"");
        connection->respond(response);
        return;
    }
    const auto tunnel = std::make_shared<Tunnel>(*this, std::move(*socket), framed);
    this->tunnels.insert(tunnel);
    try {
        tunnel->start(parseTcpEndpoint(known->second.entry.target.address));
    } catch (const std::exception&) {
        // The directory holds an address that can't be one.
        tunnel->close();
    }
}

}
