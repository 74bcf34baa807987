#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

// The store's objects as last received by this daemon, from the store or from a relay, and the changes that a peer with
// an older revision lacks. Deterministic, no I/O.
namespace flamingowick::proxy {

enum class StateKind : std::uint8_t {
    Configuration,
    Targets,
    Members,
    // Requests that are refused because they crash their targets.
    Quarantines,
};

inline constexpr std::array allStateKinds { StateKind::Configuration, StateKind::Targets, StateKind::Members, StateKind::Quarantines };

// An object with its content, as the store contains it.
struct StateObject {
    std::string name;
    // The store's revision at the object's last change.
    std::uint64_t revision { 0 };
    std::string payload;
};

struct StateChange {
    StateObject object;
    bool removed { false };
    // Of an applied change: the revision that the object had in the cache before; 0 if there was none.
    std::uint64_t earlierRevision { 0 };
};

// All objects of one kind.
struct KindCache {
    std::map<std::string, StateObject, std::less<>> objects;
    // All changes up to this revision are contained.
    std::uint64_t seenRevision { 0 };
    // Revision of the last change.
    std::uint64_t lastChangeRevision { 0 };
    // Set once a snapshot was applied; until then there is nothing to pass on to peers.
    bool hasSnapshot { false };
    // Names of changed objects, ordered by the revision that the cache had reached with the change. Bounded: a peer whose
    // revision is older than the start of the log gets a snapshot.
    std::deque<std::pair<std::uint64_t, std::string>> changeLog;
    std::uint64_t logStartRevision { 0 };
};

// The changes that a peer lacks, or a snapshot of all objects.
struct StateDelta {
    // With the changes applied, the peer has seen all changes up to this revision.
    std::uint64_t revision { 0 };
    bool isSnapshot { false };
    std::vector<StateChange> changes;
};

// Applies a snapshot of all objects at a revision and returns what it has changed. A snapshot older than the cache is
// ignored. Linear in the objects.
std::vector<StateChange> applySnapshot(KindCache&, std::uint64_t revision, std::span<const StateObject>);

// Applies all changes up to a revision and returns those that were not contained before. Ignored unless the revision is newer than
// the cache, which contains them otherwise. Logarithmic for each change, linear in the log for the removal of an unknown object.
std::vector<StateChange> applyChanges(KindCache&, std::uint64_t revision, std::span<const StateChange>);

// Returns what a peer lacks that has seen all changes up to a revision. Linear in the changes since, or in all objects
// when it returns a snapshot.
StateDelta changesSince(const KindCache&, std::uint64_t seenRevision);

// Returns whether a peer that has seen all changes up to a revision lacks any.
bool hasChangesSince(const KindCache&, std::uint64_t seenRevision) noexcept;

}
