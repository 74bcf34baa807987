#pragma once

#include "flamingowick/configuration/Documents.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// The fleet's own objects as JSON, for the platform's store.
namespace flamingowick::configuration {

// Number of the finding for an object that isn't what the fleet writes.
constexpr int unreadableObjectNumber = 152;

// Writes an accepted document. Linear in its size; throws nothing but std::bad_alloc.
std::string acceptedDocumentJson(const AcceptedDocument&);

// Reads what acceptedDocumentJson wrote, or a later program that added fields. Anything else gives
// one finding. Linear in the length of text; throws nothing but std::bad_alloc.
Checked<AcceptedDocument> parseAcceptedDocument(std::string_view text);

// Writes an archive of audit entries. Throws nothing but std::bad_alloc.
std::string auditArchiveJson(const AuditArchive&);

// Reads what auditArchiveJson wrote; as parseAcceptedDocument.
Checked<AuditArchive> parseAuditArchive(std::string_view text);

// Writes audit entries as a JSON array. Throws nothing but std::bad_alloc.
std::string auditEntriesJson(std::span<const AuditEntry>);

// Reads what auditEntriesJson wrote; as parseAcceptedDocument.
Checked<std::vector<AuditEntry>> parseAuditEntries(std::string_view text);

}
