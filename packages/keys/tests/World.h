#pragma once

#include "flamingowick/keys/KeyMachine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

// Several key machines among a lossy network, an unreliable store, targets and callers, driven by a
// seeded schedule of faults. The ledger knows what ran and what was told.
namespace flamingowick::keys::test {

struct Told {
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t answered { 0 };
};

// One attempt of a caller.
struct Sent {
    std::string key;
    TimePoint at;
};

struct Ledger {
    std::unordered_map<RequestId, Sent> attempts;
    // When and for which attempt each key was run.
    std::map<std::string, std::vector<std::pair<TimePoint, RequestId>>> runs;
    std::map<std::string, std::vector<TimePoint>> notRunTold;
    Told told;
    std::uint64_t handOvers { 0 };
    std::uint64_t takeovers { 0 };
    std::vector<std::string> violations;
};

// What a schedule is made with.
struct Scenario {
    std::uint64_t seed { 1 };
    Policy policy;
};

struct Node {
    State state;
    bool alive { true };
    TimePoint pausedUntil;
    // Events that came, and actions that were held back, during a pause.
    std::vector<Event> inbox;
    std::vector<Action> held;
    Duration clockOffset { 0 };
    std::int64_t wallSkewMs { 0 };
    std::uint64_t nextCounter { 1 };
    // When the machine was last suspended; callers that had asked before have gone.
    TimePoint suspendedAt;
};

struct Store {
    std::map<RangeId, std::vector<RangeRecord>> history;
    TimePoint downUntil;
};

struct Key {
    std::string text;
    TimePoint firstAt;
    // Set for keys whose age the owner can't tell: callers resend them within the retention only.
    bool opaque { false };
};

struct World {
    std::mt19937_64 random;
    Scenario scenario;
    TimePoint now { std::chrono::hours(100) };
    std::vector<Node> nodes;
    Store store;
    Ledger ledger;
    std::vector<Key> keys;
    std::unordered_set<RequestId> cancelled;
    // One-way cuts between nodes, with their end.
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> cuts;
    std::multimap<TimePoint, std::function<void()>> agenda;
};

// Runs one schedule from start to end and returns its ledger.
Ledger runSchedule(const Scenario&);

}
