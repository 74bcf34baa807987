#pragma once

#include "flamingowick/platform/Port.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Paths and JSON texts of the object API.
namespace flamingowick::platform::detail {

// Returns the path of a kind's objects.
std::string pathOf(Plural);

// Returns the path of one object, its name percent-encoded.
std::string pathOf(Plural, std::string_view name);

// Returns the path and query that watch a kind from a version on.
std::string watchPathOf(Plural, std::string_view resourceVersion, std::chrono::seconds timeout);

// Returns the body that stores an object; nothing when its spec is no JSON or its texts are no UTF-8.
std::optional<std::string> encodeObject(const Object&);

// Returns the body of a removal that is bound to a version.
std::string encodePrecondition(std::string_view resourceVersion);

// Reads one object; nothing when the text is none.
std::optional<Object> decodeObject(Plural, std::string_view text);

struct ObjectList {
    std::vector<Object> objects;
    std::string resourceVersion;
};

// Reads a list; nothing when the text is none or any item is no object.
std::optional<ObjectList> decodeList(Plural, std::string_view text);

enum class WatchLineKind : std::uint8_t {
    Change,
    Bookmark,
    // The watch's version is too old.
    Expired,
    Failure,
};

struct WatchLine {
    WatchLineKind kind { WatchLineKind::Failure };
    // Set for Change.
    WatchEvent event;
    // Set for Change and Bookmark.
    std::string resourceVersion;
};

// Reads one line of a watch. A line that can't be read is a Failure.
WatchLine decodeWatchLine(Plural, std::string_view text);

}
