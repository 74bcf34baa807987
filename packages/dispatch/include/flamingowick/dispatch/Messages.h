#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/Outcome.h"
#include "flamingowick/model/ServiceDocument.h"
#include "flamingowick/model/Target.h"
#include "flamingowick/quarantine/CrashLedger.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

// The events that a dispatcher handles and the actions that it returns. The daemon that owns the dispatcher sends the
// events and carries out the actions.
namespace flamingowick::dispatch {

// The metadata of a request. The body stays with the daemon.
struct Ticket {
    RequestId id;
    std::string caller;
    bool idempotent { true };
    TimePoint deadline;
    // From requestDigest().
    std::uint64_t digest { 0 };
    // Hash of caller and idempotency key; nullopt if the request has no idempotency key.
    std::optional<std::uint64_t> keyDigest;
    // Failure domain of the VM that received the request from the caller.
    std::string originDomain;
};

// How one attempt at one target ended.
enum class AttemptKind : std::uint8_t {
    // The target sent a complete answer.
    Answered,
    // The target shed the request with its documented signal, which states that it did not run the request.
    Shed,
    // Like Shed; the target also states that it is leaving.
    Drained,
    // No byte of the request was written to a connection.
    ConnectFailed,
    // The connection was lost after bytes of the request had been sent, or the answer was truncated.
    MaybeRun,
    // The target did not answer within the attempt's timeout.
    TimedOut,
    // The connection closed without an answer because the target's process ended.
    Crashed,
    // The attempt was cancelled by CancelAttempt.
    Cancelled,
};

struct AttemptResult {
    AttemptKind kind { AttemptKind::Answered };
    // HTTP status; 0 unless kind is Answered, Shed or Drained.
    unsigned status { 0 };
};

// Events.

struct Submit {
    Ticket ticket;
};

// The end of an attempt. The daemon reports the end of each started attempt exactly once, also after CancelAttempt;
// the attempt occupies its slot until then.
struct TargetAnswered {
    RequestId id;
    TargetAddress target;
    AttemptResult result;
};

// The caller closed its connection before the final answer.
struct Cancelled {
    RequestId id;
};

// A target list read from the object store; it may be stale. A list with a lower version than one already applied is
// ignored; version 0 means that the list is not versioned. The span must outlive the call.
struct TargetsChanged {
    std::span<const Target> targets;
    std::uint64_t version { 0 };
};

// The target is leaving, as it signalled itself or as a peer reported. start identifies the incarnation that is
// leaving, 0 if unknown. The event is ignored when a later incarnation is known.
struct TargetLeaving {
    TargetAddress address;
    std::uint64_t start { 0 };
};

// A new incarnation of the target serves at the address. start increases with each incarnation.
struct TargetStarted {
    TargetAddress address;
    std::uint64_t start { 0 };
};

// The health decision for a target. An ejected target gets no requests, except for the share trialShare (0 to 1) of the
// idempotent ones as trial requests.
struct TargetHealth {
    TargetAddress address;
    bool ejected { false };
    double trialShare { 0 };
};

// A share (0 to 1) of the service's RetryLimits::minPerSecond, valid from the time at which this daemon requested it.
struct PeerGrant {
    double share { 0 };
    TimePoint validUntil;
};

using quarantine::CrashReport;
using quarantine::QuarantineNotice;

struct UpdateDocument {
    ServiceDocument document;
};

struct Tick { };

using Event = std::variant<Submit, TargetAnswered, Cancelled, TargetsChanged, TargetLeaving, TargetStarted,
    TargetHealth, PeerGrant, CrashReport, QuarantineNotice, UpdateDocument, Tick>;

// Actions.

struct StartAttempt {
    RequestId id;
    TargetAddress target;
};

struct CancelAttempt {
    RequestId id;
    TargetAddress target;
};

enum class FinishReason : std::uint8_t {
    QueueFull,
    WaitTooLong,
    DeadlineExceeded,
    CallerCancelled,
    RequestQuarantined,
    AttemptsExhausted,
    RetryBudgetSpent,
    NotRepeatable,
};

// Returns the reason as written in logs and problem bodies. Never throws.
std::string_view toString(FinishReason) noexcept;

// A final answer that the fleet generates itself, instead of an answer of a target.
struct Finish {
    RequestId id;
    Outcome outcome { Outcome::Unknown };
    unsigned status { 0 };
    FinishReason reason { FinishReason::QueueFull };
    std::chrono::seconds retryAfter { 1 };
};

// Forwards the target's answer to the caller as the final answer.
struct PassAnswer {
    RequestId id;
};

enum class EvidenceKind : std::uint8_t {
    Ok,
    Error,
    // No answer in time, also if the attempt was then cancelled; latency is the duration of the attempt.
    Slow,
    PathFailure,
    // A crash that the request may have caused; it does not count as a failure of the target.
    CrashExcluded,
};

// One observation of a target, as input to the health decisions.
struct Evidence {
    TargetAddress target;
    EvidenceKind kind { EvidenceKind::Ok };
    Duration latency { 0 };
    // Failure domain of the dispatcher that made the observation.
    std::string seenFrom;
};

using Action = std::variant<StartAttempt, CancelAttempt, Finish, PassAnswer, Evidence, CrashReport, QuarantineNotice>;

}
