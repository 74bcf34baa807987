#pragma once

#include "flamingowick/membership/Messages.h"
#include "flamingowick/model/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Who is a member of the fleet: a gossip protocol after SWIM with Lifeguard's local health. Each
// daemon pings one member a period, asks others to ping when no answer comes, suspects, and gives
// the suspect time to refute. Deterministic, without I/O.
//
// Sources: Das, Gupta, Motivala: SWIM (2002); Dadgar, Phillips, Currey: Lifeguard (2018).
namespace flamingowick::membership {

struct Timing {
    Duration period { std::chrono::milliseconds(300) };
    // Wait for an answer before others are asked to ping, and again as long for what they find.
    Duration pingTimeout { std::chrono::milliseconds(250) };
    Duration indirectTimeout { std::chrono::milliseconds(500) };
    // How long a suspect has to refute, at most and, when others' probes fail too, at least.
    Duration suspicionMax { std::chrono::seconds(6) };
    Duration suspicionMin { std::chrono::seconds(3) };
    // Full exchange with one random member, which repairs what gossip lost. The interval doubles
    // from the first to the last, so that a daemon that starts learns quickly.
    Duration firstSync { std::chrono::milliseconds(500) };
    Duration syncPeriod { std::chrono::seconds(10) };
    // How often the seeds are asked while no member is known.
    Duration joinPeriod { std::chrono::milliseconds(250) };
    // How long members that went are remembered, so that old gossip can't bring them back.
    Duration memory { std::chrono::minutes(10) };
    // Ticks further apart than this mean that this daemon was paused: its own silence explains what
    // it missed.
    Duration pauseLimit { std::chrono::milliseconds(1000) };
};

struct Limits {
    unsigned indirectPings { 3 };
    std::size_t updatesPerMessage { 12 };
    // Times an update is passed on, multiplied by the binary logarithm of the members.
    unsigned retransmitFactor { 3 };
    // Lifeguard's bound on how far a daemon that is slow itself stretches its timeouts.
    unsigned maxLocalHealth { 8 };
    // Confirmations by others after which the suspicion takes its least time.
    unsigned confirmations { 3 };
};

// Events.

struct MessageReceived {
    MemberInfo from;
    Message message;
};
// A connection to the address was lost; its member is pinged at once.
struct LinkLost {
    std::string address;
};
// This daemon goes away in good order.
struct Leave { };
// Expected at least every 100 ms.
struct Tick { };

using Event = std::variant<MessageReceived, LinkLost, Leave, Tick>;

// Actions.

struct Send {
    std::string address;
    // The life of the receiver that is meant; 0 for any.
    Incarnation incarnation { 0 };
    Message message;
};
struct Joined {
    MemberInfo member;
};
// The member is no longer counted as alive; it may come back in the same incarnation.
struct Lost {
    MemberInfo member;
    // It said itself that it leaves.
    bool hasLeft { false };
};
struct HasLeft {
    MemberInfo member;
};
// A newer incarnation of the VM was heard: the process of the earlier one is gone for certain.
struct Restarted {
    MemberInfo earlier;
};

using Action = std::variant<Send, Joined, Lost, HasLeft, Restarted>;

struct Record {
    Update update;
    // When the status was taken over.
    TimePoint since;
    // Whose own probes failed; only counted while suspect.
    std::set<std::string> accusers;
};

struct Rumour {
    Update update;
    unsigned sent { 0 };
};

struct Probe {
    std::uint64_t sequence { 0 };
    std::string vm;
    TimePoint startedAt;
    bool indirect { false };
};

// A ping made for another member.
struct Relay {
    std::uint64_t theirSequence { 0 };
    std::string forVm;
    TimePoint startedAt;
};

// The decision that tests replace by broken ones.
struct Policy {
    // Whether an offered report replaces the held one.
    bool (*supersedes)(const Update& held, const Update& offered) noexcept = membership::supersedes;
    // Whether a daemon refutes a report on itself.
    bool (*mustRefute)(const Update& own, const Update& report) noexcept = nullptr;
};

struct State {
    Update own;
    std::vector<std::string> seeds;
    Timing timing;
    Limits limits;
    Policy policy;
    std::map<std::string, Record, std::less<>> members;
    std::map<std::string, Rumour, std::less<>> rumours;
    std::vector<std::string> probeOrder;
    std::optional<Probe> probe;
    std::map<std::uint64_t, Relay> relays;
    std::uint64_t sequence { 0 };
    unsigned localHealth { 0 };
    std::uint64_t random { 0 };
    TimePoint nextProbe;
    TimePoint nextSync;
    Duration syncInterval { 0 };
    TimePoint nextJoin;
    TimePoint lastTick;
    bool leaving { false };
};

// Makes the state of a daemon that knows only itself and its seeds' addresses.
State makeState(const MemberInfo& self, std::vector<std::string> seeds, std::uint64_t seed, TimePoint now);

// Takes in one event and returns what is to be done, in order. Joined and Lost alternate for each
// incarnation. Throws InvariantViolation 910 when a member would go back to an earlier incarnation,
// and std::bad_alloc. Logarithmic in the members for messages and most ticks; linear for a Sync.
std::vector<Action> handle(State&, const Event&, TimePoint now);

// Tells whether a VM's daemon is counted as alive, suspects included. Never throws.
bool isAlive(const State&, std::string_view vm) noexcept;

// Returns the number of members counted as alive, this daemon included. Linear in the members.
std::size_t aliveCount(const State&) noexcept;

}
