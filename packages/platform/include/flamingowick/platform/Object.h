#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Objects that the platform's object API keeps for the fleet.
namespace flamingowick::platform {

// The kinds of object, by the plural that names each in the API's paths.
enum class Plural : std::uint8_t {
    // What a team wrote for its service, checked or not.
    ServiceDocuments,
    // The last document of each service that was accepted.
    AcceptedDocuments,
    // Which daemon owns which range of idempotency keys.
    KeyRanges,
    // What the fleet reports to operators.
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

// Returns the plural as the API's paths spell it, such as "servicedocuments". Never throws.
std::string_view toString(Plural) noexcept;

// Returns the plural that text spells, or nothing when it spells none. Never throws.
std::optional<Plural> parsePlural(std::string_view text) noexcept;

// One object. Its version is opaque: equal or not is all that may be asked of it.
struct Object {
    Plural plural { Plural::ServiceDocuments };
    std::string name;
    // Set by the platform; empty on an object that is not stored yet.
    std::string resourceVersion;
    // Chosen by the writer for each change, so that it can recognise its own change when it reads
    // back after a lost answer.
    std::string changeId;
    // The operator, automation or daemon that made the change.
    std::string changedBy;
    // The spec as JSON text; "{}" when empty.
    std::string specJson { "{}" };

    bool operator==(const Object&) const = default;
};

}
