#pragma once

#include "flamingowick/model/Identifiers.h"

#include <cstdint>
#include <string>
#include <tuple>

// The record by which the platform's store names the one daemon that may run the keys of a range.
namespace flamingowick::keys {

// The number of the pseudo range that holds the issued keys of a service. No record exists for it.
constexpr std::uint32_t issuedRangeNumber = UINT32_MAX;

// A part of a service's keys that is owned as a whole.
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

// One range's ownership. Records are never deleted: a range without a record has never had an owner.
struct RangeRecord {
    RangeId id;
    DaemonId owner;
    // The owner before this one; its VM is empty on the first record of a range.
    DaemonId previous;
    // Grows by one with every change of owner, from 1.
    std::uint64_t epoch { 0 };
    // Made by the writer, by which it knows its own write after a lost answer.
    std::string changeId;
    // The store's version of the object, opaque; empty when the record is yet to be created.
    std::string resourceVersion;

    bool operator==(const RangeRecord&) const = default;
};

}
