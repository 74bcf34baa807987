#pragma once

#include "flamingowick/ctl/Reports.h"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

// Tells what happened to one request, from the structured logs of any number of daemons.
namespace flamingowick::ctl {

// Reads log lines, of which each may have words before its JSON object, and returns the request's
// course in order of time with what was believed of its targets meanwhile. Lines that are no log lines
// are passed over. Linear in the text; throws nothing but std::bad_alloc.
StoryReport tellStory(std::span<std::istream* const> logs, std::string_view requestId);

// Returns one line as a person would say it. May throw std::bad_alloc.
std::string describe(const StoryLine&);

// Returns what the course comes to: the outcome and what led to it. May throw std::bad_alloc.
std::string concludeStory(const StoryReport&);

}
