#pragma once

#include "flamingowick/configuration/Messages.h"
#include "flamingowick/dispatch/Messages.h"
#include "flamingowick/health/Events.h"
#include "flamingowick/keys/Messages.h"
#include "flamingowick/membership/Messages.h"
#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/Request.h"
#include "flamingowick/model/Target.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

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

// An owner's answer to a keyed request.
struct KeyedAnswer {
    RequestId id;
    Answer answer;
    // How long the owner had the request.
    Duration heldFor { 0 };
};

// The receiver of a keyed request made no entry for it.
struct KeyedRefusal {
    RequestId id;
    // Set when the sender owns the range under another epoch.
    std::optional<keys::RangeRecord> record;
};

// The caller of a keyed request has gone.
struct KeyedCancel {
    RequestId id;
};

// The successor has taken the entries of a range.
struct HandedRangeAcknowledged {
    keys::RangeId id;
    std::uint64_t epochEnded { 0 };
};

// A daemon's own clock, by which the age of keyed requests is bounded.
struct KeyHeartbeat {
    TimePoint stamp;
    // The sender's wall clock at the stamp, in milliseconds since the Unix epoch.
    std::int64_t wallMs { 0 };
};

// What a dispatcher has seen and decided about a service's targets.
struct HealthSummary {
    std::string service;
    health::PooledSummary summary;
};

struct ServiceCrashReport {
    std::string service;
    dispatch::CrashReport report;
};

struct ServiceQuarantine {
    std::string service;
    dispatch::QuarantineNotice notice;
};

// Word that a target is leaving, ahead of the list.
struct LeavingNotice {
    std::string service;
    dispatch::TargetLeaving leaving;
};

// The platform's list of a service's targets, as a watcher read it.
struct TargetListShare {
    std::string service;
    std::uint64_t version { 0 };
    std::vector<Target> targets;
};

using Message = std::variant<ForwardRequest, ForwardAnswer, ForwardCancel, membership::Message,
    keys::KeyedRequest, KeyedAnswer, KeyedRefusal, KeyedCancel, keys::HandedRange, HandedRangeAcknowledged,
    keys::HandedEntryFinished, keys::OwnerAnnounced, KeyHeartbeat,
    HealthSummary, ServiceCrashReport, ServiceQuarantine, LeavingNotice, TargetListShare,
    configuration::PeerMessage>;

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
