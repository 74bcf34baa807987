#include "flamingowick/settings/JsonValue.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace flamingowick::settings {

namespace {

    std::string unescapeToken(std::string_view token)
    {
        std::string name;
        for (std::size_t index = 0; index < token.size(); ++index) {
            if (token[index] != '~' || index + 1 == token.size()) {
                name += token[index];
                continue;
            }
            ++index;
            name += token[index] == '1' ? '/' : '~';
        }
        return name;
    }

    const JsonValue* findItem(const JsonValue& array, std::string_view token)
    {
        std::size_t index = 0;
        const auto [end, error] = std::from_chars(token.data(), token.data() + token.size(), index);
        if (error != std::errc() || end != token.data() + token.size() || index >= array.items.size())
            return nullptr;
        return &array.items[index];
    }

    const JsonValue* findChild(const JsonValue& parent, std::string_view token)
    {
        if (parent.kind == JsonKind::Array)
            return findItem(parent, token);
        const JsonMember* member = findMember(parent, unescapeToken(token));
        return member ? &member->value : nullptr;
    }

    nlohmann::ordered_json plainJson(const JsonValue& value)
    {
        switch (value.kind) {
        case JsonKind::Null:
            return nullptr;
        case JsonKind::Boolean:
            return value.boolean;
        case JsonKind::Integer:
            return value.integer;
        case JsonKind::Real:
            return value.real;
        case JsonKind::String:
            return value.string;
        case JsonKind::Array:
        case JsonKind::Object:
            break;
        }
        auto json = value.kind == JsonKind::Array ? nlohmann::ordered_json::array() : nlohmann::ordered_json::object();
        for (const JsonValue& item : value.items)
            json.push_back(plainJson(item));
        for (const JsonMember& member : value.members)
            json[member.name] = plainJson(member.value);
        return json;
    }

}

const JsonMember* findMember(const JsonValue& object, std::string_view name) noexcept
{
    const auto found = std::ranges::find(object.members, name, &JsonMember::name);
    return found == object.members.end() ? nullptr : &*found;
}

std::string childPointer(std::string_view pointer, std::string_view token)
{
    std::string child(pointer);
    child += '/';
    for (const char character : token) {
        if (character == '~')
            child += "~0";
        else if (character == '/')
            child += "~1";
        else
            child += character;
    }
    return child;
}

unsigned lineOf(const JsonValue& root, std::string_view pointer)
{
    const JsonValue* value = &root;
    while (!pointer.empty()) {
        const std::size_t end = std::min(pointer.find('/', 1), pointer.size());
        const JsonValue* child = findChild(*value, pointer.substr(1, end - 1));
        if (!child)
            break;
        value = child;
        pointer.remove_prefix(end);
    }
    return value->line;
}

std::string compactJson(const JsonValue& value)
{
    return plainJson(value).dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}
