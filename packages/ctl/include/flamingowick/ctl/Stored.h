#pragma once

#include "flamingowick/ctl/Ports.h"
#include "flamingowick/ctl/Reports.h"
#include "flamingowick/platform/Object.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

// Reads of the platform's objects, with their failures as reports.
namespace flamingowick::ctl {

// One object, nothing when there is none, or why it can't be known.
using ReadObject = std::variant<std::optional<platform::Object>, FailureReport>;

// Reads one object. Throws what the port throws.
ReadObject readObject(const Ports&, platform::Plural, std::string_view name);

// Returns the document's text in an object that an operator wrote, "" when there is none. May throw
// std::bad_alloc.
std::string sourceText(const platform::Object&);

// Returns the object that stands for a document's text, without a version. May throw std::bad_alloc.
platform::Object makeSource(std::string_view service, std::string_view text);

// Returns the failure that a result other than success stands for. May throw std::bad_alloc.
FailureReport failureOf(const platform::Result&);

}
