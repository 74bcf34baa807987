#pragma once

#include <cstdint>
#include <string_view>

// A plain-text log of the process, with a fixed prefix for each part.
namespace flamingowick::telemetry {

// The parts of the daemon that write log lines.
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

// Starts logging to standard output; earlier lines are discarded. Lines below the given level are not written. Each
// line has the wall-clock time, level and prefix. Must be called once, before other threads start.
void openLog(Level lowest);

// Writes one line. Safe from any thread; never throws.
void log(Part, Level, std::string_view message) noexcept;

inline void logInfo(Part part, std::string_view message) noexcept { log(part, Level::Info, message); }
inline void logWarning(Part part, std::string_view message) noexcept { log(part, Level::Warning, message); }
inline void logError(Part part, std::string_view message) noexcept { log(part, Level::Error, message); }

// Returns the prefix of a part, such as "entry: ". Never throws.
std::string_view prefix(Part) noexcept;

}
