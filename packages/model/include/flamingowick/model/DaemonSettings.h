#pragma once

#include "flamingowick/model/Clock.h"

#include <string>
#include <vector>

// What one daemon is told at its start.
namespace flamingowick {

struct DaemonSettings {
    std::string vm;
    std::string failureDomain;
    // Addresses as "ip:port". Ports are 1 to 65535.
    std::string entryAddress;
    std::string peerAddress;
    std::string adminAddress;
    // Bearer token of the administration API, at least 16 characters.
    std::string adminToken;
    // Base address of the platform's object API, as "http://ip:port".
    std::string platformUrl;
    // Peer addresses of a few other daemons, to join by.
    std::vector<std::string> seeds;
    // How long the entry goes on accepting after SIGTERM while the balancer looks away.
    Duration shutdownGrace { std::chrono::seconds(3) };
    // The longest that a shutdown waits for requests in flight.
    Duration shutdownLimit { std::chrono::seconds(60) };
    // Open connections from callers, above which new ones are closed.
    unsigned maxConnections { 10000 };

    bool operator==(const DaemonSettings&) const = default;
};

}
