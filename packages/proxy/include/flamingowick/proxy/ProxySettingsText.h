#pragma once

#include "flamingowick/model/Finding.h"
#include "flamingowick/proxy/ProxySettings.h"

#include <string_view>

// The settings of a daemon of the granted data path as JSON with comments.
namespace flamingowick::proxy {

// Reads and checks settings. All findings are reported together, ordered by line. The header names
// are not part of the text. Linear in the length of text; throws nothing but std::bad_alloc.
Checked<ProxySettings> parseProxySettings(std::string_view text);

}
