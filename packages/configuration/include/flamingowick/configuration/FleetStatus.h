#pragma once

#include "flamingowick/configuration/StatusTally.h"
#include "flamingowick/model/Finding.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// The status of documents over all failure domains, put together from the objects that each failure
// domain's writer keeps in the store.
namespace flamingowick::configuration {

// A status object with where it comes from.
struct DomainStatus {
    std::string failureDomain;
    // When it was written, in milliseconds since the Unix epoch by the writer's wall clock.
    std::int64_t writtenMs { 0 };
    StatusObject object;

    bool operator==(const DomainStatus&) const = default;
};

// One service over all failure domains.
struct FleetServiceStatus {
    std::string service;
    // The newest version that any failure domain knows.
    std::uint64_t version { 0 };
    bool deleted { false };
    std::size_t daemons { 0 };
    // Daemons with that version in force.
    std::size_t inForce { 0 };
    // Failure domains that know an older version only, in alphabetical order.
    std::vector<std::string> behind;
    // When the oldest of the objects was written.
    std::int64_t asOfMs { 0 };

    bool operator==(const FleetServiceStatus&) const = default;
};

// Returns one entry for each service, in alphabetical order. Of several objects of one failure domain
// and shard the one written last counts. O(n log n) in the entries; may throw std::bad_alloc.
std::vector<FleetServiceStatus> combineStatus(std::span<const DomainStatus>);

// Writes a status object for the store. Linear in its size; throws nothing but std::bad_alloc.
std::string domainStatusJson(const DomainStatus&);

// Reads what domainStatusJson wrote, or a later program that added fields. Anything else gives one
// finding. Linear in the length of text; throws nothing but std::bad_alloc.
Checked<DomainStatus> parseDomainStatus(std::string_view text);

}
