#pragma once

#include "flamingowick/ctl/Ports.h"
#include "flamingowick/ctl/Reports.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

// The commands that change nothing. All throw what the ports throw.
namespace flamingowick::ctl {

// Checks a document's text. Linear in its length.
Report validate(std::string_view text, std::string_view fileName);

// Compares a document with the platform's, in three ways when the text that both began from is given.
// A document with findings gives a ValidateReport. Changes that clash give a report with
// ExitCode::Conflict.
Report diff(const Ports&, std::string_view text, std::string_view fileName, const std::optional<std::string>& baseText);

// Returns a service's document from the platform or, when daemons are given, from the first of them
// that answers.
Report get(const Ports&, std::string_view service, std::span<const std::string> daemons);

// Returns a service's audit trail; as get().
Report history(const Ports&, std::string_view service, std::span<const std::string> daemons);

// Returns the fleet's status as the daemons report it or, when none are given, as the platform's
// status objects have it.
Report status(const Ports&, std::span<const std::string> daemons);

// Asks the daemons why a target is treated as it is, until one explains. Those that say
// that they have ejected it are asked first, then those that are named as the service's dispatcher.
Report explain(const Ports&, std::string_view service, std::string_view target, std::span<const std::string> daemons);

}
