#include "flamingowick/keys/KeyParser.h"

#include "flamingowick/model/StableHash.h"

#include <charconv>

namespace flamingowick::keys {

namespace {

    constexpr std::string_view issuedKeyPrefix = "fw1-";
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t uuidVersionAt = 14;
    constexpr std::size_t uuidVariantAt = 19;

    // Returns the value of a hexadecimal digit, or -1.
    int hexDigit(char character) noexcept
    {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'a' && character <= 'f')
            return character - 'a' + 10;
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return -1;
    }

    bool isDashPosition(std::size_t position) noexcept
    {
        return position == 8 || position == 13 || position == 18 || position == 23;
    }

    bool hasUuidShape(std::string_view key) noexcept
    {
        if (key.size() != uuidLength)
            return false;
        for (std::size_t position = 0; position < uuidLength; ++position) {
            bool wellFormed = isDashPosition(position) ? key[position] == '-' : hexDigit(key[position]) >= 0;
            if (!wellFormed)
                return false;
        }
        return true;
    }

    // Removes the last dash and the text after it, and parses that text as a number without sign or leading zero.
    std::optional<std::uint64_t> takeLastNumber(std::string_view& text)
    {
        std::size_t dash = text.rfind('-');
        if (dash == std::string_view::npos)
            return std::nullopt;
        std::string_view digits = text.substr(dash + 1);
        std::uint64_t value = 0;
        auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        bool fullyParsed = error == std::errc() && end == digits.data() + digits.size();
        bool canonical = digits == "0" || !digits.starts_with('0');
        if (!fullyParsed || !canonical)
            return std::nullopt;
        text = text.substr(0, dash);
        return value;
    }

}

RangeId rangeOf(std::string_view service, std::string_view key, std::uint32_t ranges)
{
    std::uint64_t hash = combineHashes(stableHash(service), stableHash(key));
    return { std::string(service), static_cast<std::uint32_t>(hash % ranges) };
}

std::optional<std::int64_t> uuidV7Milliseconds(std::string_view key) noexcept
{
    if (!hasUuidShape(key) || key[uuidVersionAt] != '7')
        return std::nullopt;
    constexpr int variantMask = 0xc;
    constexpr int variantBits = 0x8;
    if ((hexDigit(key[uuidVariantAt]) & variantMask) != variantBits)
        return std::nullopt;
    std::int64_t milliseconds = 0;
    for (std::size_t position = 0; position < uuidVersionAt - 1; ++position) {
        if (!isDashPosition(position))
            milliseconds = milliseconds * 16 + hexDigit(key[position]);
    }
    return milliseconds;
}

std::uint64_t issuedKeyCheck(const DaemonId& issuer, std::uint64_t counter, std::uint64_t secret)
{
    std::uint64_t hash = combineHashes(secret, stableHash(toString(issuer)));
    return combineHashes(combineHashes(hash, counter), secret);
}

std::string formatIssuedKey(const IssuedKey& key)
{
    std::string text(issuedKeyPrefix);
    text += key.issuer.vm;
    text += '-' + std::to_string(key.issuer.incarnation);
    text += '-' + std::to_string(key.counter);
    text += '-' + std::to_string(key.check);
    return text;
}

std::optional<IssuedKey> parseIssuedKey(std::string_view key)
{
    if (!key.starts_with(issuedKeyPrefix))
        return std::nullopt;
    std::string_view rest = key.substr(issuedKeyPrefix.size());
    auto check = takeLastNumber(rest);
    auto counter = takeLastNumber(rest);
    auto incarnation = takeLastNumber(rest);
    if (!check || !counter || !incarnation || rest.empty())
        return std::nullopt;
    return IssuedKey { { std::string(rest), *incarnation }, *counter, *check };
}

}
