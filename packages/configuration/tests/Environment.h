#pragma once

#include <cstdint>
#include <cstdlib>

// Switches for long runs.
namespace flamingowick::configuration::tests {

inline std::uint64_t numberFromEnvironment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Seed of the first schedule.
inline std::uint64_t firstSeed() { return numberFromEnvironment("FLAMINGOWICK_SEED", 20261203); }

// How long to go on with further schedules after the fixed number; 0 stops there.
inline std::uint64_t extraSeconds() { return numberFromEnvironment("FLAMINGOWICK_SECONDS", 0); }

}
