#include "flamingowick/daemon/Catalogue.h"

#include "flamingowick/model/Invariant.h"

namespace flamingowick::daemon {

void Catalogue::checkVersion(std::string_view service, std::uint64_t version)
{
    std::uint64_t& seen = this->highest[std::string(service)];
    checkInvariant(version >= seen, Invariant::ConfigurationMonotonic, "a document would go back to an older version");
    seen = version;
}

void Catalogue::apply(std::string_view service, std::uint64_t version, const ServiceDocument& document)
{
    this->checkVersion(service, version);
    this->inForce.insert_or_assign(std::string(service), ServiceInForce { version, document });
    this->table.setRoutes(service, document.routes);
}

void Catalogue::withdraw(std::string_view service, std::uint64_t version)
{
    this->checkVersion(service, version);
    this->inForce.erase(std::string(service));
    this->table.removeRoutes(service);
}

bool Catalogue::setTargets(std::string_view service, TargetList list)
{
    auto known = this->lists.find(service);
    if (known != this->lists.end() && list.version <= known->second.version)
        return false;
    this->lists.insert_or_assign(std::string(service), std::move(list));
    return true;
}

const ServiceInForce* Catalogue::find(std::string_view service) const
{
    auto known = this->inForce.find(service);
    return known == this->inForce.end() ? nullptr : &known->second;
}

const TargetList* Catalogue::targetsOf(std::string_view service) const
{
    auto known = this->lists.find(service);
    return known == this->lists.end() ? nullptr : &known->second;
}

}
