#include "flamingowick/standins/StandinPlatform.h"

#include "PlatformService.h"

namespace flamingowick::standins {

StandinPlatform::StandinPlatform(const PlatformStandinOptions& options)
    : service(std::make_unique<Service>(options))
{
}

StandinPlatform::~StandinPlatform() = default;

std::uint16_t StandinPlatform::port() const noexcept { return this->service->server.port(); }

std::string StandinPlatform::url() const { return this->service->url(); }

void StandinPlatform::setFaults(const PlatformFaults& faults)
{
    this->service->run([this, &faults] { this->service->setFaults(faults); });
}

PlatformCounters StandinPlatform::counters() const
{
    return this->service->run([this] { return this->service->counters; });
}

std::vector<std::string> StandinPlatform::appliedChanges() const
{
    return this->service->run([this] {
        return std::vector<std::string>(this->service->appliedChanges.begin(), this->service->appliedChanges.end());
    });
}

void StandinPlatform::dropConnections()
{
    this->service->run([this] { this->service->server.dropAll(); });
}

}
