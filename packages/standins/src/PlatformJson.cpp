#include "flamingowick/standins/detail/PlatformJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace flamingowick::standins::detail {

namespace {

    using nlohmann::json;

    struct KindName {
        std::string_view plural;
        std::string_view kind;
    };

    constexpr std::array kindNames {
        KindName { "servicedocuments", "ServiceDocument" },
        KindName { "accepteddocuments", "AcceptedDocument" },
        KindName { "keyranges", "KeyRange" },
        KindName { "fleetstatuses", "FleetStatus" },
        KindName { "targetlists", "TargetList" },
        KindName { "vmlists", "VmList" },
        KindName { "auditsegments", "AuditSegment" },
    };

    std::string_view kindOf(std::string_view plural) noexcept
    {
        for (const KindName& name : kindNames) {
            if (name.plural == plural)
                return name.kind;
        }
        return {};
    }

    std::uint64_t parseVersion(const json& value)
    {
        if (!value.is_string())
            return 0;
        const auto& text = value.get_ref<const std::string&>();
        std::uint64_t version = 0;
        std::from_chars(text.data(), text.data() + text.size(), version);
        return version;
    }

    void appendObject(std::string& text, std::string_view plural, const StoredObject& object)
    {
        text.append(R"({"apiVersion":"flamingowick.example/v1","kind":")").append(kindOf(plural));
        text.append(R"(","metadata":{"name":)").append(json(object.name).dump());
        text.append(R"(,"resourceVersion":")").append(std::to_string(object.version));
        text.append(R"(","annotations":)").append(object.annotations);
        text.append(R"(},"spec":)").append(object.spec).append("}");
    }

    void readMilliseconds(const json& control, const char* name, Duration& value)
    {
        if (control.contains(name))
            value = std::chrono::milliseconds(control.at(name).get<std::int64_t>());
    }

    template <typename Value>
    void readValue(const json& control, const char* name, Value& value)
    {
        if (control.contains(name))
            value = control.at(name).get<Value>();
    }

    json parseBody(std::string_view body) { return json::parse(body, nullptr, false); }

}

bool knownPlural(std::string_view plural) noexcept { return !kindOf(plural).empty(); }

std::string renderObject(std::string_view plural, const StoredObject& object)
{
    std::string text;
    appendObject(text, plural, object);
    return text;
}

std::string renderList(std::string_view plural, std::span<const StoredObject* const> objects, std::uint64_t version)
{
    std::string text(R"({"apiVersion":"flamingowick.example/v1","kind":")");
    text.append(kindOf(plural)).append(R"(List","metadata":{"resourceVersion":")").append(std::to_string(version));
    text.append(R"("},"items":[)");
    bool first = true;
    for (const StoredObject* object : objects) {
        if (!std::exchange(first, false))
            text.append(",");
        appendObject(text, plural, *object);
    }
    return text.append("]}");
}

std::string renderEvent(std::string_view plural, const StoreEvent& event)
{
    constexpr std::array<std::string_view, 3> types { "ADDED", "MODIFIED", "DELETED" };
    std::string text(R"({"type":")");
    text.append(types.at(static_cast<std::size_t>(event.change))).append(R"(","object":)");
    appendObject(text, plural, event.object);
    return text.append("}\n");
}

std::string renderBookmark(std::string_view plural, std::uint64_t version)
{
    std::string text(R"({"type":"BOOKMARK","object":{"apiVersion":"flamingowick.example/v1","kind":")");
    text.append(kindOf(plural)).append(R"(","metadata":{"resourceVersion":")").append(std::to_string(version));
    return text.append("\"}}}\n");
}

std::string renderStatus(unsigned code, std::string_view reason)
{
    const json status { { "apiVersion", "v1" }, { "kind", "Status" }, { "status", "Failure" }, { "reason", reason }, { "code", code } };
    return status.dump();
}

std::optional<StoredObject> parseObject(std::string_view body)
{
    const json parsed = parseBody(body);
    if (!parsed.is_object() || !parsed.contains("metadata") || !parsed.at("metadata").is_object())
        return std::nullopt;
    const json& metadata = parsed.at("metadata");
    if (!metadata.contains("name") || !metadata.at("name").is_string())
        return std::nullopt;
    StoredObject object;
    object.name = metadata.at("name").get<std::string>();
    object.version = parseVersion(metadata.value("resourceVersion", json()));
    object.annotations = metadata.value("annotations", json::object()).dump();
    object.spec = parsed.value("spec", json::object()).dump();
    return object;
}

std::uint64_t parsePrecondition(std::string_view body)
{
    const json parsed = parseBody(body);
    if (!parsed.is_object() || !parsed.contains("preconditions") || !parsed.at("preconditions").is_object())
        return 0;
    return parseVersion(parsed.at("preconditions").value("resourceVersion", json()));
}

std::string changeIdOf(const StoredObject& object)
{
    const json annotations = parseBody(object.annotations);
    const auto found = annotations.find(changeIdAnnotation);
    return found != annotations.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool applyControl(std::string_view body, PlatformFaults& faults)
{
    const json control = parseBody(body);
    if (!control.is_object())
        return false;
    try {
        PlatformFaults changed = faults;
        readValue(control, "outage", changed.outage);
        readValue(control, "loseAnswers", changed.loseAnswers);
        readValue(control, "dropCalls", changed.dropCalls);
        readValue(control, "deaf", changed.deaf);
        readValue(control, "maxCallsPerSecond", changed.maxCallsPerSecond);
        readMilliseconds(control, "slowMs", changed.slow);
        readMilliseconds(control, "listLagMs", changed.listLag);
        faults = changed;
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

std::string renderCounters(const PlatformCounters& counters)
{
    const json rendered {
        { "calls", counters.calls },
        { "writes", counters.writes },
        { "reads", counters.reads },
        { "refused", counters.refused },
        { "peakCallsPerSecond", counters.peakCallsPerSecond },
        { "watches", counters.watches },
        { "openWatches", counters.openWatches },
    };
    return rendered.dump();
}

}
