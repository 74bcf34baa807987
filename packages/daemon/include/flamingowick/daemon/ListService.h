#pragma once

#include "flamingowick/daemon/CoreContext.h"
#include "flamingowick/daemon/PlatformCalls.h"

#include <functional>
#include <optional>
#include <random>
#include <set>

// Follows the platform's lists of targets and VMs. Watchers read them and share them with the other
// daemons, so that each list costs the platform a few waiting calls for each failure domain.
namespace flamingowick::daemon {

struct ListHandlers {
    // A service's target list changed.
    std::function<void(const std::string& service)> onTargets;
};

class ListService {
public:
    ListService(CoreContext&, PlatformCalls&, ListHandlers);

    // Starts or ends the watches of a watcher.
    void setWatching(bool);

    // A peer's share of a list. Older lists than the one known are ignored.
    void receive(const peers::TargetListShare&);

    // Shares the lists with a random member from time to time, which repairs what was lost.
    void tick(TimePoint now);

    // Returns the VMs that the platform lists, or nothing while this daemon does not watch them.
    const std::optional<std::set<std::string>>& listedVms() const noexcept { return this->vms; }

private:
    void targetResult(platform::Result&);
    void vmResult(platform::Result&);
    void takeTargets(const platform::Object&);
    void share(const Member&, const std::string& service, const TargetList&);

    CoreContext& context;
    PlatformCalls& calls;
    ListHandlers handlers;
    bool watching { false };
    platform::CallId targetWatch { 0 };
    platform::CallId vmWatch { 0 };
    std::optional<std::set<std::string>> vms;
    TimePoint nextShare;
    std::mt19937_64 random;
};

}
