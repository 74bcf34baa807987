#include "flamingowick/telemetry/Log.h"

#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
// Easylogging++ consists of one source file, which must be compiled with the options above.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
#include <easylogging++.h>

#include <atomic>

INITIALIZE_EASYLOGGINGPP

namespace flamingowick::telemetry {

namespace {

    std::atomic<bool> isOpen { false };

    void setLevelEnabled(el::Configurations& configurations, el::Level level, bool enabled)
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
    setLevelEnabled(configurations, el::Level::Debug, lowest <= Level::Debug);
    setLevelEnabled(configurations, el::Level::Info, lowest <= Level::Info);
    setLevelEnabled(configurations, el::Level::Warning, lowest <= Level::Warning);
    el::Loggers::reconfigureAllLoggers(configurations);
    isOpen = true;
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
    if (!isOpen)
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
        // The line is dropped: a logging error must not stop the daemon.
        return;
    }
}

}
