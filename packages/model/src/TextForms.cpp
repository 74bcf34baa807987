#include "flamingowick/model/TextForms.h"

#include <cctype>
#include <charconv>

namespace flamingowick {

std::string encodePercent(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '.' || character == '_' || character == '~') {
            encoded.push_back(character);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 15U]);
    }
    return encoded;
}

std::optional<Duration> parseDuration(std::string_view text, double greatest) noexcept
{
    double number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || number < 0 || number > greatest)
        return std::nullopt;
    const std::string_view unit = text.substr(static_cast<std::size_t>(result.ptr - text.data()));
    if (unit == "ms")
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(number));
    if (unit == "s")
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(number));
    return std::nullopt;
}

}
