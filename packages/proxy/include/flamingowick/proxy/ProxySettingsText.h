#pragma once

#include "flamingowick/model/Finding.h"
#include "flamingowick/proxy/ProxySettings.h"

#include <string_view>

// Settings of a proxy daemon as JSON with comments.
namespace flamingowick::proxy {

// Parses and validates settings. All findings are reported together, ordered by line. The header names are not part of
// the text. Linear in the length of text; throws only std::bad_alloc.
Checked<ProxySettings> parseProxySettings(std::string_view text);

}
