#pragma once

#include "flamingowick/model/Finding.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// Service documents as the platform's store holds them: what operators write, and what the fleet has
// accepted of it.
namespace flamingowick::configuration {

// A document as an operator or automation wrote it.
struct SourceObject {
    std::string service;
    // The store's own version, compared for equality only.
    std::string resourceVersion;
    std::string text;
    std::string changedBy;

    bool operator==(const SourceObject&) const = default;
};

// Tells one state of a source object from another. The hash is there because a store may number the
// versions of a re-created object from the start again.
struct SourceMark {
    bool present { false };
    std::string resourceVersion;
    std::uint64_t textHash { 0 };

    bool operator==(const SourceMark&) const = default;
};

// One line of a document's audit trail.
struct AuditEntry {
    // The revision of the accepted document that recorded this entry.
    std::uint64_t revision { 0 };
    std::string changeId;
    std::string who;
    // Milliseconds since the Unix epoch, by the accepting daemon's wall clock.
    std::int64_t whenMs { 0 };
    std::uint64_t fromVersion { 0 };
    // Equal to fromVersion when the change was not accepted.
    std::uint64_t toVersion { 0 };
    bool accepted { false };
    std::string sourceVersion;
    // The first few findings of a change that was not accepted.
    std::vector<Finding> findings;

    bool operator==(const AuditEntry&) const = default;
};

// What the fleet has accepted for a service, with its audit trail. One conditional write replaces
// the whole, so that a version and its audit entry can't be parted.
struct AcceptedDocument {
    std::string service;
    // Grows by one with every accepted change; 0 while none was ever accepted.
    std::uint64_t version { 0 };
    // Grows with every write, rejected changes included. Orders copies of the document.
    std::uint64_t revision { 0 };
    // The source that was looked at last, accepted or not.
    SourceMark checked;
    std::string text;
    // The service was withdrawn; version counts on if it comes back.
    bool deleted { false };
    // Oldest first.
    std::vector<AuditEntry> audit;
    // Audit entries that were moved to archive objects.
    std::uint64_t archivedEntries { 0 };

    bool operator==(const AcceptedDocument&) const = default;
};

// An accepted document with the store's version of the object that holds it.
struct StoredDocument {
    AcceptedDocument document;
    std::string objectVersion;

    bool operator==(const StoredDocument&) const = default;
};

// A full segment of audit entries that left its document. Segment n holds the entries from
// n * auditSegment on; its content never changes, so writing it again does no harm.
struct AuditArchive {
    std::string service;
    std::uint64_t segment { 0 };
    std::vector<AuditEntry> entries;

    bool operator==(const AuditArchive&) const = default;
};

// Returns the mark of a source object, or that of an absent one. Linear in the text; may throw
// std::bad_alloc.
SourceMark markOf(const std::optional<SourceObject>&);

}
