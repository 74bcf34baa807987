#pragma once

#include "Fleet.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

// The state of a simulated fleet, shared by message delivery (Fleet.cpp) and disturbances (Disturbances.cpp).
namespace flamingowick::keys::bench {

constexpr std::size_t nodeCount = 44;
constexpr std::size_t failureDomains = 3;
// Time in which a new daemon receives the owners' heartbeats before callers are sent to it.
constexpr std::chrono::seconds readyDelay { 3 };
constexpr std::chrono::seconds leaseTime { 10 };
constexpr std::int64_t wallEpochMs = 1764720000000;

struct Node {
    State state;
    bool alive { false };
    // When the load balancer starts to send callers to the daemon.
    TimePoint readyAt;
    TimePoint pausedUntil;
    TimePoint leaseUntil;
    // Events received and actions not yet executed while the daemon is paused.
    std::vector<Event> inbox;
    std::vector<Action> delayedActions;
    bool pauseAtNextDispatch { false };
    std::uint64_t nextCounter { 1 };
};

struct Key {
    std::string text;
    std::string service;
    unsigned attempts { 0 };
    unsigned runs { 0 };
    bool answered { false };
    bool notRunAnswered { false };
};

struct Attempt {
    std::size_t key { 0 };
    TimePoint sentAt;
    bool done { false };
};

struct Fleet {
    Setup setup;
    std::mt19937_64 random;
    TimePoint now { std::chrono::hours(100) };
    std::vector<Node> nodes { nodeCount };
    std::map<RangeId, RangeRecord> records;
    bool storeDown { false };
    std::uint64_t writesThisSecond { 0 };
    std::vector<Key> keys;
    TimePoint loadEnd;
    std::unordered_map<RequestId, Attempt> attempts;
    std::multimap<TimePoint, std::function<void()>> scheduledWork;
    std::vector<std::string> services { "dereg-ledger", "member-settle", "parts-catalogue", "reservas", "cobranzas", "inventario" };
    Measurements measured;
};

inline void schedule(Fleet& fleet, Duration delay, std::function<void()> work) { fleet.scheduledWork.emplace(fleet.now + delay, std::move(work)); }
inline std::size_t nodeIndexOf(const DaemonId& daemon) { return static_cast<std::size_t>(std::stoul(daemon.vm.substr(2))); }
inline std::int64_t wallMs(const Fleet& fleet) { return wallEpochMs + std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now.time_since_epoch()).count(); }
inline bool isLease(const Fleet& fleet) { return fleet.setup.scheme != OwnershipScheme::SoleOwner; }

// Delivers an event to a daemon, or queues it while the daemon is paused.
void deliver(Fleet&, std::size_t to, const Event&);
// Delivers an event to a daemon if this incarnation is still running.
void deliverTo(Fleet&, const DaemonId& to, const Event&);
void broadcast(Fleet&, std::size_t from, const Event&);
void countWrite(Fleet&);

// Starts a new incarnation on a VM.
void start(Fleet&, std::size_t index);
std::vector<std::string> liveVms(const Fleet&);
// Starts the disturbance of the setup.
void startDisturbance(Fleet&);
// Renews the leases of all running daemons, and schedules the next renewal.
void renewLeases(Fleet&);
// Reports owners with an expired lease as ended, so that other daemons claim their ranges, and schedules the next
// check.
void expireLeases(Fleet&);

}
