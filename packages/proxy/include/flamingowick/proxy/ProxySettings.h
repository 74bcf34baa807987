#pragma once

#include "flamingowick/model/Clock.h"

#include <string>

// What one daemon of the granted data path is told at its start.
namespace flamingowick::proxy {

// Names of the headers by which callers, daemons and targets understand each other.
struct HeaderNames {
    // Names one try of a caller; a target echoes it.
    std::string requestId;
    // Milliseconds that the sender will wait.
    std::string timeLeft;
    // A target's proof that the answer is its own.
    std::string signature;
    // The life of the target that the request is meant for.
    std::string expectedInstance;
    // A target states that it did not run the request.
    std::string notExecuted;
};

struct ProxySettings {
    std::string vm;
    std::string failureDomain;
    // Addresses as "ip:port".
    std::string callerAddress;
    std::string readyAddress;
    // Empty: no metrics are served.
    std::string metricsAddress;
    // UDP.
    std::string peerAddress;
    // The platform's store.
    std::string storeAddress;
    HeaderNames headers;
    // After so long the platform kills a process that was told to stop.
    Duration stopGrace { std::chrono::seconds(6) };
    // Attempts beyond the first that a service's requests may cost, and those beyond that share in
    // any budget window.
    double retryRatio { 0.1 };
    double retryBurst { 20 };
    // How long targets that lapsed while the store was away may take to come back.
    Duration lapseGrace { std::chrono::milliseconds(2300) };
    // Lines a second that the log takes.
    unsigned logLinesPerSecond { 100 };
};

}
