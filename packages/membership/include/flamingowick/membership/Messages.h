#pragma once

#include "flamingowick/model/Identifiers.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

// The messages of the membership protocol.
namespace flamingowick::membership {

struct MemberInfo {
    DaemonId id;
    std::string failureDomain;
    // The address at which the daemon accepts connections from peers, as "ip:port".
    std::string address;

    bool operator==(const MemberInfo&) const = default;
};

// The status of a member. Among reports of the same version, the higher status takes precedence.
enum class Status : std::uint8_t {
    Alive,
    // Did not answer a probe, and can refute the suspicion until its timeout.
    Suspect,
    // Did not refute the suspicion in time. Counts as alive again once it refutes this report.
    Unreachable,
    // Announced that it leaves. Final for its incarnation.
    Left,
};

// A report on one member. The report with the higher incarnation supersedes the other. Within an incarnation, Left is
// final; otherwise the higher version takes precedence, then the higher status.
struct Update {
    MemberInfo member;
    Status status { Status::Alive };
    // Raised only by the member itself, to refute a report.
    std::uint64_t version { 0 };
    // The VM whose probe of the member failed. Set only for suspects, and ignored by supersedes().
    std::string accuser;

    bool operator==(const Update&) const = default;
};

// Returns whether the candidate report replaces the current one. Both must be of the same VM. Never throws.
bool supersedes(const Update& current, const Update& candidate) noexcept;

// Requests an Ack from the receiver. The first update is the sender's report on itself.
struct Ping {
    std::uint64_t sequence { 0 };
    // The VM that requested this ping from the sender, or "" if the sender probes for itself.
    std::string onBehalfOf;
    std::vector<Update> updates;
};

struct Ack {
    std::uint64_t sequence { 0 };
    std::string onBehalfOf;
    std::vector<Update> updates;
};

// Requests that the receiver ping a VM and forward its Ack.
struct PingRequest {
    std::uint64_t sequence { 0 };
    std::string targetVm;
    std::vector<Update> updates;
};

// All reports that the sender has. The receiver replies with its own reports, unless this message is a reply.
struct Sync {
    bool reply { false };
    std::vector<Update> members;
};

using Message = std::variant<Ping, Ack, PingRequest, Sync>;

}
