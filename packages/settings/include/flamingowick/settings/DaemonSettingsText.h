#pragma once

#include "flamingowick/model/DaemonSettings.h"
#include "flamingowick/model/Finding.h"

#include <string_view>

// A daemon's settings as JSON with comments.
namespace flamingowick::settings {

// Reads and checks a daemon's settings. All findings are reported together, ordered by line.
// Accepts any bytes as text. Linear in the length of text. Throws nothing but std::bad_alloc.
Checked<DaemonSettings> parseDaemonSettings(std::string_view text);

}
