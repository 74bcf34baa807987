#include "flamingowick/daemon/CoreContext.h"

namespace flamingowick::daemon {

namespace {

    Member selfAsMember(const DaemonSettings& settings, const DaemonId& id)
    {
        return { id, settings.failureDomain, settings.peerAddress };
    }

    Duration wallClockOffset()
    {
        return std::chrono::milliseconds(wallClockMilliseconds()) - Clock::now().time_since_epoch();
    }

}

CoreContext::CoreContext(DaemonSettings daemonSettings, const DaemonId& id, Ports outside)
    : settings(std::move(daemonSettings))
    , self(id)
    , ports(std::move(outside))
    , members(selfAsMember(this->settings, id))
{
}

void sendToAll(const CoreContext& context, const peers::Message& message)
{
    for (const auto& [vm, member] : context.members.all()) {
        if (vm != context.self.vm)
            context.ports.sendPeer(member.peerAddress, member.id.incarnation, message);
    }
}

TimePoint fleetTime(TimePoint now)
{
    static const Duration offset = wallClockOffset();
    return now + offset;
}

}
