#include "flamingowick/settings/detail/FieldReader.h"

#include "flamingowick/settings/detail/JsonParser.h"
#include "flamingowick/settings/detail/NearestName.h"

#include <algorithm>
#include <cstdio>
#include <optional>

namespace flamingowick::settings::detail {

namespace {

    std::string numberText(double value)
    {
        constexpr std::size_t size = 32;
        std::string text(size, '\0');
        const int length = std::snprintf(text.data(), size, "%g", value);
        text.resize(static_cast<std::size_t>(std::max(length, 0)));
        return text;
    }

    void report(const ObjectReader& reader, FindingNumber number, std::string_view name, unsigned line, std::string message)
    {
        addFinding(*reader.findings, number, childPointer(reader.pointer, name), line, std::move(message));
    }

    std::string listNames(std::span<const std::string_view> names)
    {
        std::string list;
        for (const std::string_view name : names) {
            list += list.empty() ? "\"" : ", \"";
            list += name;
            list += '"';
        }
        return list;
    }

    // Reads an integer; unit is the plural that messages name, with a space before it.
    std::optional<std::int64_t> readInteger(ObjectReader& reader, std::string_view name, Range<std::int64_t> range, std::string_view unit)
    {
        const JsonValue* field = readField(reader, name);
        if (!field)
            return std::nullopt;
        const std::string expected = "from " + std::to_string(range.least) + " to " + std::to_string(range.most) + std::string(unit);
        if (field->kind != JsonKind::Integer) {
            report(reader, FindingNumber::WrongType, name, field->line, "must be an integer " + expected);
            return std::nullopt;
        }
        if (field->integer < range.least || field->integer > range.most) {
            report(reader, FindingNumber::OutOfRange, name, field->line, "must be " + expected);
            return std::nullopt;
        }
        return field->integer;
    }

}

ObjectReader openValue(const JsonValue& value, std::string_view pointer, FindingList& findings)
{
    ObjectReader reader { nullptr, std::string(pointer), &findings, {} };
    if (value.kind == JsonKind::Object)
        reader.object = &value;
    else
        addFinding(findings, FindingNumber::WrongType, pointer, value.line, "must be an object");
    return reader;
}

ObjectReader openMember(ObjectReader& parent, std::string_view name)
{
    const std::string pointer = childPointer(parent.pointer, name);
    const JsonValue* field = readField(parent, name);
    if (!field)
        return { nullptr, pointer, parent.findings, {} };
    return openValue(*field, pointer, *parent.findings);
}

void finishObject(const ObjectReader& reader)
{
    if (!reader.object)
        return;
    for (const JsonMember& member : reader.object->members) {
        if (std::ranges::find(reader.knownNames, member.name) != reader.knownNames.end())
            continue;
        std::string message = "no such field";
        const std::string_view nearest = nearestName(member.name, reader.knownNames);
        if (!nearest.empty())
            message += "; did you mean \"" + std::string(nearest) + "\"?";
        report(reader, FindingNumber::UnknownField, member.name, member.line, std::move(message));
    }
}

const JsonValue* readField(ObjectReader& reader, std::string_view name, Presence presence)
{
    reader.knownNames.push_back(name);
    if (!reader.object)
        return nullptr;
    const JsonMember* member = findMember(*reader.object, name);
    if (member)
        return &member->value;
    if (presence == Presence::Required)
        report(reader, FindingNumber::MissingField, name, reader.object->line, "the field is required");
    return nullptr;
}

std::span<const JsonValue> readList(ObjectReader& reader, std::string_view name, Presence presence, Range<std::size_t> count)
{
    const JsonValue* field = readField(reader, name, presence);
    if (!field)
        return {};
    if (field->kind != JsonKind::Array) {
        report(reader, FindingNumber::WrongType, name, field->line, "must be a list");
        return {};
    }
    if (field->items.size() < count.least || field->items.size() > count.most) {
        report(reader, FindingNumber::WrongCount, name, field->line,
            "must have from " + std::to_string(count.least) + " to " + std::to_string(count.most) + " entries");
        return {};
    }
    return field->items;
}

void readUnsigned(ObjectReader& reader, std::string_view name, Range<std::int64_t> range, unsigned& value)
{
    if (const auto read = readInteger(reader, name, range, ""))
        value = static_cast<unsigned>(*read);
}

void readBytes(ObjectReader& reader, std::string_view name, Range<std::int64_t> range, std::uint64_t& value)
{
    if (const auto read = readInteger(reader, name, range, " bytes"))
        value = static_cast<std::uint64_t>(*read);
}

void readMilliseconds(ObjectReader& reader, std::string_view name, Range<std::chrono::milliseconds> range, Duration& value)
{
    const Range<std::int64_t> counts { range.least.count(), range.most.count() };
    if (const auto read = readInteger(reader, name, counts, " milliseconds"))
        value = std::chrono::milliseconds(*read);
}

void readNumber(ObjectReader& reader, std::string_view name, Range<double> range, double& value)
{
    const JsonValue* field = readField(reader, name);
    if (!field)
        return;
    const std::string expected = "from " + numberText(range.least) + " to " + numberText(range.most);
    if (field->kind != JsonKind::Integer && field->kind != JsonKind::Real) {
        report(reader, FindingNumber::WrongType, name, field->line, "must be a number " + expected);
        return;
    }
    if (field->real < range.least || field->real > range.most) {
        report(reader, FindingNumber::OutOfRange, name, field->line, "must be " + expected);
        return;
    }
    value = field->real;
}

void readText(ObjectReader& reader, std::string_view name, Presence presence, TextRule rule, std::string& value)
{
    const JsonValue* field = readField(reader, name, presence);
    if (!field)
        return;
    if (checkText(*field, childPointer(reader.pointer, name), rule, *reader.findings))
        value = field->string;
}

bool checkText(const JsonValue& value, std::string_view pointer, TextRule rule, FindingList& findings)
{
    if (value.kind != JsonKind::String) {
        addFinding(findings, FindingNumber::WrongType, pointer, value.line, "must be a string");
        return false;
    }
    const std::string_view complaint = rule(value.string);
    if (complaint.empty())
        return true;
    addFinding(findings, FindingNumber::MalformedText, pointer, value.line, std::string(complaint));
    return false;
}

void reportChoice(ObjectReader& reader, std::string_view name, const JsonValue& field, std::span<const std::string_view> names)
{
    if (field.kind != JsonKind::String) {
        report(reader, FindingNumber::WrongType, name, field.line, "must be one of the strings " + listNames(names));
        return;
    }
    std::string message = "must be one of " + listNames(names);
    const std::string_view nearest = nearestName(field.string.substr(0, maxNameBytes), names);
    if (!nearest.empty())
        message += "; did you mean \"" + std::string(nearest) + "\"?";
    report(reader, FindingNumber::UnknownChoice, name, field.line, std::move(message));
}

}
