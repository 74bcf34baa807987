#pragma once

#include "flamingowick/model/Identifiers.h"

#include <cstdint>
#include <string>
#include <tuple>

// The record in the object store that names the only daemon that may run the keys of a range.
namespace flamingowick::keys {

// The number of the virtual range that contains the issued keys of a service. It has no record: an issued key names its
// owner.
constexpr std::uint32_t issuedRangeNumber = UINT32_MAX;

// A subset of a service's keys that has a single owner.
struct RangeId {
    std::string service;
    std::uint32_t range { 0 };

    bool operator==(const RangeId&) const = default;
};

// Orders by service, then range. Never throws.
inline bool operator<(const RangeId& left, const RangeId& right) noexcept
{
    return std::tie(left.service, left.range) < std::tie(right.service, right.range);
}

// The ownership of one range. Records are never deleted, so a range without a record has never had an owner.
struct RangeRecord {
    RangeId id;
    DaemonId owner;
    // The owner before this one; its VM is empty on the first record of a range.
    DaemonId previous;
    // Starts at 1 and increases by one with every change of owner.
    std::uint64_t epoch { 0 };
    // Unique identifier of the write, by which the writer recognises its own record after the store's answer was lost.
    std::string changeId;
    // The store's opaque version of the object; empty until the record is created.
    std::string resourceVersion;

    bool operator==(const RangeRecord&) const = default;
};

}
