#include "flamingowick/settings/detail/TextRules.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace flamingowick::settings::detail {

namespace {

    constexpr std::size_t maxLabelLength = 63;
    constexpr std::size_t maxHostLength = 253;
    constexpr std::size_t maxPathLength = 1024;
    constexpr std::size_t maxHeaderNameLength = 64;
    constexpr std::size_t minTokenLength = 16;
    constexpr std::size_t maxTokenLength = 512;

    constexpr std::string_view badAddress = "must be an address as \"ip:port\" with a port from 1 to 65535";

    bool isDigit(char character) noexcept { return character >= '0' && character <= '9'; }

    bool isSmallLetter(char character) noexcept { return character >= 'a' && character <= 'z'; }

    bool isLetter(char character) noexcept { return isSmallLetter(character) || (character >= 'A' && character <= 'Z'); }

    bool isAlphanumeric(char character) noexcept { return isLetter(character) || isDigit(character); }

    bool isVisible(char character) noexcept { return character > ' ' && character < 0x7f; }

    bool isHexDigit(char character) noexcept
    {
        return isDigit(character) || (character >= 'a' && character <= 'f') || (character >= 'A' && character <= 'F');
    }

    // Takes the text up to the separator off the front of rest.
    std::string_view takePart(std::string_view& rest, char separator) noexcept
    {
        const std::size_t end = rest.find(separator);
        const std::string_view part = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        return part;
    }

    // Decimal without sign or leading zeros.
    bool isNumber(std::string_view text, std::uint32_t least, std::uint32_t most) noexcept
    {
        constexpr std::size_t maxDigits = 5;
        if (text.empty() || text.size() > maxDigits || !std::ranges::all_of(text, isDigit))
            return false;
        if (text.size() > 1 && text.front() == '0')
            return false;
        std::uint32_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number >= least && number <= most;
    }

    bool isIpv4(std::string_view text) noexcept
    {
        constexpr std::uint32_t maxOctet = 255;
        if (std::ranges::count(text, '.') != 3)
            return false;
        for (int octet = 0; octet < 4; ++octet) {
            if (!isNumber(takePart(text, '.'), 0, maxOctet))
                return false;
        }
        return true;
    }

    // Counts the groups of one side of an IPv6 address; nothing valid has more than eight.
    std::size_t countGroups(std::string_view side) noexcept
    {
        constexpr std::size_t invalid = 9;
        constexpr std::size_t maxGroupLength = 4;
        if (side.empty())
            return 0;
        if (side.back() == ':')
            return invalid;
        std::size_t groups = 0;
        while (!side.empty()) {
            const std::string_view group = takePart(side, ':');
            if (group.empty() || group.size() > maxGroupLength || !std::ranges::all_of(group, isHexDigit))
                return invalid;
            ++groups;
        }
        return groups;
    }

    bool isIpv6(std::string_view text) noexcept
    {
        constexpr std::size_t allGroups = 8;
        const std::size_t gap = text.find("::");
        if (gap == std::string_view::npos)
            return countGroups(text) == allGroups;
        return countGroups(text.substr(0, gap)) + countGroups(text.substr(gap + 2)) < allGroups;
    }

    bool isAddress(std::string_view text) noexcept
    {
        constexpr std::uint32_t maxPort = 65535;
        const std::size_t colon = text.rfind(':');
        if (colon == std::string_view::npos || !isNumber(text.substr(colon + 1), 1, maxPort))
            return false;
        const std::string_view host = text.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            return isIpv6(host.substr(1, host.size() - 2));
        return isIpv4(host);
    }

    bool isHostLabel(std::string_view label) noexcept
    {
        if (label.empty() || label.size() > maxLabelLength || label.front() == '-' || label.back() == '-')
            return false;
        return std::ranges::all_of(label, [](char character) { return isAlphanumeric(character) || character == '-'; });
    }

    bool isPathCharacter(char character) noexcept
    {
        constexpr std::string_view refused = "?#\\\"<>^`{}|";
        return isVisible(character) && refused.find(character) == std::string_view::npos;
    }

    bool isTokenCharacter(char character) noexcept
    {
        constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        return isAlphanumeric(character) || marks.find(character) != std::string_view::npos;
    }

    bool hasBadSegment(std::string_view path) noexcept
    {
        path = trimPathPrefix(path);
        if (path.empty())
            return false;
        path.remove_prefix(1);
        do {
            const std::string_view segment = takePart(path, '/');
            if (segment.empty() || segment == "." || segment == "..")
                return true;
        } while (!path.empty());
        return false;
    }

}

std::string_view checkServiceName(std::string_view text) noexcept
{
    const auto allowed = [](char character) { return isSmallLetter(character) || isDigit(character) || character == '-'; };
    const bool wellFormed = !text.empty() && text.size() <= maxLabelLength && isSmallLetter(text.front()) && std::ranges::all_of(text, allowed);
    return wellFormed ? "" : "must be 1 to 63 small letters, digits and hyphens, and begin with a letter";
}

std::string_view checkPlaceName(std::string_view text) noexcept
{
    constexpr std::string_view marks = "._-";
    const auto allowed = [marks](char character) { return isAlphanumeric(character) || marks.find(character) != std::string_view::npos; };
    const bool wellFormed = !text.empty() && text.size() <= maxLabelLength && std::ranges::all_of(text, allowed);
    return wellFormed ? "" : "must be 1 to 63 letters, digits, dots, underscores and hyphens";
}

std::string_view checkHost(std::string_view text) noexcept
{
    constexpr std::string_view complaint = "must be a host name without a port, such as \"parts.example\"";
    if (text.empty() || text.size() > maxHostLength || text.back() == '.')
        return complaint;
    while (!text.empty()) {
        if (!isHostLabel(takePart(text, '.')))
            return complaint;
    }
    return "";
}

std::string_view checkPathPrefix(std::string_view text) noexcept
{
    if (text.empty() || text.front() != '/' || text.size() > maxPathLength)
        return "must begin with \"/\" and have at most 1024 characters";
    if (!std::ranges::all_of(text, isPathCharacter))
        return "must be a path alone, without a query, a fragment or blanks";
    if (hasBadSegment(text))
        return "must have no empty segment and none that is \".\" or \"..\"";
    return "";
}

std::string_view checkHeaderName(std::string_view text) noexcept
{
    const bool wellFormed = !text.empty() && text.size() <= maxHeaderNameLength && std::ranges::all_of(text, isTokenCharacter);
    return wellFormed ? "" : "must be a header's name of 1 to 64 characters";
}

std::string_view checkAddress(std::string_view text) noexcept
{
    return isAddress(text) ? "" : badAddress;
}

std::string_view checkPlatformUrl(std::string_view text) noexcept
{
    constexpr std::string_view scheme = "http://";
    const bool wellFormed = text.starts_with(scheme) && isAddress(text.substr(scheme.size()));
    return wellFormed ? "" : "must be an address as \"http://ip:port\"";
}

std::string_view checkToken(std::string_view text) noexcept
{
    const bool wellFormed = text.size() >= minTokenLength && text.size() <= maxTokenLength && std::ranges::all_of(text, isVisible);
    return wellFormed ? "" : "must be 16 to 512 visible characters";
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char& character : lower) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return lower;
}

std::string_view trimPathPrefix(std::string_view prefix) noexcept
{
    if (prefix.ends_with('/'))
        prefix.remove_suffix(1);
    return prefix;
}

}
