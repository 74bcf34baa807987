#pragma once

#include "flamingowick/health/EjectionRecord.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// The capacity floor: selects which of the wanted restrictions take effect, so that ejections never reduce the
// number of unrestricted slots below the service's floor.
namespace flamingowick::health {

// A target as counted for the floor. Members are sorted by address, and each address occurs once.
struct PoolMember {
    TargetAddress address;
    bool leaving { false };
    bool warming { false };
};

// A reduced traffic share of a target, as an ejection record requires it.
struct Restriction {
    Scope scope;
    StandingShare standing;
    double severity { 0 };

    bool operator==(const Restriction&) const = default;
};

struct FloorRequest {
    std::span<const PoolMember> members;
    std::span<const Restriction> wanted;
    unsigned slotsPerTarget { 1 };
    // HealthPolicy::capacityFloor, 0 to 1.
    double floorShare { 0.5 };
};

// The wanted restrictions, split into those in force and those held back by the floor.
struct FloorVerdict {
    std::vector<Restriction> applied;
    std::vector<Restriction> heldBack;
};

// Returns the floor in slots: the given share of the slots of all listed targets, including leaving ones,
// rounded up. Never throws.
unsigned floorSlots(std::size_t targets, unsigned slotsPerTarget, double floorShare) noexcept;

// Returns the slots of targets that are neither leaving nor warming up nor restricted for traffic from a failure
// domain. O(members * restrictions); never throws.
unsigned healthyCapacity(const FloorRequest&, std::span<const Restriction> applied, std::string_view fromFailureDomain) noexcept;

// Selects the restrictions that take effect, in order of precedence: service-wide ones before those of one
// failure domain, then ejected targets before returning ones, then by descending severity, then by scope. The
// result does not depend on the order of the wanted restrictions. O(restrictions^2 * failure domains * members); may
// throw std::bad_alloc.
FloorVerdict applyFloor(const FloorRequest&);

// Returns true if, for traffic from every failure domain, the healthy capacity is at least the floor or is not
// reduced by the restrictions. May throw std::bad_alloc.
bool respectsFloor(const FloorRequest&, std::span<const Restriction> applied);

}
