#pragma once

#include "flamingowick/model/ServiceDocument.h"
#include "flamingowick/model/Target.h"
#include "flamingowick/routing/RouteTable.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The services in force on this daemon: documents, routes and target lists.
namespace flamingowick::daemon {

struct TargetList {
    std::uint64_t version { 0 };
    std::vector<Target> targets;
};

struct ServiceInForce {
    std::uint64_t version { 0 };
    ServiceDocument document;
};

class Catalogue {
public:
    // Puts a document in force. Throws InvariantViolation when the version is lower than the one in
    // force.
    void apply(std::string_view service, std::uint64_t version, const ServiceDocument&);

    // Takes a service out of force. Throws InvariantViolation as apply().
    void withdraw(std::string_view service, std::uint64_t version);

    // Takes in a target list. Returns false for one that is older than the one known.
    bool setTargets(std::string_view service, TargetList);

    // Returns the document in force, or nullptr.
    const ServiceInForce* find(std::string_view service) const;

    // Returns the target list, or nullptr when none was seen.
    const TargetList* targetsOf(std::string_view service) const;

    const routing::RouteTable& routes() const noexcept { return this->table; }
    const std::map<std::string, ServiceInForce, std::less<>>& services() const noexcept { return this->inForce; }
    const std::map<std::string, TargetList, std::less<>>& targetLists() const noexcept { return this->lists; }

private:
    void checkVersion(std::string_view service, std::uint64_t version);

    std::map<std::string, ServiceInForce, std::less<>> inForce;
    std::map<std::string, TargetList, std::less<>> lists;
    // The highest version seen of each service, withdrawn ones included.
    std::map<std::string, std::uint64_t, std::less<>> highest;
    routing::RouteTable table;
};

}
