#include "flamingowick/telemetry/Log.h"

#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
// The library is one source file, compiled here with the same options.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
#include <easylogging++.h>

#include <atomic>

INITIALIZE_EASYLOGGINGPP

namespace flamingowick::telemetry {

namespace {

    std::atomic<bool> opened { false };

    void allow(el::Configurations& configurations, el::Level level, bool enabled)
    {
        configurations.set(level, el::ConfigurationType::Enabled, enabled ? "true" : "false");
    }

}

void openLog(Level lowest)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    allow(configurations, el::Level::Debug, lowest <= Level::Debug);
    allow(configurations, el::Level::Info, lowest <= Level::Info);
    allow(configurations, el::Level::Warning, lowest <= Level::Warning);
    el::Loggers::reconfigureAllLoggers(configurations);
    opened = true;
}

std::string_view prefix(Part part) noexcept
{
    switch (part) {
    case Part::Daemon:
        return "daemon: ";
    case Part::Entry:
        return "entry: ";
    case Part::Dispatch:
        return "dispatch: ";
    case Part::Keys:
        return "keys: ";
    case Part::Health:
        return "health: ";
    case Part::Peers:
        return "peers: ";
    case Part::Platform:
        return "platform: ";
    case Part::Configuration:
        return "configuration: ";
    case Part::Membership:
        return "membership: ";
    case Part::Admin:
        return "admin: ";
    }
    return "daemon: ";
}

void log(Part part, Level level, std::string_view message) noexcept
{
    if (!opened)
        return;
    try {
        std::string line(prefix(part));
        line.append(message);
        switch (level) {
        case Level::Debug:
            LOG(DEBUG) << line;
            break;
        case Level::Info:
            LOG(INFO) << line;
            break;
        case Level::Warning:
            LOG(WARNING) << line;
            break;
        case Level::Error:
            LOG(ERROR) << line;
            break;
        }
    } catch (...) {
        // A line that can't be written is dropped: logging never stops a daemon.
        return;
    }
}

}
