#pragma once

#include <optional>
#include <string>
#include <string_view>

// Compression of the state that daemons send to each other.
namespace flamingowick::proxy {

// Compresses the content with zstd. base is content that the receiver has, such as an earlier version of the same object:
// what both have in common is then sent as a reference. Empty for none. Takes milliseconds for each megabyte of content and
// base. None if zstd reports an error.
std::optional<std::string> compress(std::string_view content, std::string_view base);

// Restores what compress() returned, with the same base. None if the bytes are malformed, belong to another base, or hold
// more than maxBytes.
std::optional<std::string> decompress(std::string_view compressed, std::string_view base, std::size_t maxBytes);

}
