#include "flamingowick/platform/detail/Wire.h"

#include "flamingowick/model/TextForms.h"

#include <nlohmann/json.hpp>

#include <array>

namespace flamingowick::platform::detail {

namespace {

    using nlohmann::json;

    constexpr std::string_view apiVersion = "flamingowick.example/v1";
    constexpr std::string_view apiPath = "/apis/flamingowick.example/v1/";
    constexpr std::string_view changeIdAnnotation = "flamingowick.example/change-id";
    constexpr std::string_view changedByAnnotation = "flamingowick.example/changed-by";
    constexpr int statusGone = 410;

    std::string_view kindName(Plural plural) noexcept
    {
        constexpr std::array<std::string_view, allPlurals.size()> kinds {
            "ServiceDocument", "AcceptedDocument", "KeyRange", "FleetStatus", "TargetList", "VmList", "AuditSegment"
        };
        return kinds.at(static_cast<std::size_t>(plural));
    }

    // Returns a string member; empty when it is absent or not a string.
    std::string stringMember(const json& value, std::string_view name)
    {
        if (!value.is_object())
            return {};
        const auto found = value.find(name);
        return found != value.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    // Returns a member; JSON null when it is absent or value is not an object.
    const json& member(const json& value, std::string_view name)
    {
        static const json absent;
        if (!value.is_object())
            return absent;
        const auto found = value.find(name);
        return found != value.end() ? *found : absent;
    }

    json parse(std::string_view text) { return json::parse(text, nullptr, false); }

    std::optional<Object> parseObject(Plural plural, const json& value)
    {
        const json& metadata = member(value, "metadata");
        const json& annotations = member(metadata, "annotations");
        Object object;
        object.plural = plural;
        object.name = stringMember(metadata, "name");
        object.resourceVersion = stringMember(metadata, "resourceVersion");
        object.changeId = stringMember(annotations, changeIdAnnotation);
        object.changedBy = stringMember(annotations, changedByAnnotation);
        if (object.name.empty() || object.resourceVersion.empty())
            return std::nullopt;
        if (value.contains("spec"))
            object.specJson = value.at("spec").dump();
        return object;
    }

    std::optional<ChangeType> parseChangeType(std::string_view text) noexcept
    {
        if (text == "ADDED")
            return ChangeType::Added;
        if (text == "MODIFIED")
            return ChangeType::Modified;
        if (text == "DELETED")
            return ChangeType::Deleted;
        return std::nullopt;
    }

}

std::string pathOf(Plural plural)
{
    return std::string(apiPath).append(toString(plural));
}

std::string pathOf(Plural plural, std::string_view name)
{
    return pathOf(plural).append("/").append(encodePercent(name));
}

std::string watchPathOf(Plural plural, std::string_view resourceVersion, std::chrono::seconds timeout)
{
    std::string path = pathOf(plural).append("?watch=1&allowWatchBookmarks=true&resourceVersion=");
    return path.append(encodePercent(resourceVersion)).append("&timeoutSeconds=").append(std::to_string(timeout.count()));
}

std::optional<std::string> encodeObject(const Object& object)
{
    const json spec = parse(object.specJson);
    if (spec.is_discarded())
        return std::nullopt;
    json metadata { { "name", object.name } };
    if (!object.resourceVersion.empty())
        metadata["resourceVersion"] = object.resourceVersion;
    metadata["annotations"] = { { changeIdAnnotation, object.changeId }, { changedByAnnotation, object.changedBy } };
    const json message { { "apiVersion", apiVersion }, { "kind", kindName(object.plural) }, { "metadata", metadata }, { "spec", spec } };
    try {
        return message.dump();
    } catch (const json::type_error&) {
        return std::nullopt;
    }
}

std::string encodeDeleteOptions(std::string_view resourceVersion)
{
    const json options {
        { "apiVersion", "v1" },
        { "kind", "DeleteOptions" },
        { "preconditions", { { "resourceVersion", resourceVersion } } },
    };
    return options.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<Object> decodeObject(Plural plural, std::string_view text)
{
    return parseObject(plural, parse(text));
}

std::optional<ObjectList> decodeList(Plural plural, std::string_view text)
{
    const json parsed = parse(text);
    const json& items = member(parsed, "items");
    ObjectList list;
    list.resourceVersion = stringMember(member(parsed, "metadata"), "resourceVersion");
    if (!items.is_array() || list.resourceVersion.empty())
        return std::nullopt;
    list.objects.reserve(items.size());
    for (const json& item : items) {
        std::optional<Object> object = parseObject(plural, item);
        if (!object)
            return std::nullopt;
        list.objects.push_back(std::move(*object));
    }
    return list;
}

WatchLine decodeWatchLine(Plural plural, std::string_view text)
{
    WatchLine line;
    const json parsed = parse(text);
    const std::string type = stringMember(parsed, "type");
    const json& object = member(parsed, "object");
    if (type == "ERROR") {
        if (member(object, "code") == statusGone)
            line.kind = WatchLineKind::Expired;
        return line;
    }
    line.resourceVersion = stringMember(member(object, "metadata"), "resourceVersion");
    if (line.resourceVersion.empty())
        return line;
    if (type == "BOOKMARK") {
        line.kind = WatchLineKind::Bookmark;
        return line;
    }
    const std::optional<ChangeType> change = parseChangeType(type);
    std::optional<Object> changed = parseObject(plural, object);
    if (!change || !changed)
        return line;
    line.kind = WatchLineKind::Change;
    line.event = { *change, std::move(*changed) };
    return line;
}

}
