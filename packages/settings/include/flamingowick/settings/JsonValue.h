#pragma once

#include "flamingowick/model/Finding.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// JSON values that remember the line they stand on.
namespace flamingowick::settings {

enum class JsonKind : std::uint8_t {
    Null,
    Boolean,
    Integer,
    Real,
    String,
    Array,
    Object,
};

struct JsonMember;

struct JsonValue {
    JsonKind kind { JsonKind::Null };
    // Line in the text, from 1.
    unsigned line { 0 };
    // Integers beyond 64 signed bits stand at the nearest limit.
    std::int64_t integer { 0 };
    // Set for integers too.
    double real { 0 };
    bool boolean { false };
    std::string string;
    std::vector<JsonValue> items;
    std::vector<JsonMember> members;
};

struct JsonMember {
    std::string name;
    // Line of the name.
    unsigned line { 0 };
    JsonValue value;
};

// Parses JSON with comments, within bounds on size, depth and number of values. The value is usable
// when nothing was found. Linear in the length of text; throws nothing but std::bad_alloc.
Checked<JsonValue> parseJsonText(std::string_view text);

// Writes a value on one line. Throws nothing but std::bad_alloc.
std::string compactJson(const JsonValue&);

// Returns the member of that name, or null. Linear in the number of members; never throws.
const JsonMember* findMember(const JsonValue&, std::string_view name) noexcept;

// Returns pointer extended by one token, escaped as RFC 6901 demands. May throw std::bad_alloc.
std::string childPointer(std::string_view pointer, std::string_view token);

// Returns the line of the value at an RFC 6901 pointer or, where the text lacks it, that of the
// nearest value around it. May throw std::bad_alloc.
unsigned lineOf(const JsonValue& root, std::string_view pointer);

}
