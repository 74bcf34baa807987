#include "flamingowick/daemon/Daemon.h"

#include "flamingowick/daemon/Core.h"
#include "flamingowick/model/BoundedRing.h"
#include "flamingowick/peers/PeerTransport.h"
#include "flamingowick/platform/PlatformClient.h"
#include "flamingowick/telemetry/Log.h"

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <random>
#include <thread>

namespace flamingowick::daemon {

namespace {

    constexpr std::size_t coreRingCapacity = 4096;
    constexpr std::size_t attemptRingCapacity = 4096;
    constexpr unsigned adminConnections = 64;
    // The entry reads bodies up to the largest that a service document may allow.
    constexpr std::uint64_t maxEntryBodyBytes = 16U << 20U;

    // The longest wait for responses to be written at the end of a shutdown.
    constexpr std::chrono::seconds flushLimit { 5 };

    std::uint64_t makeSecret()
    {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32U) | device();
    }

    using Timer = asio::basic_waitable_timer<Clock>;

}

struct Daemon::Impl {
    DaemonSettings settings;
    DaemonId self;
    asio::io_context coreContext;
    BoundedRing<CoreInput> inputs;
    Timer timer;
    std::unique_ptr<gateway::HttpServer> entryServer;
    std::unique_ptr<gateway::HttpServer> adminServer;
    std::unique_ptr<gateway::TargetClient> targets;
    std::unique_ptr<peers::PeerTransport> peerTransport;
    std::unique_ptr<platform::PlatformClient> platformClient;
    std::unique_ptr<Core> core;

    explicit Impl(const DaemonSettings& daemonSettings)
        : settings(daemonSettings)
        , self { daemonSettings.vm, static_cast<Incarnation>(wallClockMilliseconds()) }
        , inputs(coreRingCapacity, [this] { asio::post(this->coreContext, [this] { this->drain(); }); })
        , timer(this->coreContext)
    {
        this->openPlatform();
        this->openPeers();
        this->targets = std::make_unique<gateway::TargetClient>(attemptRingCapacity, [this](gateway::AttemptResult result) { this->deliver(std::move(result)); });
        this->openAdmin();
        this->core = std::make_unique<Core>(this->settings, this->self, this->makePorts(), makeSecret(), Clock::now());
        // Callers come last: the entry answers only once all else is there.
        this->openEntry();
    }

    // Hands the core an input that must not be lost: waits for room.
    void deliver(CoreInput input)
    {
        while (this->inputs.size() >= this->inputs.capacity())
            std::this_thread::sleep_for(std::chrono::microseconds(100));
        if (!this->inputs.tryPush(std::move(input)))
            telemetry::logError(telemetry::Part::Daemon, "The core's ring is full; an input is lost.");
    }

    void openPlatform()
    {
        platform::ClientSettings clientSettings;
        clientSettings.url = this->settings.platformUrl;
        clientSettings.vm = this->settings.vm;
        clientSettings.seed = this->self.incarnation;
        this->platformClient = std::make_unique<platform::PlatformClient>(clientSettings, [this](platform::Result result) { this->deliver(std::move(result)); });
    }

    void openPeers()
    {
        peers::TransportSettings transportSettings;
        transportSettings.self = this->self;
        transportSettings.address = this->settings.peerAddress;
        peers::TransportHandlers handlers;
        handlers.onMessage = [this](peers::Envelope envelope) { this->deliver(std::move(envelope)); };
        handlers.onNotSent = [this](const std::string& address, peers::Message message) { this->deliver(PeerNotSent { address, std::move(message) }); };
        handlers.onLinkLost = [this](const std::string& address) { this->deliver(PeerLinkLost { address }); };
        this->peerTransport = std::make_unique<peers::PeerTransport>(transportSettings, handlers);
    }

    void openEntry()
    {
        gateway::HttpServerSettings serverSettings;
        serverSettings.address = this->settings.entryAddress;
        serverSettings.maxConnections = this->settings.maxConnections;
        serverSettings.maxBodyBytes = maxEntryBodyBytes;
        gateway::HttpServerHandlers handlers;
        handlers.onRequest = [this](gateway::HttpRequest request) {
            gateway::ExchangeToken token = request.token;
            if (!this->inputs.tryPush(CallerRequest { std::move(request) }))
                this->entryServer->respond(token, { 503, { { "X-Outcome", "not-run" }, { "Retry-After", "1" } }, "overloaded\n", false, {}, {} });
        };
        handlers.onHangUp = [this](gateway::ExchangeToken token) { this->deliver(CallerGone { token }); };
        this->entryServer = std::make_unique<gateway::HttpServer>(serverSettings, handlers);
    }

    void openAdmin()
    {
        gateway::HttpServerSettings serverSettings;
        serverSettings.address = this->settings.adminAddress;
        serverSettings.maxConnections = adminConnections;
        gateway::HttpServerHandlers handlers;
        handlers.onRequest = [this](gateway::HttpRequest request) { this->deliver(AdminRequest { std::move(request) }); };
        handlers.onHangUp = [](gateway::ExchangeToken) {};
        this->adminServer = std::make_unique<gateway::HttpServer>(serverSettings, handlers);
    }

    Ports makePorts()
    {
        Ports ports;
        ports.sendPeer = [this](std::string_view address, Incarnation incarnation, peers::Message message) {
            return this->peerTransport->send(address, incarnation, std::move(message));
        };
        ports.connectPeer = [this](std::string_view address) { this->peerTransport->connect(address); };
        ports.disconnectPeer = [this](std::string_view address) { this->peerTransport->disconnect(address); };
        ports.startAttempt = [this](gateway::AttemptRequest request) { return this->targets->start(std::move(request)); };
        ports.cancelAttempt = [this](std::uint64_t attempt) { this->targets->cancel(attempt); };
        ports.respondCaller = [this](gateway::ExchangeToken token, gateway::HttpResponse response) { this->entryServer->respond(token, std::move(response)); };
        ports.respondAdmin = [this](gateway::ExchangeToken token, gateway::HttpResponse response) { this->adminServer->respond(token, std::move(response)); };
        ports.callPlatform = [this](platform::Call call) { return this->platformClient->submit(std::move(call)); };
        ports.stopAccepting = [this] { this->entryServer->stopAccepting(); };
        ports.finished = [this] { this->coreContext.stop(); };
        return ports;
    }

    void drain()
    {
        std::vector<CoreInput> batch;
        this->inputs.popAll(batch);
        for (CoreInput& input : batch)
            this->core->handle(std::move(input), Clock::now());
    }

    // Waits until the responses that were given are written.
    void flushResponses() const
    {
        TimePoint limit = Clock::now() + flushLimit;
        while (this->entryServer->outstanding() > 0 && Clock::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    void scheduleTick()
    {
        this->timer.expires_after(tickInterval);
        this->timer.async_wait([this](const asio::error_code& error) {
            if (error)
                return;
            this->core->tick(Clock::now());
            this->scheduleTick();
        });
    }
};

Daemon::Daemon(const DaemonSettings& settings)
    : impl(std::make_unique<Impl>(settings))
{
}

Daemon::~Daemon() = default;

void Daemon::run()
{
    this->impl->scheduleTick();
    this->impl->coreContext.run();
    this->impl->flushResponses();
}

void Daemon::requestShutdown()
{
    this->impl->deliver(ShutdownRequested {});
}

}
