#pragma once

#include "Fleet.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

// The state of a modelled fleet, shared by the parts that carry messages and those that disturb it.
namespace flamingowick::keys::bench {

constexpr std::size_t nodeCount = 44;
constexpr std::size_t failureDomains = 3;
// Time in which a new daemon hears the owners before it takes callers.
constexpr std::chrono::seconds readyDelay { 3 };
constexpr std::chrono::seconds leaseTime { 10 };
constexpr std::int64_t wallEpochMs = 1764720000000;

struct Node {
    State state;
    bool alive { false };
    // From when on the balancer sends it callers.
    TimePoint readyAt;
    TimePoint pausedUntil;
    TimePoint leaseUntil;
    std::vector<Event> inbox;
    std::vector<Action> held;
    bool pauseAtNextDispatch { false };
    std::uint64_t nextCounter { 1 };
};

struct Key {
    std::string text;
    std::string service;
    unsigned attempts { 0 };
    unsigned runs { 0 };
    bool answered { false };
    bool notRunTold { false };
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
    std::multimap<TimePoint, std::function<void()>> agenda;
    std::vector<std::string> services { "dereg-ledger", "member-settle", "parts-catalogue", "reservas", "cobranzas", "inventario" };
    Measured measured;
};

inline void later(Fleet& fleet, Duration delay, std::function<void()> work) { fleet.agenda.emplace(fleet.now + delay, std::move(work)); }
inline std::size_t nodeOf(const DaemonId& daemon) { return static_cast<std::size_t>(std::stoul(daemon.vm.substr(2))); }
inline std::int64_t wallMs(const Fleet& fleet) { return wallEpochMs + std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now.time_since_epoch()).count(); }
inline bool isLease(const Fleet& fleet) { return fleet.setup.way != Way::SoleOwner; }

// Carries a message to a daemon at once, or keeps it while the daemon is paused.
void deliver(Fleet&, std::size_t to, const Event&);
// The same, when this incarnation still runs.
void deliverTo(Fleet&, const DaemonId& to, const Event&);
void broadcast(Fleet&, std::size_t from, const Event&);
void countWrite(Fleet&);

// Starts a new incarnation on a VM.
void start(Fleet&, std::size_t index);
std::vector<std::string> liveVms(const Fleet&);
// Begins the disturbance of the setup.
void disturb(Fleet&);
// Renew and watch the leases, each from then on.
void renewLeases(Fleet&);
void lapseLeases(Fleet&);

}
