#pragma once

#include "flamingowick/configuration/Documents.h"
#include "flamingowick/daemon/Catalogue.h"
#include "flamingowick/keys/RangeRecord.h"
#include "flamingowick/platform/Object.h"

#include <optional>

// The forms in which the fleet's objects are kept in the platform's store.
namespace flamingowick::daemon {

// Returns what an operator wrote; the text is the field "text" of the object's spec.
configuration::SourceObject readSource(const platform::Object&);

// Returns nothing when the object can't be read.
std::optional<configuration::StoredDocument> readAccepted(const platform::Object&);
platform::Object writeAccepted(const configuration::AcceptedDocument&, std::string_view expectedVersion);

platform::Object writeArchive(const configuration::AuditArchive&);

// Returns the name under which a range's record is kept.
std::string recordName(const keys::RangeId&);
// Returns nothing when the object can't be read.
std::optional<keys::RangeRecord> readRecord(const platform::Object&);
platform::Object writeRecord(const keys::RangeRecord&, std::string_view expectedVersion);

// Returns the platform's list of a service's targets. Entries that can't be read are left out.
TargetList readTargetList(const platform::Object&);

// Returns the names of the VMs that the platform lists, live or leaving.
std::vector<std::string> readVmList(const platform::Object&);

}
