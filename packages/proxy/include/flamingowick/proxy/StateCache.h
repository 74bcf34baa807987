#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

// The store's objects as this daemon has seen them, whichever way they came, and what a peer lacks
// that has seen less. Deterministic, without I/O.
namespace flamingowick::proxy {

enum class StateKind : std::uint8_t {
    Configuration,
    Targets,
    Members,
};

inline constexpr std::array allStateKinds { StateKind::Configuration, StateKind::Targets, StateKind::Members };

// An object with its content as the store holds it.
struct StateObject {
    std::string name;
    // The store's revision of its last change.
    std::uint64_t revision { 0 };
    std::string payload;
};

struct StateChange {
    StateObject object;
    bool removed { false };
};

// All objects of one kind.
struct KindCache {
    std::map<std::string, StateObject, std::less<>> objects;
    // All changes up to this revision have been seen.
    std::uint64_t seen { 0 };
    // Revision of the last change.
    std::uint64_t changed { 0 };
    bool known { false };
    // Names of changed objects in order, by the revision at which this daemon saw the change; peers that
    // have seen less than the oldest get everything.
    std::deque<std::pair<std::uint64_t, std::string>> log;
    std::uint64_t logFrom { 0 };
};

// What a peer lacks.
struct StateDelta {
    std::uint64_t revision { 0 };
    bool whole { false };
    std::vector<StateChange> changes;
};

// Takes in all objects as of a revision, and returns what has changed by it. An older state than the
// one known is ignored. Linear in the objects.
std::vector<StateChange> takeWhole(KindCache&, std::uint64_t revision, std::span<const StateObject>);

// Takes in changes that lead up to a revision, and returns those that were news. Logarithmic for each.
std::vector<StateChange> takeChanges(KindCache&, std::uint64_t revision, std::span<const StateChange>);

// Returns what a peer lacks that has seen all changes up to a revision. Linear in these.
StateDelta changesSince(const KindCache&, std::uint64_t seen);

// Whether a peer that has seen a revision lacks anything.
bool hasNews(const KindCache&, std::uint64_t seen) noexcept;

}
