#include "flamingowick/ctl/Commands.h"

#include "flamingowick/configuration/Acceptance.h"
#include "flamingowick/configuration/AuditTrail.h"
#include "flamingowick/configuration/StoreText.h"
#include "flamingowick/ctl/Stored.h"
#include "flamingowick/ctl/detail/DaemonAnswers.h"
#include "flamingowick/settings/ServiceDocumentText.h"

namespace flamingowick::ctl {

namespace {

    constexpr std::string_view platformSource = "platform";

    FailureReport noSuchService(std::string_view service)
    {
        return { ExitCode::Failure, "there is no service \"" + std::string(service) + "\"" };
    }

    // Asks one daemon after another for a document. A daemon that lacks it doesn't end the search.
    std::variant<DaemonDocument, FailureReport> documentFromDaemons(const Ports& ports, std::string_view service, std::span<const std::string> daemons)
    {
        FailureReport failure { ExitCode::Unreachable, "no daemon was asked" };
        for (const std::string& address : daemons) {
            DaemonAnswer answer = ports.getFromDaemon(address, documentPath(service));
            if (answer.status != httpOk) {
                failure = answer.status == httpNotFound ? noSuchService(service) : failureOf(address, answer);
                continue;
            }
            if (auto document = parseDaemonDocument(answer.body)) {
                document->address = address;
                return *document;
            }
            failure = { ExitCode::Failure, address + " gave an answer that can't be read" };
        }
        return failure;
    }

    // Returns the accepted document, nothing when there is none.
    std::variant<std::optional<configuration::AcceptedDocument>, FailureReport> readAccepted(const Ports& ports, std::string_view service)
    {
        ReadObject read = readObject(ports, platform::Plural::AcceptedDocuments, service);
        if (auto* failure = std::get_if<FailureReport>(&read))
            return *failure;
        const auto& object = std::get<std::optional<platform::Object>>(read);
        if (!object)
            return std::nullopt;
        auto checked = configuration::parseAcceptedDocument(object->specJson);
        if (!checked.accepted())
            return FailureReport { ExitCode::Failure, "the accepted document can't be read: " + checked.findings.front().message };
        return std::optional(std::move(checked.value));
    }

    std::variant<std::vector<configuration::AuditArchive>, FailureReport> readArchives(const Ports& ports, const configuration::AcceptedDocument& document)
    {
        std::vector<configuration::AuditArchive> archives;
        for (std::uint64_t segment = 0; segment < document.archivedEntries / configuration::auditSegment; ++segment) {
            ReadObject read = readObject(ports, platform::Plural::AuditSegments, document.service + "." + std::to_string(segment));
            if (auto* failure = std::get_if<FailureReport>(&read))
                return *failure;
            const auto& object = std::get<std::optional<platform::Object>>(read);
            if (!object)
                continue;
            auto checked = configuration::parseAuditArchive(object->specJson);
            if (checked.accepted())
                archives.push_back(std::move(checked.value));
        }
        return archives;
    }

    Report historyFromPlatform(const Ports& ports, std::string_view service)
    {
        auto read = readAccepted(ports, service);
        if (auto* failure = std::get_if<FailureReport>(&read))
            return *failure;
        const auto& document = std::get<std::optional<configuration::AcceptedDocument>>(read);
        if (!document)
            return noSuchService(service);
        auto archives = readArchives(ports, *document);
        if (auto* failure = std::get_if<FailureReport>(&archives))
            return *failure;
        auto trail = configuration::auditTrail(*document, std::get<std::vector<configuration::AuditArchive>>(archives));
        return HistoryReport { std::string(service), std::string(platformSource), std::move(trail.value), std::move(trail.findings) };
    }

    Report getFromPlatform(const Ports& ports, std::string_view service)
    {
        ReadObject read = readObject(ports, platform::Plural::ServiceDocuments, service);
        if (auto* failure = std::get_if<FailureReport>(&read))
            return *failure;
        const auto& source = std::get<std::optional<platform::Object>>(read);
        if (!source)
            return noSuchService(service);
        auto accepted = readAccepted(ports, service);
        if (auto* failure = std::get_if<FailureReport>(&accepted))
            return *failure;
        GetReport report { std::string(service), std::string(platformSource), source->resourceVersion, source->changedBy, source->changeId, sourceText(*source), 0, false };
        if (const auto& document = std::get<std::optional<configuration::AcceptedDocument>>(accepted)) {
            report.acceptedVersion = document->version;
            report.deleted = document->deleted;
        }
        return report;
    }

}

Report validate(std::string_view text, std::string_view fileName)
{
    auto checked = settings::parseServiceDocument(text);
    if (text.size() > configuration::maxSourceBytes)
        checked.findings.push_back({ configuration::sourceTooLongNumber, "", 0, "the text is longer than " + std::to_string(configuration::maxSourceBytes) + " bytes" });
    return ValidateReport { std::string(fileName), checked.value.name, std::move(checked.findings) };
}

Report diff(const Ports& ports, std::string_view text, std::string_view fileName, const std::optional<std::string>& baseText)
{
    Report checked = validate(text, fileName);
    if (exitCodeOf(checked) != ExitCode::Ok)
        return checked;
    const std::string service = std::get<ValidateReport>(checked).service;
    ReadObject read = readObject(ports, platform::Plural::ServiceDocuments, service);
    if (auto* failure = std::get_if<FailureReport>(&read))
        return *failure;
    const auto& stored = std::get<std::optional<platform::Object>>(read);
    const std::string theirs = stored ? sourceText(*stored) : "{}";
    auto changes = configuration::diffDocuments(baseText.value_or(theirs), text, theirs);
    if (!changes.accepted())
        return FailureReport { ExitCode::BadInput, "a text can't be compared: " + changes.findings.front().message };
    DiffReport report { service, "", "", baseText.has_value(), std::move(changes.value) };
    if (stored) {
        report.storedVersion = stored->resourceVersion;
        report.storedBy = stored->changedBy;
    }
    return report;
}

Report get(const Ports& ports, std::string_view service, std::span<const std::string> daemons)
{
    if (daemons.empty())
        return getFromPlatform(ports, service);
    auto answer = documentFromDaemons(ports, service, daemons);
    if (auto* failure = std::get_if<FailureReport>(&answer))
        return *failure;
    const DaemonDocument& document = std::get<DaemonDocument>(answer);
    return GetReport { std::string(service), document.address, "", "", "", document.text, document.version, document.deleted };
}

Report history(const Ports& ports, std::string_view service, std::span<const std::string> daemons)
{
    if (daemons.empty())
        return historyFromPlatform(ports, service);
    auto answer = documentFromDaemons(ports, service, daemons);
    if (auto* failure = std::get_if<FailureReport>(&answer))
        return *failure;
    DaemonDocument& document = std::get<DaemonDocument>(answer);
    return HistoryReport { std::string(service), document.address, std::move(document.audit), {} };
}

}
