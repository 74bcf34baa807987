#pragma once

#include "flamingowick/platform/Port.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// URL paths and JSON messages of the object store.
namespace flamingowick::platform::detail {

// Returns the path of the collection that holds all objects of a kind.
std::string pathOf(Plural);

// Returns the path of one object. The name is percent-encoded.
std::string pathOf(Plural, std::string_view name);

// Returns the path and query of a watch request for all changes of a kind after resourceVersion. timeout is the time
// after which the store ends the response.
std::string watchPathOf(Plural, std::string_view resourceVersion, std::chrono::seconds timeout);

// Returns the request body that stores an object, or nullopt when its spec is not valid JSON or a string is not valid
// UTF-8.
std::optional<std::string> encodeObject(const Object&);

// Returns the body of a delete request whose precondition is that the object still has resourceVersion.
std::string encodeDeleteOptions(std::string_view resourceVersion);

// Parses one object. Returns nullopt when text is not valid JSON or lacks a name or a resource version.
std::optional<Object> decodeObject(Plural, std::string_view text);

struct ObjectList {
    std::vector<Object> objects;
    std::string resourceVersion;
};

// Parses a list of objects. Returns nullopt when text is not a valid list or any item is not a valid object.
std::optional<ObjectList> decodeList(Plural, std::string_view text);

enum class WatchLineKind : std::uint8_t {
    Change,
    Bookmark,
    // The store no longer keeps the changes after the requested version.
    Expired,
    // The line can't be parsed, or reports another error.
    Failure,
};

struct WatchLine {
    WatchLineKind kind { WatchLineKind::Failure };
    // Set for Change.
    WatchEvent event;
    // Set for Change and Bookmark.
    std::string resourceVersion;
};

// Parses one line of a watch response.
WatchLine decodeWatchLine(Plural, std::string_view text);

}
