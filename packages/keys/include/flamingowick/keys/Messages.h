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

// What the key machine is told and what it asks for.
namespace flamingowick::keys {

// A reading of the wall clock against the steady clock. The reader may be paused in between, so the
// steady clock is read before and after.
struct WallReading {
    // Milliseconds since the Unix epoch.
    std::int64_t wallMs { 0 };
    // The steady clock just before.
    TimePoint readAt;
    // How far the steady clock had moved just after. Readings that took long are not used.
    Duration width { 0 };
};

// A keyed request on its way from an entry VM to an owner.
struct KeyedRequest {
    Request request;
    RangeId range;
    // The ownership that the entry believes in.
    std::uint64_t epoch { 0 };
    DaemonId owner;
    // A heartbeat time of the owner, in the owner's clock, that the entry had heard before it
    // accepted the request. The owner overestimates the request's age by it.
    std::optional<TimePoint> ownerStamp;
    // The receiver's clocks at arrival, set on receipt.
    WallReading wall;
};

// One entry as it moves between daemons; times are relative, since clocks differ.
struct HandedEntry {
    std::string key;
    std::uint64_t digest { 0 };
    std::string caller;
    EntryState state { EntryState::Unknown };
    RequestId runner;
    std::optional<Answer> answer;
    Duration remaining { 0 };
};

// All that a former owner knows of a range. It has stopped for good before it sends this.
struct HandedRange {
    RangeId id;
    DaemonId from;
    // The epoch in which the sender was owner.
    std::uint64_t epochEnded { 0 };
    std::vector<HandedEntry> entries;
    std::vector<std::uint64_t> refusals;
    bool refusalFloor { false };
    // What is left of the sender's own wait after a takeover; 0 for none.
    Duration waitRemaining { 0 };
    // How long ago by the sender's clock a key must have been made to be possibly seen before.
    std::optional<Duration> takeoverAge;
    // How long the sender keeps entries.
    Duration retention { 0 };
    // Keys with an earlier time may have been forgotten by the sender.
    std::int64_t oldestUsableMs { 0 };
};

// Events for the entry VM's side.

// A caller's non-idempotent request with a key has come in.
struct CallerRequest {
    Request request;
};
struct CallerGone {
    RequestId id;
};
// A daemon's heartbeat with its own steady and wall clocks' times.
struct HeartbeatReceived {
    DaemonId from;
    TimePoint stamp;
    std::int64_t wallMs { 0 };
};
// A peer's copy of a record: a hint where to send requests, nothing more.
struct OwnerAnnounced {
    RangeRecord record;
};
struct ForwardAnswered {
    RequestId id;
    Answer answer;
    // How long the request was with the owner, at most.
    Duration heldFor { 0 };
};
// An owner made no entry. record is set when the sender owns the range under another epoch.
struct ForwardRefused {
    RequestId id;
    std::optional<RangeRecord> record;
};
// The transport could not hand a forwarded request to the peer.
struct PeerUnreachable {
    RequestId id;
};

// Events for the owner's side.

// The dispatcher's word on a dispatched request. The outcome NotRun means that no target connection
// has seen or will see it, cancellation confirmed.
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
    // No answer: the write may have been applied or may yet be.
    UnknownOutcome,
};
struct RecordWritten {
    RangeId id;
    std::string changeId;
    WriteResult result { WriteResult::UnknownOutcome };
    // The new version, when applied.
    std::string resourceVersion;
};
// This daemon is the placement's choice for the range.
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
// A request that was in flight when its range was handed over has ended.
struct HandedEntryFinished {
    RangeId id;
    std::uint64_t epochEnded { 0 };
    std::string key;
    RequestId runner;
    Answer answer;
};
// The process of this incarnation, and of all before it on the VM, is gone for certain.
struct DeathProven {
    DaemonId daemon;
};
struct PolicyChanged {
    std::string service;
    KeyPolicy policy;
};
// Comes several times a second.
struct Tick {
    WallReading wall;
};
// The daemon shuts down while ranges can't be handed over: their entries go to the keeper.
struct Stopping {
    DaemonId keeper;
};

using Event = std::variant<CallerRequest, CallerGone, HeartbeatReceived, OwnerAnnounced, ForwardAnswered,
    ForwardRefused, PeerUnreachable, KeyedRequest, DispatchFinished, CancelRequested, RecordRead,
    RecordWritten, ClaimWanted, HandOverWanted, EntriesReceived, EntriesAcknowledged, HandedEntryFinished,
    DeathProven, PolicyChanged, Tick, Stopping>;

// Actions of the entry VM's side.

// An answer that says not-run is true up to tellBy, in this daemon's clock. Where it could not be
// written to the caller by then, otherwise must be written in its place.
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

// Actions of the owner's side.

// Hand the request to the dispatcher of its target group. Emitted once in the life of a key.
struct Dispatch {
    Request request;
};
struct CancelDispatch {
    RequestId id;
};
// Send the answer to the entry VM that the request came from, id.origin.
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
// Write under the condition that the store's version is still expectedVersion; empty means that the
// record must not exist.
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
// Tell the peers this daemon's own clocks.
struct SendHeartbeat {
    TimePoint stamp;
    std::int64_t wallMs { 0 };
};

using Action = std::variant<AnswerCaller, Forward, ForwardCancel, Dispatch, CancelDispatch, AnswerRequest,
    RefuseRequest, ReadRecord, WriteRecord, SendEntries, AcknowledgeEntries, SendEntryFinished, Announce,
    SendHeartbeat>;

}
