#pragma once

#include "flamingowick/health/EjectionRecord.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// The capacity floor: which of the wanted restrictions take effect, so that the slots in full use
// never fall below the service's floor on account of ejections.
namespace flamingowick::health {

// A target as the floor counts it. Members are in order of address, each address once.
struct PoolMember {
    TargetAddress address;
    bool leaving { false };
    bool warming { false };
};

// A target's standing below full share, wanted by a record.
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
    // HealthPolicy::capacityFloor.
    double floorShare { 0.5 };
};

// The wanted restrictions, parted into those in force and those held back by the floor.
struct FloorVerdict {
    std::vector<Restriction> applied;
    std::vector<Restriction> heldBack;
};

// Returns the floor in slots: the share of all listed targets' slots, leaving ones included,
// rounded up. Never throws.
unsigned floorSlots(std::size_t targets, unsigned slotsPerTarget, double floorShare) noexcept;

// Returns the slots of targets that are neither leaving nor warming nor under one of the
// restrictions that concern traffic from a failure domain. O(members * restrictions); never throws.
unsigned healthyCapacity(const FloorRequest&, std::span<const Restriction> applied, std::string_view fromFailureDomain) noexcept;

// Chooses the restrictions that take effect: those of ejected targets before those of returning
// ones, service-wide before those of one failure domain, the most severe first, ties by address.
// Depends on nothing but its arguments, in any order of wanted. O(restrictions * members); may
// throw std::bad_alloc.
FloorVerdict applyFloor(const FloorRequest&);

// Returns true when, seen from every failure domain that a restriction names and from all others,
// the healthy capacity is at least the floor, or no restriction costs any capacity. May throw
// std::bad_alloc.
bool respectsFloor(const FloorRequest&, std::span<const Restriction> applied);

}
