#pragma once

#include "flamingowick/configuration/Documents.h"
#include "flamingowick/model/ServiceDocument.h"

#include <string_view>

// Decides what becomes of a change to a source object.
namespace flamingowick::configuration {

// Audit entries in one archive object.
constexpr std::size_t auditSegment = 32;
// A document with this many audit entries has its oldest segment archived at the next change.
constexpr std::size_t maxAuditEntries = 2 * auditSegment;
// Audit entries that travel with a document between daemons, for reading during an outage.
constexpr std::size_t peerAuditEntries = 8;
// Findings kept in one audit entry, and bytes of each text in them.
constexpr std::size_t maxAuditFindings = 4;
constexpr std::size_t maxAuditTextBytes = 200;
// Longest text that is accepted. With its audit trail, and with every character escaped, the document
// stays within the store's values of one megabyte.
constexpr std::size_t maxSourceBytes = 300'000;
// Number of the finding for a document that names another service than its object, and for one that
// is too long to store.
constexpr int nameMismatchNumber = 150;
constexpr int sourceTooLongNumber = 151;

// Parses and checks a document's text.
using DocumentCheck = Checked<ServiceDocument> (*)(std::string_view text);

// Identifies the decision that is being made.
struct ChangeStamp {
    std::string changeId;
    std::int64_t whenMs { 0 };
};

// Returns whether offered may replace held. Neither revision nor version may go back.
bool supersedes(const AcceptedDocument& held, const AcceptedDocument& offered) noexcept;

// Returns the document that follows current now that source was read: a new version, a tombstone, or
// the same version with a rejected audit entry. A source that only repeats the text in force changes
// nothing but the mark. May throw std::bad_alloc.
AcceptedDocument decideChange(const AcceptedDocument& current, const std::optional<SourceObject>& source, DocumentCheck, const ChangeStamp&);

// Returns the document to decide upon, given what the store and this daemon hold: the newer of the
// two. If the store has lost revisions (it was restored from a backup), the audit trails are merged.
// May throw std::bad_alloc.
AcceptedDocument currentDocument(const AcceptedDocument& stored, const AcceptedDocument& held);

// Returns the segment of a stored document that must be archived before its successor is written, if
// any. May throw
// std::bad_alloc.
std::optional<AuditArchive> archiveDue(const AcceptedDocument&);

// Drops the entries of a segment that is archived.
void dropArchived(AcceptedDocument&);

// Returns the document as it is sent to peers, with the last audit entries only. May throw
// std::bad_alloc.
AcceptedDocument trimmedForPeers(const AcceptedDocument&);

}
