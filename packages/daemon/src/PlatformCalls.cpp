#include "flamingowick/daemon/PlatformCalls.h"

namespace flamingowick::daemon {

namespace {

    bool isOfWatch(const platform::Result& result)
    {
        return std::holds_alternative<platform::WatchSnapshot>(result) || std::holds_alternative<platform::WatchEvents>(result)
            || std::holds_alternative<platform::WatchInterrupted>(result);
    }

}

PlatformCalls::PlatformCalls(std::function<bool(platform::Call)> port)
    : submit(std::move(port))
{
}

void PlatformCalls::start(platform::CallId id, platform::Call call, PlatformAnswer onResult)
{
    this->waiting.emplace(id, std::move(onResult));
    if (this->submit(std::move(call)))
        return;
    platform::Result refused = platform::Unavailable { id, "too many calls wait" };
    this->take(refused);
}

void PlatformCalls::stopWatch(platform::CallId id)
{
    this->waiting.erase(id);
    this->submit(platform::StopWatch { id });
}

void PlatformCalls::take(platform::Result& result)
{
    auto found = this->waiting.find(platform::callId(result));
    if (found == this->waiting.end())
        return;
    PlatformAnswer onResult = found->second;
    if (!isOfWatch(result))
        this->waiting.erase(found);
    onResult(result);
}

}
