#include "ClientWorker.h"

namespace flamingowick::platform {

PlatformClient::PlatformClient(const ClientSettings& settings, ResultHandler handler, ClientPolicy policy)
    : worker(std::make_unique<Worker>(settings, std::move(handler), policy))
{
}

PlatformClient::~PlatformClient() = default;

bool PlatformClient::submit(Call call) { return this->worker->submit(std::move(call)); }

Port PlatformClient::port()
{
    return { [this](Call call) { return this->submit(std::move(call)); } };
}

void PlatformClient::stop() { this->worker->stop(); }

}
