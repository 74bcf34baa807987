#include "flamingowick/standins/StandinTargets.h"

#include "OwnThread.h"
#include "TargetService.h"

#include <charconv>

namespace flamingowick::standins {

class StandinTargets::Service {
public:
    explicit Service(const TargetOptions& options)
    {
        for (unsigned i = 0; i < options.count; ++i) {
            const auto port = static_cast<std::uint16_t>(options.firstPort == 0 ? 0 : options.firstPort + i);
            this->targets.push_back(std::make_unique<TargetService>(this->context, options, port, options.seed + i));
        }
        this->thread.start();
    }

    TargetService* find(std::uint16_t port)
    {
        for (const auto& target : this->targets) {
            if (target->port() == port)
                return target.get();
        }
        return nullptr;
    }

    void handle(const std::shared_ptr<detail::HttpConnection>& connection, const detail::HttpRequest& request)
    {
        const std::string_view text = detail::queryValue(request.query, "port");
        std::uint16_t port = 0;
        std::from_chars(text.data(), text.data() + text.size(), port);
        TargetService* target = this->find(port);
        if (target == nullptr || !target->handleControl(connection, request))
            connection->answer({ 404, {}, "{}" });
    }

    asio::io_context context;
    std::vector<std::unique_ptr<TargetService>> targets;
    std::unique_ptr<detail::HttpServer> control;
    // Last, so that it is joined before what it works on goes.
    OwnThread thread { this->context };
};

StandinTargets::StandinTargets(const TargetOptions& options)
    : service(std::make_unique<Service>(options))
{
}

StandinTargets::~StandinTargets() = default;

std::uint16_t StandinTargets::openControl(std::uint16_t port)
{
    Service& serving = *this->service;
    return serving.thread.run([&serving, port] {
        serving.control = std::make_unique<detail::HttpServer>(serving.context, "127.0.0.1", port,
            [&serving](const std::shared_ptr<detail::HttpConnection>& connection, const detail::HttpRequest& request) {
                serving.handle(connection, request);
            });
        return serving.control->port();
    });
}

std::vector<std::uint16_t> StandinTargets::ports() const
{
    return this->service->thread.run([this] {
        std::vector<std::uint16_t> ports;
        for (const auto& target : this->service->targets)
            ports.push_back(target->port());
        return ports;
    });
}

void StandinTargets::setFaults(std::uint16_t port, const TargetFaults& faults)
{
    this->service->thread.run([this, port, &faults] {
        if (TargetService* target = this->service->find(port))
            target->setFaults(faults);
    });
}

TargetLedger StandinTargets::ledger(std::uint16_t port) const
{
    return this->service->thread.run([this, port] {
        TargetService* target = this->service->find(port);
        return target != nullptr ? target->ledger(true) : TargetLedger {};
    });
}

}
