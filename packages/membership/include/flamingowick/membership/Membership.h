#pragma once

#include "flamingowick/membership/Messages.h"
#include "flamingowick/model/Clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Tracks the members of the fleet by SWIM, a gossip protocol, with the local health score of Lifeguard. Each daemon
// pings one member per period. When no answer arrives, it requests indirect pings through other members. When these
// fail too, it suspects the member, which can refute the suspicion until a timeout. Deterministic, without I/O.
//
// Sources: Das, Gupta, Motivala: SWIM (2002); Dadgar, Phillips, Currey: Lifeguard (2018).
namespace flamingowick::membership {

struct Timing {
    Duration period { std::chrono::milliseconds(300) };
    // Time from a ping to the indirect pings, and from then until the member is suspected.
    Duration pingTimeout { std::chrono::milliseconds(250) };
    Duration indirectTimeout { std::chrono::milliseconds(500) };
    // Time in which a suspect can refute the suspicion. It shrinks from the maximum to the minimum as other members
    // confirm the suspicion.
    Duration suspicionMax { std::chrono::seconds(6) };
    Duration suspicionMin { std::chrono::seconds(3) };
    // Interval between full exchanges with one random member, which deliver updates that gossip lost. It doubles from
    // the first value up to the second, so that a daemon that has just started is up to date quickly.
    Duration firstSync { std::chrono::milliseconds(500) };
    Duration syncPeriod { std::chrono::seconds(10) };
    // Interval between requests to the seeds while no other member counts as alive.
    Duration joinPeriod { std::chrono::milliseconds(250) };
    // Retention of the records of members that are unreachable or have left, so that outdated gossip does not add
    // them again.
    Duration memory { std::chrono::minutes(10) };
    // A longer time between ticks means that this daemon was paused, so that missing answers are no evidence against
    // members.
    Duration pauseLimit { std::chrono::milliseconds(1000) };
};

struct Limits {
    unsigned indirectPings { 3 };
    std::size_t updatesPerMessage { 12 };
    // An update is sent this many times, multiplied by the binary logarithm of the number of members.
    unsigned retransmitFactor { 3 };
    // Upper bound of the local health score. Probe timeouts are multiplied by the score plus one, since a daemon that
    // is slow itself receives answers late.
    unsigned maxLocalHealth { 8 };
    // Number of confirmations by other members at which the suspicion timeout reaches its minimum.
    unsigned confirmations { 3 };
};

// Events.

struct MessageReceived {
    MemberInfo from;
    Message message;
};
// The connection to the address was lost. The member at this address is pinged immediately.
struct LinkLost {
    std::string address;
};
// This daemon shuts down and announces that it leaves.
struct Leave { };
// Expected at least every 100 ms.
struct Tick { };

using Event = std::variant<MessageReceived, LinkLost, Leave, Tick>;

// Actions.

struct Send {
    std::string address;
    // The incarnation of the receiver that the message is for, or 0 for any.
    Incarnation incarnation { 0 };
    Message message;
};
struct Joined {
    MemberInfo member;
};
// The member no longer counts as alive. It can rejoin in the same incarnation, unless it has left.
struct Lost {
    MemberInfo member;
    // The member announced that it leaves.
    bool hasLeft { false };
};
// The member announced that it leaves.
struct HasLeft {
    MemberInfo member;
};
// A report of a newer incarnation of the VM was received, which proves that the process of the earlier one has ended.
struct Restarted {
    MemberInfo earlier;
};

using Action = std::variant<Send, Joined, Lost, HasLeft, Restarted>;

struct Record {
    Update update;
    // When the update was applied. For a suspect, restarted after a pause of this daemon.
    TimePoint since;
    // The VMs whose probes of the member failed. Used only while the member is suspected.
    std::set<std::string> accusers;
};

// An update that is still to be sent with further messages.
struct Rumour {
    Update update;
    unsigned sent { 0 };
};

// The probe of a member that has not answered yet.
struct Probe {
    std::uint64_t sequence { 0 };
    std::string vm;
    TimePoint startedAt;
    bool indirect { false };
};

// A ping sent on behalf of another member, whose Ack is forwarded.
struct Relay {
    std::uint64_t theirSequence { 0 };
    std::string forVm;
    TimePoint startedAt;
};

// Decisions of the protocol that mutation tests replace by faulty ones.
struct Policy {
    // Returns whether the candidate report replaces the current one.
    bool (*supersedes)(const Update& current, const Update& candidate) noexcept = membership::supersedes;
    // Returns whether a daemon refutes a report on itself. If null, it always does.
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

// Creates the state of a daemon that knows only itself and the addresses of its seeds.
State makeState(const MemberInfo& self, std::vector<std::string> seeds, std::uint64_t seed, TimePoint now);

// Handles one event and returns the actions to execute, in order. Joined and Lost alternate for each incarnation.
// Throws InvariantViolation 910 if a member would go back to an earlier incarnation, and std::bad_alloc. The cost is
// logarithmic in the number of members for messages and most ticks, and linear for a Sync.
std::vector<Action> handle(State&, const Event&, TimePoint now);

// Returns whether the daemon of a VM counts as alive, as suspects do. Never throws.
bool isAlive(const State&, std::string_view vm) noexcept;

// Returns the number of members that count as alive, including this daemon. Linear in the number of members. Never
// throws.
std::size_t aliveCount(const State&) noexcept;

}
