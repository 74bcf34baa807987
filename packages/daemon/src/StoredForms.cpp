#include "flamingowick/daemon/StoredForms.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace flamingowick::daemon {

namespace {

    using Json = nlohmann::json;

    // Returns the spec as an object, empty when it is none.
    Json specOf(const platform::Object& object)
    {
        Json spec = Json::parse(object.specJson, nullptr, false);
        return spec.is_object() ? spec : Json::object();
    }

    std::string stringAt(const Json& json, const char* name)
    {
        auto found = json.find(name);
        return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    template <typename Number>
    Number numberAt(const Json& json, const char* name)
    {
        auto found = json.find(name);
        return found != json.end() && found->is_number_integer() ? found->get<Number>() : Number {};
    }

    bool flagAt(const Json& json, const char* name)
    {
        auto found = json.find(name);
        return found != json.end() && found->is_boolean() && found->get<bool>();
    }

    const Json& arrayAt(const Json& json, const char* name)
    {
        static const Json empty = Json::array();
        auto found = json.find(name);
        return found != json.end() && found->is_array() ? *found : empty;
    }

    Json findingJson(const Finding& finding)
    {
        return { { "number", finding.number }, { "pointer", finding.pointer }, { "line", finding.line }, { "message", finding.message } };
    }

    Finding readFinding(const Json& json)
    {
        return { numberAt<int>(json, "number"), stringAt(json, "pointer"), numberAt<unsigned>(json, "line"), stringAt(json, "message") };
    }

    Json auditJson(const configuration::AuditEntry& entry)
    {
        Json json { { "revision", entry.revision }, { "changeId", entry.changeId }, { "who", entry.who }, { "whenMs", entry.whenMs },
            { "fromVersion", entry.fromVersion }, { "toVersion", entry.toVersion }, { "accepted", entry.accepted },
            { "sourceVersion", entry.sourceVersion }, { "findings", Json::array() } };
        for (const Finding& finding : entry.findings)
            json["findings"].push_back(findingJson(finding));
        return json;
    }

    configuration::AuditEntry readAudit(const Json& json)
    {
        configuration::AuditEntry entry;
        entry.revision = numberAt<std::uint64_t>(json, "revision");
        entry.changeId = stringAt(json, "changeId");
        entry.who = stringAt(json, "who");
        entry.whenMs = numberAt<std::int64_t>(json, "whenMs");
        entry.fromVersion = numberAt<std::uint64_t>(json, "fromVersion");
        entry.toVersion = numberAt<std::uint64_t>(json, "toVersion");
        entry.accepted = flagAt(json, "accepted");
        entry.sourceVersion = stringAt(json, "sourceVersion");
        for (const Json& finding : arrayAt(json, "findings"))
            entry.findings.push_back(readFinding(finding));
        return entry;
    }

    Json daemonJson(const DaemonId& id)
    {
        return { { "vm", id.vm }, { "incarnation", id.incarnation } };
    }

    DaemonId readDaemon(const Json& json, const char* name)
    {
        auto found = json.find(name);
        if (found == json.end() || !found->is_object())
            return {};
        return { stringAt(*found, "vm"), numberAt<Incarnation>(*found, "incarnation") };
    }

    std::uint64_t parseVersion(std::string_view text)
    {
        std::uint64_t version = 0;
        std::from_chars(text.data(), text.data() + text.size(), version);
        return version;
    }

    // Text from callers and operators may not be UTF-8, which JSON demands.
    std::string dump(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

}

configuration::SourceObject readSource(const platform::Object& object)
{
    return { object.name, object.resourceVersion, stringAt(specOf(object), "text"), object.changedBy };
}

std::optional<configuration::StoredDocument> readAccepted(const platform::Object& object)
{
    Json spec = specOf(object);
    configuration::StoredDocument stored;
    configuration::AcceptedDocument& document = stored.document;
    stored.objectVersion = object.resourceVersion;
    document.service = stringAt(spec, "service");
    if (document.service != object.name)
        return std::nullopt;
    document.version = numberAt<std::uint64_t>(spec, "version");
    document.revision = numberAt<std::uint64_t>(spec, "revision");
    document.checked.present = flagAt(spec, "sourcePresent");
    document.checked.resourceVersion = stringAt(spec, "sourceVersion");
    document.checked.textHash = numberAt<std::uint64_t>(spec, "sourceHash");
    document.text = stringAt(spec, "text");
    document.deleted = flagAt(spec, "deleted");
    for (const Json& entry : arrayAt(spec, "audit"))
        document.audit.push_back(readAudit(entry));
    document.archivedEntries = numberAt<std::uint64_t>(spec, "archivedEntries");
    return stored;
}

platform::Object writeAccepted(const configuration::AcceptedDocument& document, std::string_view expectedVersion)
{
    Json spec { { "service", document.service }, { "version", document.version }, { "revision", document.revision },
        { "sourcePresent", document.checked.present }, { "sourceVersion", document.checked.resourceVersion },
        { "sourceHash", document.checked.textHash }, { "text", document.text }, { "deleted", document.deleted },
        { "audit", Json::array() }, { "archivedEntries", document.archivedEntries } };
    for (const configuration::AuditEntry& entry : document.audit)
        spec["audit"].push_back(auditJson(entry));
    platform::Object object;
    object.plural = platform::Plural::AcceptedDocuments;
    object.name = document.service;
    object.resourceVersion = expectedVersion;
    object.changeId = document.audit.empty() ? std::string() : document.audit.back().changeId;
    object.specJson = dump(spec);
    return object;
}

platform::Object writeArchive(const configuration::AuditArchive& archive)
{
    Json spec { { "service", archive.service }, { "segment", archive.segment }, { "entries", Json::array() } };
    for (const configuration::AuditEntry& entry : archive.entries)
        spec["entries"].push_back(auditJson(entry));
    platform::Object object;
    object.plural = platform::Plural::AuditSegments;
    object.name = archive.service + "." + std::to_string(archive.segment);
    object.specJson = dump(spec);
    return object;
}

std::string recordName(const keys::RangeId& id)
{
    return id.service + "." + std::to_string(id.range);
}

std::optional<keys::RangeRecord> readRecord(const platform::Object& object)
{
    Json spec = specOf(object);
    keys::RangeRecord record;
    record.id = { stringAt(spec, "service"), numberAt<std::uint32_t>(spec, "range") };
    record.owner = readDaemon(spec, "owner");
    record.previous = readDaemon(spec, "previous");
    record.epoch = numberAt<std::uint64_t>(spec, "epoch");
    record.changeId = object.changeId;
    record.resourceVersion = object.resourceVersion;
    if (recordName(record.id) != object.name || record.epoch == 0)
        return std::nullopt;
    return record;
}

platform::Object writeRecord(const keys::RangeRecord& record, std::string_view expectedVersion)
{
    Json spec { { "service", record.id.service }, { "range", record.id.range }, { "owner", daemonJson(record.owner) },
        { "previous", daemonJson(record.previous) }, { "epoch", record.epoch } };
    platform::Object object;
    object.plural = platform::Plural::KeyRanges;
    object.name = recordName(record.id);
    object.resourceVersion = expectedVersion;
    object.changeId = record.changeId;
    object.changedBy = toString(record.owner);
    object.specJson = dump(spec);
    return object;
}

TargetList readTargetList(const platform::Object& object)
{
    TargetList list;
    list.version = parseVersion(object.resourceVersion);
    Json spec = specOf(object);
    for (const Json& entry : arrayAt(spec, "targets")) {
        Target target { stringAt(entry, "address"), stringAt(entry, "failureDomain"), stringAt(entry, "state") == "leaving" };
        if (!target.address.empty())
            list.targets.push_back(std::move(target));
    }
    return list;
}

std::vector<std::string> readVmList(const platform::Object& object)
{
    std::vector<std::string> vms;
    Json spec = specOf(object);
    for (const Json& entry : arrayAt(spec, "vms"))
        vms.push_back(stringAt(entry, "name"));
    return vms;
}

std::string auditEntryJson(const configuration::AuditEntry& entry)
{
    return dump(auditJson(entry));
}

}
