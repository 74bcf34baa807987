#pragma once

#include "flamingowick/model/Finding.h"

#include <span>
#include <string>
#include <string_view>

// Findings as people read them.
namespace flamingowick::settings {

// Returns one line for each finding, in the form that editors and compilers use:
// "<file>:<line>: [flamingowick.settings.<number>] <pointer>: <message>". Control characters are
// shown as '?'. Linear in the size of the findings; may throw std::bad_alloc.
std::string renderFindings(std::span<const Finding>, std::string_view fileName);

}
