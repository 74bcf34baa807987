#pragma once

#include "flamingowick/configuration/DocumentDiff.h"
#include "flamingowick/configuration/Documents.h"
#include "flamingowick/configuration/FleetStatus.h"

#include <cstdint>
#include <span>
#include <string>

// Changes, histories and status as operators read them in a terminal. Control characters are shown
// as '?'. All functions are linear in their input and may throw std::bad_alloc.
namespace flamingowick::configuration {

// Returns a time, in milliseconds since the Unix epoch, as "YYYY-MM-DD hh:mm:ss.mmm" in UTC.
std::string renderUtcTime(std::int64_t milliseconds);

// Returns a block for each change: the side and the pointer, then the values that differ from the
// base.
std::string renderChanges(std::span<const DocumentChange>);

// Returns a line for each entry: the time in UTC, who, the versions and the change's id, and a line
// for each finding of a change that was not accepted.
std::string renderAudit(std::span<const AuditEntry>);

// Returns a line for each service: its version, on how many daemons it is in force, and the failure
// domains that are behind.
std::string renderStatus(std::span<const FleetServiceStatus>);

}
