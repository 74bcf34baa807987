#include "flamingowick/adapter/Run.h"
#include "flamingowick/daemon/Daemon.h"
#include "flamingowick/model/Error.h"
#include "flamingowick/settings/DaemonSettingsText.h"
#include "flamingowick/settings/FindingText.h"
#include "flamingowick/telemetry/Log.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>
#include <thread>

// The daemon that runs on each entry VM.

DEFINE_string(settings, "", "File with the daemon's settings, JSON with comments.");
DEFINE_string(settings_env, "", "Environment variable that holds the path of the settings file.");
DEFINE_bool(platform, false, "Run on the users' platform, with the settings of deploy/settings.template.jsonc.");
DEFINE_bool(check, false, "Check the settings, print findings and exit.");
DEFINE_bool(debug, false, "Log debug lines too.");

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitBadSettings = 2;
constexpr int exitInvariantBroken = 3;

using namespace flamingowick;

bool readFile(const std::string& path, std::string& text)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return false;
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
    return true;
}

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

int runDaemon(const DaemonSettings& settings)
{
    // Blocked in all threads; one thread waits for them.
    sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    daemon::Daemon daemon(settings);
    std::thread([&daemon, signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        daemon.requestShutdown();
    }).detach();
    daemon.run();
    return exitOk;
}

// Lets the system have the memory of large allocations back as soon as they are freed. By default the allocator keeps more of it with each one that
// is freed, up to 32 MiB at a time, beside the bodies of requests that have taken its place.
void returnLargeAllocations() noexcept
{
    constexpr int largeBytes = 1 << 20;
    mallopt(M_MMAP_THRESHOLD, largeBytes);
    mallopt(M_TRIM_THRESHOLD, largeBytes);
}

}

int main(int argc, char** argv)
{
    returnLargeAllocations();
    gflags::SetUsageMessage("flamingowickd --settings FILE: runs one daemon of the proxy fleet.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (const char* path = FLAGS_settings_env.empty() ? nullptr : std::getenv(FLAGS_settings_env.c_str()))
        FLAGS_settings = path;
    if (FLAGS_platform)
        return adapter::run(FLAGS_settings, FLAGS_check);
    std::string text;
    if (!readFile(FLAGS_settings, text)) {
        std::cerr << "flamingowickd: can't read settings file '" << FLAGS_settings << "'\n";
        return exitBadSettings;
    }
    auto checked = settings::parseDaemonSettings(text);
    if (!checked.accepted()) {
        std::cerr << settings::renderFindings(checked.findings, FLAGS_settings);
        return exitBadSettings;
    }
    if (FLAGS_check)
        return exitOk;
    telemetry::openLog(FLAGS_debug ? telemetry::Level::Debug : telemetry::Level::Info);
    try {
        return runDaemon(checked.value);
    } catch (const InvariantViolation& error) {
        telemetry::logError(telemetry::Part::Daemon, error.what());
        // Nothing may go on from a state that broke a promise.
        std::_Exit(exitInvariantBroken);
    } catch (const std::exception& error) {
        telemetry::logError(telemetry::Part::Daemon, error.what());
        return exitFailure;
    }
}
