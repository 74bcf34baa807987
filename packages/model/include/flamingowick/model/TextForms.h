#pragma once

#include "flamingowick/model/Clock.h"

#include <optional>
#include <string>
#include <string_view>

// Forms of text that several interfaces share.
namespace flamingowick {

// Returns the text with every byte that isn't unreserved in a URI (RFC 3986) as a percent escape. Linear
// in the length of text; may throw std::bad_alloc.
std::string encodePercent(std::string_view text);

// Reads a duration such as "1500ms" or "2.5s". Returns none for another unit, a malformed number, or one
// that is negative or above the greatest. Never throws.
std::optional<Duration> parseDuration(std::string_view text, double greatest) noexcept;

}
