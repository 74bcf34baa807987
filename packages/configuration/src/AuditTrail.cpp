#include "flamingowick/configuration/AuditTrail.h"

#include "flamingowick/configuration/Acceptance.h"

#include <algorithm>

namespace flamingowick::configuration {

namespace {

    void report(std::vector<Finding>& findings, std::string message)
    {
        findings.push_back({ auditGapNumber, "", 0, std::move(message) });
    }

    void appendArchive(Checked<std::vector<AuditEntry>>& trail, std::uint64_t segment, std::span<const AuditArchive> archives)
    {
        const auto found = std::ranges::find(archives, segment, &AuditArchive::segment);
        if (found == archives.end() || found->entries.size() != auditSegment) {
            report(trail.findings, "archive " + std::to_string(segment) + " is missing or not full");
            return;
        }
        trail.value.insert(trail.value.end(), found->entries.begin(), found->entries.end());
    }

    // Checks that the entries lead from no version to the document's, one step at a time.
    void checkSteps(Checked<std::vector<AuditEntry>>& trail, std::uint64_t lastVersion)
    {
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
        for (const AuditEntry& entry : trail.value) {
            const std::uint64_t step = entry.accepted ? 1 : 0;
            const bool follows = entry.revision > revision && entry.fromVersion == version && entry.toVersion == version + step;
            if (!follows)
                report(trail.findings, "the entry of revision " + std::to_string(entry.revision) + " doesn't follow from version " + std::to_string(version));
            version = entry.toVersion;
            revision = entry.revision;
        }
        if (version != lastVersion)
            report(trail.findings, "the entries lead to version " + std::to_string(version) + ", not " + std::to_string(lastVersion));
    }

}

Checked<std::vector<AuditEntry>> auditTrail(const AcceptedDocument& document, std::span<const AuditArchive> archives)
{
    Checked<std::vector<AuditEntry>> trail;
    for (std::uint64_t segment = 0; segment < document.archivedEntries / auditSegment; ++segment)
        appendArchive(trail, segment, archives);
    trail.value.insert(trail.value.end(), document.audit.begin(), document.audit.end());
    checkSteps(trail, document.version);
    return trail;
}

}
