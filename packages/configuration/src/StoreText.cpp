#include "flamingowick/configuration/StoreText.h"

#include "flamingowick/configuration/FleetStatus.h"

#include <nlohmann/json.hpp>

namespace flamingowick::configuration {

namespace {

    using Json = nlohmann::ordered_json;

    std::string dump(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    Json findingsJson(const std::vector<Finding>& findings)
    {
        Json list = Json::array();
        for (const Finding& finding : findings)
            list.push_back({ { "number", finding.number }, { "pointer", finding.pointer }, { "line", finding.line }, { "message", finding.message } });
        return list;
    }

    Json auditJson(std::span<const AuditEntry> entries)
    {
        Json list = Json::array();
        for (const AuditEntry& entry : entries) {
            Json json;
            json["revision"] = entry.revision;
            json["changeId"] = entry.changeId;
            json["who"] = entry.who;
            json["whenMs"] = entry.whenMs;
            json["fromVersion"] = entry.fromVersion;
            json["toVersion"] = entry.toVersion;
            json["accepted"] = entry.accepted;
            json["sourceVersion"] = entry.sourceVersion;
            json["findings"] = findingsJson(entry.findings);
            list.push_back(std::move(json));
        }
        return list;
    }

    std::vector<Finding> readFindings(const Json& list)
    {
        std::vector<Finding> findings;
        for (const Json& json : list) {
            Finding finding;
            json.at("number").get_to(finding.number);
            json.at("pointer").get_to(finding.pointer);
            json.at("line").get_to(finding.line);
            json.at("message").get_to(finding.message);
            findings.push_back(std::move(finding));
        }
        return findings;
    }

    std::vector<AuditEntry> readAudit(const Json& list)
    {
        std::vector<AuditEntry> entries;
        for (const Json& json : list) {
            AuditEntry entry;
            json.at("revision").get_to(entry.revision);
            json.at("changeId").get_to(entry.changeId);
            json.at("who").get_to(entry.who);
            json.at("whenMs").get_to(entry.whenMs);
            json.at("fromVersion").get_to(entry.fromVersion);
            json.at("toVersion").get_to(entry.toVersion);
            json.at("accepted").get_to(entry.accepted);
            json.at("sourceVersion").get_to(entry.sourceVersion);
            entry.findings = readFindings(json.at("findings"));
            entries.push_back(std::move(entry));
        }
        return entries;
    }

    AcceptedDocument readDocument(const Json& json)
    {
        AcceptedDocument document;
        json.at("service").get_to(document.service);
        json.at("version").get_to(document.version);
        json.at("revision").get_to(document.revision);
        json.at("checkedPresent").get_to(document.checked.present);
        json.at("checkedVersion").get_to(document.checked.resourceVersion);
        json.at("checkedTextHash").get_to(document.checked.textHash);
        json.at("deleted").get_to(document.deleted);
        json.at("archivedEntries").get_to(document.archivedEntries);
        document.audit = readAudit(json.at("audit"));
        json.at("text").get_to(document.text);
        return document;
    }

    AuditArchive readArchive(const Json& json)
    {
        AuditArchive archive;
        json.at("service").get_to(archive.service);
        json.at("segment").get_to(archive.segment);
        archive.entries = readAudit(json.at("entries"));
        return archive;
    }

    Json statusListJson(const std::vector<ServiceStatus>& services)
    {
        Json list = Json::array();
        for (const ServiceStatus& status : services) {
            Json json;
            json["service"] = status.service;
            json["version"] = status.version;
            json["deleted"] = status.deleted;
            json["daemons"] = status.daemons;
            json["inForce"] = status.inForce;
            list.push_back(std::move(json));
        }
        return list;
    }

    DomainStatus readStatus(const Json& json)
    {
        DomainStatus status;
        json.at("failureDomain").get_to(status.failureDomain);
        json.at("writtenMs").get_to(status.writtenMs);
        json.at("shard").get_to(status.object.shard);
        for (const Json& entry : json.at("services")) {
            ServiceStatus service;
            entry.at("service").get_to(service.service);
            entry.at("version").get_to(service.version);
            entry.at("deleted").get_to(service.deleted);
            entry.at("daemons").get_to(service.daemons);
            entry.at("inForce").get_to(service.inForce);
            status.object.services.push_back(std::move(service));
        }
        return status;
    }

    template <typename Value>
    Checked<Value> readObject(std::string_view text, Value (*read)(const Json&))
    {
        try {
            return { read(Json::parse(text)), {} };
        } catch (const Json::exception& error) {
            return { {}, { { unreadableObjectNumber, "", 0, error.what() } } };
        }
    }

}

std::string acceptedDocumentJson(const AcceptedDocument& document)
{
    Json json;
    json["service"] = document.service;
    json["version"] = document.version;
    json["revision"] = document.revision;
    json["checkedPresent"] = document.checked.present;
    json["checkedVersion"] = document.checked.resourceVersion;
    json["checkedTextHash"] = document.checked.textHash;
    json["deleted"] = document.deleted;
    json["archivedEntries"] = document.archivedEntries;
    json["audit"] = auditJson(document.audit);
    json["text"] = document.text;
    return dump(json);
}

Checked<AcceptedDocument> parseAcceptedDocument(std::string_view text)
{
    return readObject<AcceptedDocument>(text, readDocument);
}

std::string auditArchiveJson(const AuditArchive& archive)
{
    Json json;
    json["service"] = archive.service;
    json["segment"] = archive.segment;
    json["entries"] = auditJson(archive.entries);
    return dump(json);
}

Checked<AuditArchive> parseAuditArchive(std::string_view text)
{
    return readObject<AuditArchive>(text, readArchive);
}

std::string auditEntriesJson(std::span<const AuditEntry> entries)
{
    return dump(auditJson(entries));
}

Checked<std::vector<AuditEntry>> parseAuditEntries(std::string_view text)
{
    return readObject<std::vector<AuditEntry>>(text, readAudit);
}

std::string domainStatusJson(const DomainStatus& status)
{
    Json json;
    json["failureDomain"] = status.failureDomain;
    json["writtenMs"] = status.writtenMs;
    json["shard"] = status.object.shard;
    json["services"] = statusListJson(status.object.services);
    return dump(json);
}

Checked<DomainStatus> parseDomainStatus(std::string_view text)
{
    return readObject<DomainStatus>(text, readStatus);
}

}
