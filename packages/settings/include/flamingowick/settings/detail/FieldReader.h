#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/settings/JsonValue.h"
#include "flamingowick/settings/detail/FindingList.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

// Reads typed fields out of JSON objects. Each reader leaves the value as it was when the field is
// absent, and adds a finding when it is there and can't be used.
namespace flamingowick::settings::detail {

template <typename Number>
struct Range {
    Number least;
    Number most;
};

enum class Presence : std::uint8_t {
    Optional,
    Required,
};

// Returns what is wrong with a text, empty when nothing is.
using TextRule = std::string_view (*)(std::string_view);

// A name that stands for a value in the text.
template <typename Value>
struct Choice {
    std::string_view name;
    Value value;
};

// An object that is being read. Reading a field makes its name known; finishObject reports the
// others.
struct ObjectReader {
    // Null when the text lacks the object; then every field is absent.
    const JsonValue* object { nullptr };
    std::string pointer;
    // Outlives the reader.
    FindingList* findings { nullptr };
    std::vector<std::string_view> knownNames;
};

// Starts to read value as an object, with a finding when it is none. May throw std::bad_alloc, as
// all functions below.
ObjectReader openValue(const JsonValue& value, std::string_view pointer, FindingList&);

// Starts to read an optional object that is a member of parent.
ObjectReader openMember(ObjectReader& parent, std::string_view name);

// Reports every field that was not read, with the nearest name among those that were.
void finishObject(const ObjectReader&);

// Returns the field, and makes its name known. Null when it is absent; a required one is reported.
const JsonValue* readField(ObjectReader&, std::string_view name, Presence = Presence::Optional);

// Returns the items of a list of least to most entries, with a finding when it is no such list.
std::span<const JsonValue> readList(ObjectReader&, std::string_view name, Presence, Range<std::size_t>);

void readUnsigned(ObjectReader&, std::string_view name, Range<std::int64_t>, unsigned& value);
void readBytes(ObjectReader&, std::string_view name, Range<std::int64_t>, std::uint64_t& value);
void readMilliseconds(ObjectReader&, std::string_view name, Range<std::chrono::milliseconds>, Duration& value);
void readNumber(ObjectReader&, std::string_view name, Range<double>, double& value);
void readText(ObjectReader&, std::string_view name, Presence, TextRule, std::string& value);

// Checks one text that is an item of a list. Returns whether it can be used.
bool checkText(const JsonValue&, std::string_view pointer, TextRule, FindingList&);

// Reports a text that is none of the choices.
void reportChoice(ObjectReader&, std::string_view name, const JsonValue&, std::span<const std::string_view> names);

// Reads a field whose text names one of the choices.
template <typename Value>
void readChoice(ObjectReader& reader, std::string_view name, std::span<const Choice<Value>> choices, Value& value)
{
    const JsonValue* field = readField(reader, name);
    if (!field)
        return;
    std::vector<std::string_view> names;
    for (const Choice<Value>& choice : choices) {
        if (field->kind == JsonKind::String && field->string == choice.name) {
            value = choice.value;
            return;
        }
        names.push_back(choice.name);
    }
    reportChoice(reader, name, *field, names);
}

}
