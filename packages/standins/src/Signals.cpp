#include "flamingowick/standins/Signals.h"

#include <csignal>

namespace flamingowick::standins {

namespace {

    sigset_t stopSignals() noexcept
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

}

void blockStopSignals() noexcept
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void awaitStopSignal() noexcept
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

}
