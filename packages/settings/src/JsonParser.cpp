#include "flamingowick/settings/detail/JsonParser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <span>
#include <unordered_set>
#include <utility>

// Builds located JSON values from the events of the JSON library.
namespace flamingowick::settings::detail {

namespace {

    using Json = nlohmann::json;

    // Walks over the text and shows how far the library has read.
    struct TrackedIterator {
        using iterator_category = std::forward_iterator_tag;
        using value_type = char;
        using difference_type = std::ptrdiff_t;
        using pointer = const char*;
        using reference = const char&;

        const char* position { nullptr };
        const char** reached { nullptr };

        reference operator*() const { return *this->position; }

        TrackedIterator& operator++()
        {
            ++this->position;
            *this->reached = this->position;
            return *this;
        }

        TrackedIterator operator++(int)
        {
            TrackedIterator before = *this;
            ++*this;
            return before;
        }

        bool operator==(const TrackedIterator& other) const { return this->position == other.position; }
    };

    // Counts lines as reading goes on; each character is looked at once.
    struct LineCounter {
        const char* counted { nullptr };
        const char* reached { nullptr };
        unsigned line { 1 };
    };

    // Returns the line of the token that was read last. The character read last is left out: it may
    // be the newline that ended a number.
    unsigned currentLine(LineCounter& counter)
    {
        const char* end = counter.reached > counter.counted ? counter.reached - 1 : counter.counted;
        counter.line += static_cast<unsigned>(std::count(counter.counted, end, '\n'));
        counter.counted = end;
        return counter.line;
    }

    // An array or object that is not closed yet.
    struct OpenValue {
        JsonValue value;
        // Where the next member belongs; unused in arrays.
        std::string name;
        unsigned nameLine { 0 };
        bool duplicate { false };
        std::unordered_set<std::string> names;
    };

    std::string pointerTo(std::span<const OpenValue> open)
    {
        std::string pointer;
        for (const OpenValue& parent : open) {
            const bool array = parent.value.kind == JsonKind::Array;
            pointer = childPointer(pointer, array ? std::to_string(parent.value.items.size()) : parent.name);
        }
        return pointer;
    }

    // Drops the library's own prefix of a message, "[json.exception.parse_error.101] ".
    std::string plainMessage(std::string_view message)
    {
        const std::size_t prefixEnd = message.find("] ");
        return std::string(prefixEnd == std::string_view::npos ? message : message.substr(prefixEnd + 2));
    }

    // Receives the library's events. Each handler returns false to stop the parse.
    class TreeBuilder : public nlohmann::json_sax<Json> {
    public:
        TreeBuilder(LineCounter& lineCounter, FindingList& findingList)
            : lines(lineCounter)
            , findings(findingList)
        {
        }

        bool null() override { return this->close(this->make(JsonKind::Null)); }

        bool boolean(bool value) override
        {
            JsonValue made = this->make(JsonKind::Boolean);
            made.boolean = value;
            return this->close(std::move(made));
        }

        bool number_integer(number_integer_t value) override
        {
            JsonValue made = this->make(JsonKind::Integer);
            made.integer = value;
            made.real = static_cast<double>(value);
            return this->close(std::move(made));
        }

        bool number_unsigned(number_unsigned_t value) override
        {
            constexpr auto most = static_cast<number_unsigned_t>(std::numeric_limits<std::int64_t>::max());
            return this->number_integer(static_cast<std::int64_t>(std::min(value, most)));
        }

        bool number_float(number_float_t value, const string_t&) override
        {
            JsonValue made = this->make(JsonKind::Real);
            made.real = value;
            return this->close(std::move(made));
        }

        bool string(string_t& value) override
        {
            JsonValue made = this->make(JsonKind::String);
            made.string = std::move(value);
            return this->close(std::move(made));
        }

        bool binary(binary_t&) override { return false; }

        bool start_object(std::size_t) override { return this->push(JsonKind::Object); }

        bool start_array(std::size_t) override { return this->push(JsonKind::Array); }

        bool key(string_t& name) override
        {
            OpenValue& parent = this->open.back();
            parent.name = std::move(name);
            parent.nameLine = currentLine(this->lines);
            if (parent.name.size() > maxNameBytes) {
                parent.name.resize(maxNameBytes);
                return this->refuse(FindingNumber::NameTooLong, "a field's name is longer than 128 bytes");
            }
            parent.duplicate = !parent.names.insert(parent.name).second;
            if (parent.duplicate) {
                addFinding(this->findings, FindingNumber::DuplicateField, pointerTo(this->open), parent.nameLine,
                    "the field stands here a second time");
            }
            return true;
        }

        bool end_object() override { return this->pop(); }

        bool end_array() override { return this->pop(); }

        bool parse_error(std::size_t, const std::string&, const Json::exception& error) override
        {
            return this->refuse(FindingNumber::Syntax, plainMessage(error.what()));
        }

        JsonValue takeRoot() { return std::move(this->root); }

    private:
        JsonValue make(JsonKind kind)
        {
            JsonValue value;
            value.kind = kind;
            value.line = currentLine(this->lines);
            return value;
        }

        bool refuse(FindingNumber number, std::string message)
        {
            addFinding(this->findings, number, pointerTo(this->open), currentLine(this->lines), std::move(message));
            return false;
        }

        bool countValue()
        {
            ++this->values;
            if (this->values <= maxValues)
                return true;
            return this->refuse(FindingNumber::TooManyValues, "the text holds more than 50000 values");
        }

        bool push(JsonKind kind)
        {
            if (this->open.size() >= maxDepth)
                return this->refuse(FindingNumber::NestedTooDeeply, "values are nested more than 16 deep");
            OpenValue opened;
            opened.value = this->make(kind);
            this->open.push_back(std::move(opened));
            return true;
        }

        bool pop()
        {
            JsonValue value = std::move(this->open.back().value);
            this->open.pop_back();
            return this->close(std::move(value));
        }

        // Puts a complete value where it belongs.
        bool close(JsonValue&& value)
        {
            if (!this->countValue())
                return false;
            if (this->open.empty()) {
                this->root = std::move(value);
                return true;
            }
            OpenValue& parent = this->open.back();
            if (parent.value.kind == JsonKind::Array)
                parent.value.items.push_back(std::move(value));
            else if (!parent.duplicate)
                parent.value.members.push_back({ parent.name, parent.nameLine, std::move(value) });
            return true;
        }

        LineCounter& lines;
        FindingList& findings;
        std::vector<OpenValue> open;
        JsonValue root;
        std::size_t values { 0 };
    };

}

std::optional<JsonValue> parseJson(std::string_view text, FindingList& findings)
{
    if (text.size() > maxTextBytes) {
        addFinding(findings, FindingNumber::TextTooLong, "", 0, "the text is longer than 1000000 bytes");
        return std::nullopt;
    }
    if (text.empty())
        text = "";
    const char* begin = text.data();
    const char* end = begin + text.size();
    LineCounter lines { begin, begin, 1 };
    TreeBuilder builder(lines, findings);
    const TrackedIterator first { begin, &lines.reached };
    const TrackedIterator last { end, &lines.reached };
    constexpr bool strict = true;
    constexpr bool ignoreComments = true;
    if (!Json::sax_parse(first, last, &builder, Json::input_format_t::json, strict, ignoreComments))
        return std::nullopt;
    return builder.takeRoot();
}

}

namespace flamingowick::settings {

Checked<JsonValue> parseJsonText(std::string_view text)
{
    Checked<JsonValue> result;
    detail::FindingList findings;
    if (auto root = detail::parseJson(text, findings))
        result.value = std::move(*root);
    result.findings = detail::takeFindings(std::move(findings));
    return result;
}

}
