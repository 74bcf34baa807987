#include "flamingowick/configuration/Acceptance.h"

#include "flamingowick/model/StableHash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingowick::configuration {

namespace {

    // Shortens a text to what the audit trail keeps, between two UTF-8 characters. Control characters,
    // which JSON would write six times as long, become '?'.
    std::string cut(std::string_view text)
    {
        const auto isContinuation = [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U; };
        const auto isControl = [](char byte) { return static_cast<unsigned char>(byte) < 0x20U; };
        std::size_t length = std::min(text.size(), maxAuditTextBytes);
        while (length < text.size() && length > 0 && isContinuation(text[length]))
            --length;
        std::string kept(text.substr(0, length));
        std::ranges::replace_if(kept, isControl, '?');
        return kept;
    }

    std::vector<Finding> firstFindings(const std::vector<Finding>& findings)
    {
        std::vector<Finding> first;
        for (const Finding& finding : findings) {
            if (first.size() == maxAuditFindings)
                break;
            first.push_back({ finding.number, cut(finding.pointer), finding.line, cut(finding.message) });
        }
        return first;
    }

    std::vector<Finding> findProblems(const SourceObject& source, DocumentCheck check)
    {
        if (source.text.size() > maxSourceBytes)
            return { { sourceTooLongNumber, "", 0, "the text is longer than " + std::to_string(maxSourceBytes) + " bytes" } };
        Checked<ServiceDocument> checked = check(source.text);
        if (checked.accepted() && checked.value.name != source.service)
            checked.findings.push_back({ nameMismatchNumber, "/name", 0, "must be the name of the object, \"" + source.service + "\"" });
        return std::move(checked.findings);
    }

    AuditEntry makeEntry(const AcceptedDocument& next, const ChangeStamp& stamp, std::string_view who)
    {
        AuditEntry entry;
        entry.revision = next.revision;
        entry.changeId = stamp.changeId;
        entry.who = cut(who);
        entry.whenMs = stamp.whenMs;
        entry.fromVersion = next.version;
        entry.toVersion = next.version;
        entry.sourceVersion = cut(next.checked.resourceVersion);
        return entry;
    }

    // Gives the document its next version, with the audit entry of an accepted change.
    void acceptVersion(AcceptedDocument& next, const ChangeStamp& stamp, std::string_view who)
    {
        AuditEntry entry = makeEntry(next, stamp, who);
        ++next.version;
        entry.toVersion = next.version;
        entry.accepted = true;
        next.audit.push_back(std::move(entry));
    }

    void withdraw(AcceptedDocument& next, const ChangeStamp& stamp)
    {
        const bool inForce = next.version > 0 && !next.deleted;
        if (!inForce)
            return;
        next.deleted = true;
        next.text.clear();
        acceptVersion(next, stamp, "");
    }

}

SourceMark markOf(const std::optional<SourceObject>& source)
{
    if (!source)
        return {};
    return { true, source->resourceVersion, stableHash(source->text) };
}

bool supersedes(const AcceptedDocument& held, const AcceptedDocument& offered) noexcept
{
    return offered.revision > held.revision && offered.version >= held.version;
}

AcceptedDocument decideChange(const AcceptedDocument& current, const std::optional<SourceObject>& source, DocumentCheck check, const ChangeStamp& stamp)
{
    AcceptedDocument next = current;
    ++next.revision;
    next.checked = markOf(source);
    if (!source) {
        withdraw(next, stamp);
        return next;
    }
    const bool inForce = next.version > 0 && !next.deleted;
    if (inForce && source->text == next.text)
        return next;
    std::vector<Finding> findings = findProblems(*source, check);
    if (!findings.empty()) {
        AuditEntry entry = makeEntry(next, stamp, source->changedBy);
        entry.findings = firstFindings(findings);
        next.audit.push_back(std::move(entry));
        return next;
    }
    next.text = source->text;
    next.deleted = false;
    acceptVersion(next, stamp, source->changedBy);
    return next;
}

AcceptedDocument currentDocument(const AcceptedDocument& stored, const AcceptedDocument& held)
{
    if (stored.revision >= held.revision)
        return stored;
    AcceptedDocument current = held;
    current.archivedEntries = stored.archivedEntries;
    current.audit = stored.audit;
    const std::uint64_t last = stored.audit.empty() ? 0 : stored.audit.back().revision;
    std::ranges::copy_if(held.audit, std::back_inserter(current.audit),
        [last](const AuditEntry& entry) { return entry.revision > last; });
    return current;
}

std::optional<AuditArchive> archiveDue(const AcceptedDocument& document)
{
    if (document.audit.size() < maxAuditEntries)
        return std::nullopt;
    AuditArchive archive;
    archive.service = document.service;
    archive.segment = document.archivedEntries / auditSegment;
    archive.entries.assign(document.audit.begin(), document.audit.begin() + auditSegment);
    return archive;
}

void dropArchived(AcceptedDocument& document)
{
    document.audit.erase(document.audit.begin(), document.audit.begin() + auditSegment);
    document.archivedEntries += auditSegment;
}

AcceptedDocument trimmedForPeers(const AcceptedDocument& document)
{
    AcceptedDocument trimmed = document;
    if (trimmed.audit.size() > peerAuditEntries)
        trimmed.audit.erase(trimmed.audit.begin(), trimmed.audit.end() - peerAuditEntries);
    return trimmed;
}

}
