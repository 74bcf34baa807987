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

// Simulates several key machines with a lossy network, an unreliable store, targets and callers, under a seeded schedule
// of faults. The ledger records which keys ran and what callers were answered.
namespace flamingowick::keys::test {

struct OutcomeCounts {
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t answered { 0 };
};

// One attempt of a caller.
struct SentAttempt {
    std::string key;
    TimePoint sentAt;
};

struct Ledger {
    std::unordered_map<RequestId, SentAttempt> attempts;
    // The time and the attempt of each run of a key.
    std::map<std::string, std::vector<std::pair<TimePoint, RequestId>>> runs;
    std::map<std::string, std::vector<TimePoint>> notRunAnsweredAt;
    OutcomeCounts outcomes;
    std::uint64_t handOvers { 0 };
    std::uint64_t takeovers { 0 };
    std::vector<std::string> violations;
};

// The parameters of a schedule.
struct Scenario {
    std::uint64_t seed { 1 };
    Policy policy;
};

struct Node {
    State state;
    bool alive { true };
    TimePoint pausedUntil;
    // Events received, and actions not yet performed, during a pause.
    std::vector<Event> inbox;
    std::vector<Action> heldActions;
    Duration clockOffset { 0 };
    std::int64_t wallSkewMs { 0 };
    std::uint64_t nextCounter { 1 };
    // When the machine was last suspended. Callers that had sent a request before have disconnected.
    TimePoint suspendedAt;
};

struct Store {
    std::map<RangeId, std::vector<RangeRecord>> history;
    TimePoint downUntil;
};

struct Key {
    std::string text;
    TimePoint firstSentAt;
    // Set for keys whose age the owner cannot determine. Callers resend them within the retention only.
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
    // Directed pairs of nodes whose messages are dropped, with the end of the partition.
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> partitions;
    std::multimap<TimePoint, std::function<void()>> scheduledEvents;
};

// Runs one schedule from start to end and returns its ledger.
Ledger runSchedule(const Scenario&);

}
