#include "flamingowick/daemon/Members.h"

#include "flamingowick/model/StableHash.h"

namespace flamingowick::daemon {

Members::Members(Member self)
    : own(self)
{
    this->members.emplace(self.id.vm, std::move(self));
}

bool Members::heard(const Member& member)
{
    if (member.id.vm == this->own.id.vm)
        return false;
    auto known = this->members.find(member.id.vm);
    if (known == this->members.end()) {
        this->members.emplace(member.id.vm, member);
        ++this->changes;
        return true;
    }
    if (member.id.incarnation < known->second.id.incarnation)
        return false;
    bool isNewLife = member.id.incarnation > known->second.id.incarnation;
    known->second = member;
    if (isNewLife)
        ++this->changes;
    return isNewLife;
}

void Members::remove(const DaemonId& id)
{
    auto known = this->members.find(id.vm);
    if (known == this->members.end() || known->second.id != id || id == this->own.id)
        return;
    this->members.erase(known);
    ++this->changes;
}

const Member* Members::find(std::string_view vm) const
{
    auto known = this->members.find(vm);
    return known == this->members.end() ? nullptr : &known->second;
}

const Member* Members::findByAddress(std::string_view address) const
{
    for (const auto& [vm, member] : this->members) {
        if (member.peerAddress == address)
            return &member;
    }
    return nullptr;
}

const std::vector<std::string>& Members::orderFor(std::string_view name) const
{
    CachedOrder& cached = this->orders[std::string(name)];
    if (cached.generation == this->changes)
        return cached.vms;
    std::vector<std::string> vms;
    for (const auto& [vm, member] : this->members)
        vms.push_back(vm);
    cached.vms.clear();
    for (std::size_t index : rendezvousOrder(name, vms))
        cached.vms.push_back(vms[index]);
    cached.generation = this->changes;
    return cached.vms;
}

}
