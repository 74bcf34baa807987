#pragma once

#include "flamingowick/keys/EntryTable.h"
#include "flamingowick/keys/RangeRecord.h"
#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Request.h"
#include "flamingowick/model/ServiceDocument.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The events that the key machine handles and the actions that it returns.
namespace flamingowick::keys {

// A reading of the wall clock together with the steady clock. The thread may be paused between the two, so the steady
// clock is read before and after.
struct WallReading {
    // Milliseconds since the Unix epoch.
    std::int64_t wallMs { 0 };
    // The steady clock just before the wall clock was read.
    TimePoint readAt;
    // How far the steady clock had advanced just after. Readings wider than KeyLimits::maxReadingWidth are ignored.
    Duration width { 0 };
};

// A keyed request that an entry VM forwards to an owner.
struct KeyedRequest {
    Request request;
    RangeId range;
    // The epoch and the owner in the entry's latest copy of the record.
    std::uint64_t epoch { 0 };
    DaemonId owner;
    // A heartbeat time in the owner's clock that the entry had received before it accepted the request. It gives
    // the owner an upper bound of the request's age.
    std::optional<TimePoint> ownerStamp;
    // The receiver's clocks at arrival, set on receipt.
    WallReading wall;
};

// One entry as it is sent between daemons. Times are relative, because steady clocks differ between machines.
struct HandedEntry {
    std::string key;
    std::uint64_t digest { 0 };
    std::string caller;
    EntryState state { EntryState::Unknown };
    RequestId runner;
    std::optional<Answer> answer;
    Duration remaining { 0 };
};

// All that a previous owner knows of a range. It no longer runs keys of the range when it sends this.
struct HandedRange {
    RangeId id;
    DaemonId from;
    // The epoch in which the sender was owner.
    std::uint64_t epochEnded { 0 };
    std::vector<HandedEntry> entries;
    std::vector<std::uint64_t> refusals;
    bool refusalFloor { false };
    // The rest of the period after a takeover in which the sender answers unknown for keys that a predecessor may have
    // seen; 0 for none.
    Duration waitRemaining { 0 };
    // The time since the last takeover, by the sender's clock: keys at least this old may have been seen by a
    // predecessor. Absent when it is not known.
    std::optional<Duration> takeoverAge;
    // How long the sender retains entries.
    Duration retention { 0 };
    // The sender may have erased entries of keys with an earlier time, in milliseconds since the Unix epoch.
    std::int64_t oldestUsableMs { 0 };
};

// Events at the entry VM.

// A caller's non-idempotent request with a key was received.
struct CallerRequest {
    Request request;
};
struct CallerGone {
    RequestId id;
};
// A daemon's heartbeat, with the times of its own steady and wall clocks.
struct HeartbeatReceived {
    DaemonId from;
    TimePoint stamp;
    std::int64_t wallMs { 0 };
};
// A peer's copy of a record. It only hints where to send requests; ownership is decided by the store's record.
struct OwnerAnnounced {
    RangeRecord record;
};
struct ForwardAnswered {
    RequestId id;
    Answer answer;
    // An upper bound of the time that the request spent at the owner.
    Duration heldFor { 0 };
};
// The owner refused the request and made no entry. record is the sender's record of the range, set
// if the sender is active in it or has handed it over; it is not always newer than the entry's copy.
struct ForwardRefused {
    RequestId id;
    std::optional<RangeRecord> record;
};
// The transport could not deliver a forwarded request to the peer.
struct PeerUnreachable {
    RequestId id;
};

// Events at the owner.

// The dispatcher's final answer for a request. The outcome NotRun means that no byte of it was or will be written to a
// target connection; a cancellation is confirmed.
struct DispatchFinished {
    RequestId id;
    Answer answer;
};
struct CancelRequested {
    RequestId id;
};
enum class ReadResult : std::uint8_t {
    Found,
    Absent,
    Failed,
};
struct RecordRead {
    RangeId id;
    ReadResult result { ReadResult::Failed };
    // Meaningful when found.
    RangeRecord record;
};
enum class WriteResult : std::uint8_t {
    Applied,
    Conflict,
    // No answer: the write may have been applied, or may still be applied later.
    UnknownOutcome,
};
struct RecordWritten {
    RangeId id;
    std::string changeId;
    WriteResult result { WriteResult::UnknownOutcome };
    // The new version, when applied.
    std::string resourceVersion;
};
// The placement assigns the range to this daemon.
struct ClaimWanted {
    RangeId id;
};
struct HandOverWanted {
    RangeId id;
    DaemonId successor;
};
struct EntriesReceived {
    HandedRange handed;
};
struct EntriesAcknowledged {
    RangeId id;
    std::uint64_t epochEnded { 0 };
};
// A request that was in flight when its range was handed over has finished.
struct HandedEntryFinished {
    RangeId id;
    std::uint64_t epochEnded { 0 };
    std::string key;
    RequestId runner;
    Answer answer;
};
// The process of this incarnation, and those of all earlier ones on the VM, are proven to have ended.
struct DeathProven {
    DaemonId daemon;
};
struct PolicyChanged {
    std::string service;
    KeyPolicy policy;
};
// Must be delivered several times a second: all timeouts and retries are checked on ticks.
struct Tick {
    WallReading wall;
};
// The daemon is shutting down with ranges that could not be handed over yet. All of them are handed over to the keeper.
struct Stopping {
    DaemonId keeper;
};

using Event = std::variant<CallerRequest, CallerGone, HeartbeatReceived, OwnerAnnounced, ForwardAnswered,
    ForwardRefused, PeerUnreachable, KeyedRequest, DispatchFinished, CancelRequested, RecordRead,
    RecordWritten, ClaimWanted, HandOverWanted, EntriesReceived, EntriesAcknowledged, HandedEntryFinished,
    DeathProven, PolicyChanged, Tick, Stopping>;

// Actions of the entry VM.

// An answer with the outcome not-run is valid until tellBy, in this daemon's steady clock. If it was not written to the
// caller by then, `otherwise` must be written instead, because a later attempt of the key may have run.
struct AnswerCaller {
    RequestId id;
    Answer answer;
    std::optional<TimePoint> tellBy;
    std::optional<Answer> otherwise;
};
struct Forward {
    KeyedRequest message;
};
struct ForwardCancel {
    DaemonId to;
    RequestId id;
};

// Actions of the owner.

// Pass the request to the dispatcher of its target group. Not emitted again for a key that may have run.
struct Dispatch {
    Request request;
};
struct CancelDispatch {
    RequestId id;
};
// Send the answer to id.origin, the entry VM that forwarded the request.
struct AnswerRequest {
    RequestId id;
    Answer answer;
    Duration heldFor { 0 };
};
struct RefuseRequest {
    RequestId id;
    std::optional<RangeRecord> record;
};
struct ReadRecord {
    RangeId id;
};
// Write the record on condition that the store's version is still expectedVersion; empty requires that the record does
// not exist.
struct WriteRecord {
    std::string expectedVersion;
    RangeRecord record;
};
struct SendEntries {
    DaemonId to;
    HandedRange handed;
};
struct AcknowledgeEntries {
    DaemonId to;
    RangeId id;
    std::uint64_t epochEnded { 0 };
};
struct SendEntryFinished {
    DaemonId to;
    HandedEntryFinished message;
};
struct Announce {
    RangeRecord record;
};
// Send the times of this daemon's clocks to all peers.
struct SendHeartbeat {
    TimePoint stamp;
    std::int64_t wallMs { 0 };
};

using Action = std::variant<AnswerCaller, Forward, ForwardCancel, Dispatch, CancelDispatch, AnswerRequest,
    RefuseRequest, ReadRecord, WriteRecord, SendEntries, AcknowledgeEntries, SendEntryFinished, Announce,
    SendHeartbeat>;

}
