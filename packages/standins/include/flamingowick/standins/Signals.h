#pragma once

// Stopping of the stand-ins' processes.
namespace flamingowick::standins {

// Blocks SIGTERM and SIGINT and ignores SIGPIPE. Call it before any thread is started.
void blockStopSignals() noexcept;

// Waits until the process is sent SIGTERM or SIGINT.
void awaitStopSignal() noexcept;

}
