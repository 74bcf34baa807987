#pragma once

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>

// Environment variables that select the first seed and the length of long runs: FLAMINGOWICK_SEED, FLAMINGOWICK_SECONDS.
namespace flamingowick::keys::test {

inline std::uint64_t environmentNumber(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text != nullptr ? std::stoull(text) : fallback;
}

// Calls the function with consecutive seeds, count times or, if set, for FLAMINGOWICK_SECONDS. Stops early when it
// returns false. Returns the number of calls.
template <typename Function>
std::uint64_t forEachSeed(std::uint64_t count, Function function)
{
    std::uint64_t first = environmentNumber("FLAMINGOWICK_SEED", 1);
    std::chrono::seconds limit(environmentNumber("FLAMINGOWICK_SECONDS", 0));
    auto start = std::chrono::steady_clock::now();
    std::uint64_t runs = 0;
    while (limit.count() > 0 ? std::chrono::steady_clock::now() - start < limit : runs < count) {
        ++runs;
        if (!function(first + runs - 1))
            break;
    }
    return runs;
}

}
