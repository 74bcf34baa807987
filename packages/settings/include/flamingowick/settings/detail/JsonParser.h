#pragma once

#include "flamingowick/settings/JsonValue.h"
#include "flamingowick/settings/detail/FindingList.h"

#include <optional>
#include <string_view>

// Parses texts into located values.
namespace flamingowick::settings::detail {

// Limits on a text, so that reading one costs bounded time and memory whatever it holds.
constexpr std::size_t maxTextBytes = 1'000'000;
constexpr std::size_t maxDepth = 16;
constexpr std::size_t maxValues = 50'000;
constexpr std::size_t maxNameBytes = 128;

// Parses JSON with comments. Returns nothing when the text is no JSON or is beyond a limit, with the
// findings that say so. A repeated field is reported; its first value is kept. Linear in the length
// of text; throws nothing but std::bad_alloc.
std::optional<JsonValue> parseJson(std::string_view text, FindingList&);

}
