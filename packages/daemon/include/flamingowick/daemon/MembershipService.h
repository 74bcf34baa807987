#pragma once

#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/membership/Membership.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

// Runs the membership decisions, keeps the core's list of members, and finds out which daemons are
// dead for certain.
namespace flamingowick::daemon {

struct MembershipHandlers {
    std::function<void(const Member&)> onJoined;
    // Requests sent to the daemon may or may not have run.
    std::function<void(const DaemonId&)> onLost;
    // The daemon ends soon, and answers what it holds before that.
    std::function<void(const DaemonId&)> onLeaving;
    // The daemon's process is gone for certain.
    std::function<void(const DaemonId&)> onDead;
};

class MembershipService {
public:
    MembershipService(CoreContext&, MembershipHandlers, TimePoint now);

    void receive(const peers::Envelope&, const membership::Message&, TimePoint now);
    void linkLost(const std::string& address, TimePoint now);
    void leave(TimePoint now);

    // listedVms are the VMs that the platform lists, nothing when they are not known here.
    void tick(const std::optional<std::set<std::string>>& listedVms, TimePoint now);

private:
    void run(const membership::Event&, TimePoint now);
    void carryOut(const membership::Send&, TimePoint now);
    void carryOut(const membership::Joined&, TimePoint now);
    void carryOut(const membership::Lost&, TimePoint now);
    void carryOut(const membership::HasLeft&, TimePoint now);
    void carryOut(const membership::Restarted&, TimePoint now);
    void proveDeaths(const std::set<std::string>& listedVms, TimePoint now);

    struct LostDaemon {
        DaemonId id;
        TimePoint since;
    };

    CoreContext& context;
    MembershipHandlers handlers;
    membership::State state;
    // Daemons out of reach, by VM, until they come back or their death is proven.
    std::map<std::string, LostDaemon, std::less<>> lost;
};

}
