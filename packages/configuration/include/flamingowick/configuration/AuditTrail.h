#pragma once

#include "flamingowick/configuration/Documents.h"
#include "flamingowick/model/Finding.h"

#include <span>
#include <string>
#include <vector>

// The whole history of a document, put together from the document and its archives.
namespace flamingowick::configuration {

// Number of the finding for a history that has a gap.
constexpr int auditGapNumber = 153;

// Returns all audit entries of a document, oldest first, with a finding for each archive that is
// missing or not full, and for each step of the version that no entry tells of. Archives may come in
// any order. O(n log n) in the entries; throws nothing but std::bad_alloc.
Checked<std::vector<AuditEntry>> auditTrail(const AcceptedDocument&, std::span<const AuditArchive>);

}
