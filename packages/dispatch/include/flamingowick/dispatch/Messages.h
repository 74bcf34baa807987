#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/Outcome.h"
#include "flamingowick/model/ServiceDocument.h"
#include "flamingowick/model/Target.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

// What a dispatcher is told and what it asks for. Its owner, the daemon, carries out each action.
namespace flamingowick::dispatch {

// A request without its body, which stays with the daemon.
struct Ticket {
    RequestId id;
    std::string caller;
    bool idempotent { true };
    TimePoint deadline;
    // From requestDigest().
    std::uint64_t digest { 0 };
    // A hash over caller and idempotency key; none when the request carries no key.
    std::optional<std::uint64_t> keyDigest;
    // Failure domain of the VM that the caller reached.
    std::string originDomain;
};

// How one attempt at one target ended.
enum class AttemptKind : std::uint8_t {
    // The target gave a whole answer.
    Answered,
    // The target refused by its documented signal, which states that it did not run the request.
    Shed,
    // As Shed, and the target states that it is leaving.
    Drained,
    // No byte of the request was handed to a connection.
    ConnectFailed,
    // The connection was lost after bytes had left, or the answer was cut short.
    MaybeRun,
    // The target did not answer within the attempt's time.
    TimedOut,
    // The connection closed without an answer and the target's process went with it.
    Crashed,
    // The attempt ended because CancelAttempt asked for it.
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

// The end of an attempt. The daemon reports each started attempt exactly once, also after it was
// cancelled: the slot is in use until then.
struct TargetAnswered {
    RequestId id;
    TargetAddress target;
    AttemptResult result;
};

// The caller hung up.
struct Cancelled {
    RequestId id;
};

// A read of the platform's lagging list. Reads of a lower version than one already seen are
// ignored; version 0 means that the list has none. The span must outlive the call.
struct TargetsChanged {
    std::span<const Target> targets;
    std::uint64_t version { 0 };
};

// The target's own drain signal, or a peer's word of it. start tells which life of the target is
// meant, 0 when unknown; word of an earlier life than the one known is ignored.
struct TargetLeaving {
    TargetAddress address;
    std::uint64_t start { 0 };
};

// Proof that a new life of the target serves at the address. start grows with each life.
struct TargetStarted {
    TargetAddress address;
    std::uint64_t start { 0 };
};

// The health decision for a target. An ejected target takes no work, but for trialShare (0 to 1) of
// the idempotent requests.
struct TargetHealth {
    TargetAddress address;
    bool ejected { false };
    double trialShare { 0 };
};

// A share (0 to 1) of the service's RetryLimits::minPerSecond, valid from the time at which this
// daemon asked for it.
struct PeerGrant {
    double share { 0 };
    TimePoint validUntil;
};

// A possible crash of a target by a request. Sent to peers and received from them; a report that
// arrives twice counts once.
struct CrashReport {
    std::uint64_t fingerprint { 0 };
    TargetAddress target;
};

// A request fingerprint that is refused for a while. Sent to peers and received from them.
struct QuarantineNotice {
    std::uint64_t fingerprint { 0 };
    Duration remaining { 0 };
};

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

// Returns the reason as logs and problem bodies show it. Never throws.
std::string_view toString(FinishReason) noexcept;

// The fleet's own final answer to a request.
struct Finish {
    RequestId id;
    Outcome outcome { Outcome::Unknown };
    unsigned status { 0 };
    FinishReason reason { FinishReason::QueueFull };
    std::chrono::seconds retryAfter { 1 };
};

// The target's answer is the final answer.
struct PassAnswer {
    RequestId id;
};

enum class EvidenceKind : std::uint8_t {
    Ok,
    Error,
    // No answer in time, also when the attempt was then cancelled; latency tells how long it lasted.
    Slow,
    PathFailure,
    // A possible crash by a request, which is not held against the target.
    CrashExcluded,
};

// One observation for the health decisions.
struct Evidence {
    TargetAddress target;
    EvidenceKind kind { EvidenceKind::Ok };
    Duration latency { 0 };
    // Failure domain of the dispatcher that saw it.
    std::string seenFrom;
};

using Action = std::variant<StartAttempt, CancelAttempt, Finish, PassAnswer, Evidence, CrashReport, QuarantineNotice>;

}
