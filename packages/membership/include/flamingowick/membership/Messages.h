#pragma once

#include "flamingowick/model/Identifiers.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// What daemons tell each other about who is a member.
namespace flamingowick::membership {

struct MemberInfo {
    DaemonId id;
    std::string failureDomain;
    // Where the daemon listens for peers, as "ip:port".
    std::string address;

    bool operator==(const MemberInfo&) const = default;
};

// What is held of a member, in order of precedence among reports of the same version.
enum class Status : std::uint8_t {
    Alive,
    // Didn't answer, and has a while to refute that.
    Suspect,
    // Refuted nothing in time. Comes back by refuting.
    Unreachable,
    // Said itself that it goes. Final for its incarnation.
    Left,
};

// A report on one member. Of two reports the one with the higher incarnation holds, then the one
// with the higher version, then the one with the higher status.
struct Update {
    MemberInfo member;
    Status status { Status::Alive };
    // Raised by the member itself alone, to refute a report.
    std::uint64_t version { 0 };
    // The VM whose own probe failed; set for suspects alone and no part of the precedence.
    std::string accuser;

    bool operator==(const Update&) const = default;
};

// Returns whether offered replaces held. Both must be of the same VM. Never throws.
bool supersedes(const Update& held, const Update& offered) noexcept;

// Asks the receiver for an Ack. The first update is the sender's report on itself.
struct Ping {
    std::uint64_t sequence { 0 };
    // The VM that asked the sender for this ping, "" for the sender itself.
    std::string onBehalfOf;
    std::vector<Update> updates;
};

struct Ack {
    std::uint64_t sequence { 0 };
    std::string onBehalfOf;
    std::vector<Update> updates;
};

// Asks the receiver to ping a VM and to pass its Ack on.
struct PingRequest {
    std::uint64_t sequence { 0 };
    std::string targetVm;
    std::vector<Update> updates;
};

// All that the sender holds; answered in kind unless it is an answer.
struct Sync {
    bool reply { false };
    std::vector<Update> members;
};

using Message = std::variant<Ping, Ack, PingRequest, Sync>;

}
