#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The daemons that this daemon takes for alive, and the order in which they serve a service.
namespace flamingowick::daemon {

struct Member {
    DaemonId id;
    std::string failureDomain;
    std::string peerAddress;
};

// The live members, this daemon included.
class Members {
public:
    explicit Members(Member self);

    const Member& self() const noexcept { return this->own; }

    // Notes a sign of life. Returns true when the member was not known, or in another incarnation.
    // Older incarnations than the one known are ignored.
    bool heard(const Member&);

    // Removes a member that left or was found dead, if it is still in that incarnation.
    void remove(const DaemonId&);

    // Returns the member on a VM, or nullptr.
    const Member* find(std::string_view vm) const;

    // Returns the member that listens at a peer address, or nullptr. Linear in the members.
    const Member* findByAddress(std::string_view address) const;

    // Returns the VMs in the order in which they serve the name, best first. Cached until the
    // members change.
    const std::vector<std::string>& orderFor(std::string_view name) const;

    const std::map<std::string, Member, std::less<>>& all() const noexcept { return this->members; }

    // Grows with each change of who is a member.
    std::uint64_t generation() const noexcept { return this->changes; }

private:
    Member own;
    std::map<std::string, Member, std::less<>> members;
    std::uint64_t changes { 1 };
    struct CachedOrder {
        std::uint64_t generation { 0 };
        std::vector<std::string> vms;
    };
    mutable std::unordered_map<std::string, CachedOrder> orders;
};

}
