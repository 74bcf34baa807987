#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Objects in the platform's object store.
namespace flamingowick::platform {

// The kinds of object, named by the plural that the paths of the object store use.
enum class Plural : std::uint8_t {
    // The document that a team wrote for its service, whether or not it passed validation.
    ServiceDocuments,
    // The last accepted document of each service.
    AcceptedDocuments,
    // Which daemon owns which range of idempotency keys.
    KeyRanges,
    // Status reports of the fleet for operators.
    FleetStatuses,
    // The targets of each service, as the platform lists them.
    TargetLists,
    // The VMs that the platform lists as live or leaving.
    VmLists,
    // Records of who changed what.
    AuditSegments,
};

inline constexpr std::array allPlurals {
    Plural::ServiceDocuments,
    Plural::AcceptedDocuments,
    Plural::KeyRanges,
    Plural::FleetStatuses,
    Plural::TargetLists,
    Plural::VmLists,
    Plural::AuditSegments,
};

// Returns the plural as it is written in paths, such as "servicedocuments". Never throws.
std::string_view toString(Plural) noexcept;

// Parses a plural as it is written in paths. Returns nullopt for any other text. Never throws.
std::optional<Plural> parsePlural(std::string_view text) noexcept;

// One object. Its resource version is opaque: versions may be compared for equality only.
struct Object {
    Plural plural { Plural::ServiceDocuments };
    std::string name;
    // Assigned by the store; empty on an object that is not stored yet.
    std::string resourceVersion;
    // Chosen by the writer, unique for each change. After a lost response, the writer reads the object and compares
    // this identifier to find out whether its change was stored.
    std::string changeId;
    // The operator, automation or daemon that made the change.
    std::string changedBy;
    // The spec as JSON text; "{}" is an empty spec.
    std::string specJson { "{}" };

    bool operator==(const Object&) const = default;
};

}
