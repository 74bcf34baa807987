#include "flamingowick/ctl/Stored.h"

#include <nlohmann/json.hpp>

namespace flamingowick::ctl {

namespace {

    using Json = nlohmann::json;

    constexpr const char* textField = "text";

}

FailureReport failureOf(const platform::Result& result)
{
    if (const auto* rejected = std::get_if<platform::Rejected>(&result))
        return { ExitCode::Failure, "the platform refused the call with status " + std::to_string(rejected->status) + ": " + rejected->reason };
    if (const auto* unavailable = std::get_if<platform::Unavailable>(&result))
        return { ExitCode::Unreachable, "the platform can't be reached: " + unavailable->reason };
    if (const auto* unknown = std::get_if<platform::UnknownOutcome>(&result))
        return { ExitCode::OutcomeUnknown, "the platform's answer was lost: " + unknown->reason };
    return { ExitCode::Failure, "the platform gave an answer that doesn't fit the call" };
}

ReadObject readObject(const Ports& ports, platform::Plural plural, std::string_view name)
{
    platform::Result result = ports.callPlatform(platform::Get { 0, plural, std::string(name) });
    if (auto* found = std::get_if<platform::Found>(&result); found != nullptr && !found->objects.empty())
        return std::optional(std::move(found->objects.front()));
    if (std::holds_alternative<platform::Absent>(result))
        return std::nullopt;
    return failureOf(result);
}

std::string sourceText(const platform::Object& object)
{
    Json spec = Json::parse(object.specJson, nullptr, false);
    if (!spec.is_object())
        return {};
    auto found = spec.find(textField);
    return found != spec.end() && found->is_string() ? found->get<std::string>() : std::string();
}

platform::Object makeSource(std::string_view service, std::string_view text)
{
    platform::Object object;
    object.plural = platform::Plural::ServiceDocuments;
    object.name = service;
    object.specJson = Json { { textField, text } }.dump(-1, ' ', false, Json::error_handler_t::replace);
    return object;
}

}
