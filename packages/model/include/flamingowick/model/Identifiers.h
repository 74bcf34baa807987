#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

// Names of the things that the fleet talks about.
namespace flamingowick {

// Grows with every start of a daemon on the same VM. Milliseconds of wall clock at the start, so
// that it needs no disk.
using Incarnation = std::uint64_t;

// One life of one daemon process. Two lives on one VM differ in their incarnation.
struct DaemonId {
    std::string vm;
    Incarnation incarnation { 0 };

    auto operator<=>(const DaemonId&) const = default; // NOLINT(modernize-use-nullptr)
};

// A request as one daemon knows it. The counter never repeats within an incarnation, so the whole
// is never reused.
struct RequestId {
    DaemonId origin;
    std::uint64_t counter { 0 };

    auto operator<=>(const RequestId&) const = default; // NOLINT(modernize-use-nullptr)
};

// Where a target listens, as "address:port". Unique within a service.
using TargetAddress = std::string;

// Returns "vm/incarnation", as logs and status show it. May throw std::bad_alloc.
std::string toString(const DaemonId&);

// Returns "vm/incarnation/counter", as the request identifier header shows it. May throw
// std::bad_alloc.
std::string toString(const RequestId&);

}

template <>
struct std::hash<flamingowick::RequestId> {
    std::size_t operator()(const flamingowick::RequestId& id) const noexcept
    {
        return std::hash<std::string>()(id.origin.vm) ^ (id.origin.incarnation * 0x9e3779b97f4a7c15ULL) ^ id.counter;
    }
};
