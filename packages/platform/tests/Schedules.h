#pragma once

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <random>
#include <string>

// Randomised schedules with reproducible seeds. Environment variables select other seeds and longer runs.
namespace flamingowick::platform::testing {

// Calls schedule at least count times, each with the next seed and a generator seeded with it. Continues for
// FLAMINGOWICK_SECONDS seconds when that is set. FLAMINGOWICK_SEED sets the first seed.
inline void forSchedules(unsigned count, const std::function<void(std::uint64_t, std::mt19937_64&)>& schedule)
{
    constexpr std::uint64_t defaultSeed = 20261203;
    const char* firstSeed = std::getenv("FLAMINGOWICK_SEED");
    const char* seconds = std::getenv("FLAMINGOWICK_SECONDS");
    std::uint64_t seed = firstSeed != nullptr ? std::stoull(firstSeed) : defaultSeed;
    const auto start = std::chrono::steady_clock::now();
    const std::chrono::seconds limit(seconds != nullptr ? std::stoul(seconds) : 0);
    for (unsigned i = 0; i < count || std::chrono::steady_clock::now() - start < limit; ++i, ++seed) {
        std::mt19937_64 random(seed);
        schedule(seed, random);
    }
}

}
