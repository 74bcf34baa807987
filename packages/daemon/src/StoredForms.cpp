#include "flamingowick/daemon/StoredForms.h"

#include "flamingowick/configuration/StoreText.h"

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

    const Json& arrayAt(const Json& json, const char* name)
    {
        static const Json empty = Json::array();
        auto found = json.find(name);
        return found != json.end() && found->is_array() ? *found : empty;
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
    auto checked = configuration::parseAcceptedDocument(object.specJson);
    if (!checked.accepted() || checked.value.service != object.name)
        return std::nullopt;
    return configuration::StoredDocument { std::move(checked.value), object.resourceVersion };
}

platform::Object writeAccepted(const configuration::AcceptedDocument& document, std::string_view expectedVersion)
{
    platform::Object object;
    object.plural = platform::Plural::AcceptedDocuments;
    object.name = document.service;
    object.resourceVersion = expectedVersion;
    object.changeId = document.audit.empty() ? std::string() : document.audit.back().changeId;
    object.specJson = configuration::acceptedDocumentJson(document);
    return object;
}

platform::Object writeArchive(const configuration::AuditArchive& archive)
{
    platform::Object object;
    object.plural = platform::Plural::AuditSegments;
    object.name = archive.service + "." + std::to_string(archive.segment);
    object.specJson = configuration::auditArchiveJson(archive);
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

}
