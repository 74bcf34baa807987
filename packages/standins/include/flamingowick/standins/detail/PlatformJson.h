#pragma once

#include "flamingowick/standins/StandinPlatform.h"
#include "flamingowick/standins/detail/ObjectStore.h"

#include <optional>
#include <string>
#include <string_view>

// JSON texts of the object API and of the stand-in's control endpoint.
namespace flamingowick::standins::detail {

inline constexpr std::string_view changeIdAnnotation = "flamingowick.example/change-id";

// Returns whether the API has objects of this plural.
bool knownPlural(std::string_view plural) noexcept;

// Renders an object as the API shows it.
std::string renderObject(std::string_view plural, const StoredObject&);

// Renders a list at a version.
std::string renderList(std::string_view plural, std::span<const StoredObject* const>, std::uint64_t version);

// Renders one watch event as a line.
std::string renderEvent(std::string_view plural, const StoreEvent&);

// Renders the bookmark that tells a watcher how far it has seen everything, as a line.
std::string renderBookmark(std::string_view plural, std::uint64_t version);

// Renders a failure in the API's Status form.
std::string renderStatus(unsigned code, std::string_view reason);

// Reads an object from a call's body; nothing when the body is no object with a name.
std::optional<StoredObject> parseObject(std::string_view body);

// Reads the version that a DELETE demands in its preconditions; 0 when the body demands none.
std::uint64_t parsePrecondition(std::string_view body);

// Returns the change id that an object's annotations carry; empty when there is none.
std::string changeIdOf(const StoredObject&);

// Changes the faults that the body of a control call names. Returns false when it is no JSON object.
bool applyControl(std::string_view body, PlatformFaults&);

std::string renderCounters(const PlatformCounters&);

}
