#pragma once

#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/Request.h"

#include <cstdint>
#include <string>
#include <variant>

// The messages that daemons send to each other.
namespace flamingowick::peers {

// An entry VM asks a dispatcher to run a request. Deadlines travel as the time that is left.
struct ForwardRequest {
    Request request;
    // Counts the dispatchers that the entry has tried for this request, from 1.
    std::uint32_t attempt { 1 };
    std::string originDomain;
};

struct ForwardAnswer {
    RequestId id;
    std::uint32_t attempt { 1 };
    Answer answer;
};

// The caller of a forwarded request has gone. The dispatcher still answers.
struct ForwardCancel {
    RequestId id;
    std::uint32_t attempt { 1 };
};

// A sign of life, sent to every known member.
struct Heartbeat {
    std::string failureDomain;
};

using Message = std::variant<ForwardRequest, ForwardAnswer, ForwardCancel, Heartbeat>;

// A message with its sender.
struct Envelope {
    DaemonId from;
    // Where the sender listens for peers, as "ip:port".
    std::string fromAddress;
    // The life of the receiver that is meant; 0 for any.
    Incarnation toIncarnation { 0 };
    // The sender's wall clock in milliseconds since the Unix epoch.
    std::int64_t sentAtWallMs { 0 };
    Message message;
};

}
