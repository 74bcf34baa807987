#pragma once

#include <string>
#include <string_view>

// Rules for the texts in settings. Each returns what is wrong, empty when nothing is. None throws;
// each is linear in the length of text.
namespace flamingowick::settings::detail {

// A service's name: 1 to 63 small letters, digits and hyphens, first a letter.
std::string_view checkServiceName(std::string_view) noexcept;

// The name of a VM or failure domain: 1 to 63 letters, digits, dots, underscores and hyphens.
std::string_view checkPlaceName(std::string_view) noexcept;

// A host name or IPv4 address, without a port.
std::string_view checkHost(std::string_view) noexcept;

// An absolute path without query, fragment, empty segments and dot segments.
std::string_view checkPathPrefix(std::string_view) noexcept;

// A header's name, an RFC 9110 token.
std::string_view checkHeaderName(std::string_view) noexcept;

// "ip:port", IPv6 in brackets, with a port from 1 to 65535.
std::string_view checkAddress(std::string_view) noexcept;

// "http://ip:port".
std::string_view checkPlatformUrl(std::string_view) noexcept;

// 16 to 512 visible ASCII characters.
std::string_view checkToken(std::string_view) noexcept;

// Returns text with ASCII capitals made small. May throw std::bad_alloc.
std::string lowerCase(std::string_view text);

// Returns a path prefix without its closing slash, so that equal prefixes compare equal. Never
// throws.
std::string_view trimPathPrefix(std::string_view prefix) noexcept;

}
