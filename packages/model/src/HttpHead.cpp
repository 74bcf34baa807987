#include "flamingowick/model/HttpHead.h"

#include <algorithm>
#include <cctype>

namespace flamingowick {

namespace {

    bool isDigit(char character) noexcept { return character >= '0' && character <= '9'; }

    bool isTokenCharacter(char character) noexcept
    {
        static constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
        const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        return isLetter || isDigit(character) || punctuation.find(character) != std::string_view::npos;
    }

    std::string_view withoutLineBreak(std::string_view line) noexcept
    {
        if (line.ends_with('\n'))
            line.remove_suffix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }

    bool equalsIgnoringCase(std::string_view first, std::string_view second) noexcept
    {
        return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

}

bool isHeaderName(std::string_view name) noexcept
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool isHeaderValue(std::string_view value) noexcept
{
    return std::none_of(value.begin(), value.end(), [](unsigned char character) { return (character < 0x20U && character != '\t') || character == 0x7fU; });
}

bool isStatusLine(std::string_view line) noexcept
{
    constexpr std::string_view version = "HTTP/1.";
    if (line.size() <= statusLineBytes || !line.starts_with(version) || !isDigit(line[7]) || line[8] != ' ')
        return false;
    const std::string_view status = line.substr(9, 3);
    const char next = line[statusLineBytes];
    return status[0] >= '1' && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2]) && (next == ' ' || next == '\r' || next == '\n');
}

void readHeaderLine(ResponseHead& head, std::string_view line) noexcept
{
    if (line.starts_with("HTTP/")) {
        head = { head.malformed || !isStatusLine(line) };
        return;
    }
    line = withoutLineBreak(line);
    if (line.empty()) {
        head.complete = true;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    head.malformed = head.malformed || colon == std::string_view::npos || !isHeaderName(name) || !isHeaderValue(line.substr(colon + 1));
    head.framed = head.framed || equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding");
}

}
