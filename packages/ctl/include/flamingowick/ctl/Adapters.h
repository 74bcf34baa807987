#pragma once

#include "flamingowick/ctl/Ports.h"

#include <string>
#include <string_view>

// The ports' production side: the platform's client and HTTP to daemons.
namespace flamingowick::ctl {

// Returns a port that makes calls one after another through a client of its own. The returned
// function throws PlatformError 200 or 201 at the first call when url can't be used.
std::function<platform::Result(const platform::Call&)> connectPlatform(const std::string& url);

// Makes one GET with a bearer token by libcurl, within a few seconds and at most 16 MB of answer.
// An answer that is longer or not whole has status 0. Throws nothing but std::bad_alloc.
DaemonAnswer getFromDaemon(std::string_view address, std::string_view path, std::string_view token);

// Returns value with everything escaped that a query parameter or path segment can't hold as it is.
// May throw std::bad_alloc.
std::string escapeForUrl(std::string_view value);

}
