#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

// Settings with which a proxy daemon starts.
namespace flamingowick::proxy {

// Names of the HTTP headers that callers, daemons and targets exchange.
struct HeaderNames {
    // Identifies one request of a caller, whose own retry is another request; the target returns it in its response.
    std::string requestId;
    // Milliseconds for which the sender will wait for the response.
    std::string timeLeft;
    // A target's signature, which shows that the response comes from it.
    std::string responseSignature;
    // Instance, the identifier of the target's incarnation, that the request is meant for.
    std::string expectedInstance;
    // Set by a target that did not execute the request.
    std::string notExecuted;
    // "1" in all responses of a target that is leaving.
    std::string targetLeaving;
    // The requests per second that a target takes from all daemons together; in all responses of a target with a limit.
    std::string requestLimit;
    // Key by which a caller shows which organisation it belongs to. Not forwarded where the configuration has organisations.
    std::string organisationKey;
    // Name of the caller's organisation, which targets get where the configuration has organisations.
    std::string organisationName;
};

// What a daemon knows at its start of the rest of the fleet.
enum class FleetStage : std::uint8_t {
    Unknown,
    // All daemons start for the first time, within a fraction of a second.
    Starting,
    // The others have been running, or were stopped with this one.
    Running,
};

// By what a dispatcher chooses the target of a request.
enum class PlacementPolicy : std::uint8_t {
    // The attempts in flight at each target.
    Slots,
    // The work that is expected of the request, and what each target still has to do.
    Cost,
};

// How a dispatcher decides which requests run while its targets have too little room.
enum class AdmissionPolicy : std::uint8_t {
    // By priority, then in the order of arrival.
    Arrival,
    // By priority, then by shares of the organisations, then by the latest start that still meets the objective.
    Shares,
};

struct ProxySettings {
    std::string vm;
    std::string failureDomain;
    // Addresses as "ip:port".
    std::string callerAddress;
    std::string readyAddress;
    // Empty if no metrics are served.
    std::string metricsAddress;
    // Address for messages between daemons, UDP and TCP.
    std::string peerAddress;
    // Address of the platform's object store.
    std::string storeAddress;
    HeaderNames headers;
    // Bandwidth of the VM's network link in Mbit/s; 0 when it isn't known. Daemons with a broad link are preferred as relays.
    double linkMbps { 0 };
    // Memory of the VM in MB, which bounds what is held for callers.
    double memoryMb { 160 };
    // Decides which calls the daemon makes to the store at its start.
    FleetStage fleetStage { FleetStage::Unknown };
    // Time after which the platform kills a process that it told to stop.
    Duration stopGrace { std::chrono::seconds(6) };
    // Retry budget of a service: retries allowed per request, and those allowed beyond that ratio in any budget window.
    double retryRatio { 0.1 };
    double retryBurst { 20 };
    // How long targets whose entries expired while the store was unavailable stay in use, counted from its return, so
    // that they can renew their entries.
    Duration lapseGrace { std::chrono::milliseconds(2300) };
    // Names of the terms of service that a platform has put into force, for its adapter, which derives policies from them.
    std::vector<std::string> terms {};
    PlacementPolicy placement { PlacementPolicy::Slots };
    AdmissionPolicy admission { AdmissionPolicy::Arrival };
    // Bound on the requests of an organisation that run, over all daemons: in any window at most
    // (rate x window + burst) x (1 + overage) + slack.
    Duration allotmentWindow { std::chrono::seconds(5) };
    double allotmentOverage { 0.1 };
    double allotmentSlack { 20 };
    // Rate limit of the log; further lines are dropped and counted.
    unsigned logLinesPerSecond { 100 };
};

}
