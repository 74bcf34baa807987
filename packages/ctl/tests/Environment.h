#pragma once

#include <cstdint>
#include <cstdlib>

// Switches for long runs of the randomised tests.
namespace flamingowick::ctl {

// Returns the number in an environment variable, or fallback when it is unset.
inline std::uint64_t environmentNumber(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}
