#pragma once

#include "flamingowick/model/DaemonSettings.h"

#include <memory>

// One daemon process: the threads, one for each duty, and the rings between them.
namespace flamingowick::daemon {

class Daemon {
public:
    // Opens all addresses and starts all threads. Throws GatewayError, PeerError or PlatformError
    // when one can't be used.
    explicit Daemon(const DaemonSettings&);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Runs the core on the calling thread until a shutdown is complete. Throws InvariantViolation
    // when a promise is found broken.
    void run();

    // Starts a graceful shutdown. Safe from any thread; not from a signal handler.
    void requestShutdown();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
