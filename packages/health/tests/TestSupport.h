#pragma once

#include "flamingowick/health/Health.h"

#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

// Helpers shared by the health tests.
namespace flamingowick::health::test {

using namespace std::chrono_literals;

inline const TimePoint start { std::chrono::hours(1) };

// Returns the number in an environment variable, or the fallback if it is not set.
inline std::uint64_t fromEnvironment(const char* name, std::uint64_t fallback)
{
    const auto* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

inline std::string addressOf(std::size_t index)
{
    return "10.0.0." + std::to_string(10 + index) + ":80";
}

inline std::vector<Target> targetList(std::size_t count)
{
    std::vector<Target> targets;
    for (std::size_t i = 0; i < count; ++i)
        targets.push_back({ addressOf(i), "fd" + std::to_string(i % 3), false });
    return targets;
}

inline ObserverId observerAt(std::size_t index)
{
    return { { "vm" + std::to_string(index), 1 }, "fd" + std::to_string(index % 3) };
}

inline HealthState stateWith(std::size_t targets, const HealthPolicy& policy = {})
{
    HealthState state;
    handle(state, DocumentChanged { policy, TargetLimits {} }, start);
    const auto list = targetList(targets);
    handle(state, TargetsChanged { list }, start);
    return state;
}

inline std::vector<Action> observe(HealthState& state, std::size_t target, Result result, TimePoint now, Duration latency = 20ms, std::size_t observer = 0)
{
    return handle(state, Observation { addressOf(target), result, latency, observerAt(observer), true }, now);
}

template <typename Wanted>
std::vector<Wanted> actionsOfType(const std::vector<Action>& actions)
{
    std::vector<Wanted> found;
    for (const auto& action : actions) {
        if (const auto* wanted = std::get_if<Wanted>(&action))
            found.push_back(*wanted);
    }
    return found;
}

}
