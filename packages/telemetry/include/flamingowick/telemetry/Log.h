#pragma once

#include <cstdint>
#include <string_view>

// Logs of a process: short sentences with a fixed prefix for each part.
namespace flamingowick::telemetry {

// The parts of the system that log; each has a prefix of its own.
enum class Part : std::uint8_t {
    Daemon,
    Entry,
    Dispatch,
    Keys,
    Health,
    Peers,
    Platform,
    Configuration,
    Membership,
    Admin,
};

enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

// Starts logging with the lowest level that is written. Lines go to standard output, each with
// wall-clock time, level and prefix. Nothing is written before. To be called once, before other
// threads start.
void openLog(Level lowest);

// Writes one line. Safe from any thread; never throws.
void log(Part, Level, std::string_view message) noexcept;

inline void logInfo(Part part, std::string_view message) noexcept { log(part, Level::Info, message); }
inline void logWarning(Part part, std::string_view message) noexcept { log(part, Level::Warning, message); }
inline void logError(Part part, std::string_view message) noexcept { log(part, Level::Error, message); }

// Returns the fixed prefix of a part, as "entry: ". Never throws.
std::string_view prefix(Part) noexcept;

}
