#pragma once

#include "flamingowick/keys/KeyMachine.h"

// The event handlers of the key machine, called by handle(). Each appends its actions to the context.
namespace flamingowick::keys::detail {

// The state and the output that all handlers share.
struct Context {
    State& state;
    std::vector<Action>& actions;
    TimePoint now;
};

// Wall clock, evidence about owners, and policy: Evidence.cpp.

// Applies a reading of the wall clock, and detects from a jump against the steady clock that the machine was suspended.
void observeWallClock(Context&, const WallReading&);
// Compares a peer's wall clock with the local one. After a suspension the local wall clock may be behind until it is
// corrected; without this, takeovers would be dated too early and keys from before them would count as new.
void observePeerWallClock(Context&, std::int64_t peerWallMs);
// Returns the latest time, in milliseconds since the Unix epoch, that a key created before now may carry, or the
// maximum when the wall clock has not been read yet.
std::int64_t latestKeyTimeMs(const State&, TimePoint now) noexcept;
// Returns the current wall clock time in milliseconds since the Unix epoch. Never decreases.
std::int64_t wallClockNowMs(const State&, TimePoint now) noexcept;
bool isProvenDead(const State&, const DaemonId&);
OwnerEvidence ownerEvidenceFor(const State&, const DaemonId& owner, TimePoint now);
Duration clockBoundOf(const State&, const std::string& service);
// Returns the earliest key time, in milliseconds since the Unix epoch, whose entry the owner still retains.
std::int64_t oldestRetainedKeyTimeMs(const State&, const std::string& service, TimePoint now);
void applyPolicy(Context&, const PolicyChanged&);
// Returns the duration rounded up to whole seconds, at least one, for the Retry-After header.
std::chrono::seconds retryAfterSeconds(Duration) noexcept;

// Ownership of ranges: Ownership.cpp.

void claimRange(Context&, const RangeId&);
void handleRecordRead(Context&, const RecordRead&);
void handleRecordWritten(Context&, const RecordWritten&);
void handlePeerRecord(Context&, const RangeRecord&);
void handleDeathProven(Context&, const DaemonId&);
void retryOwnership(Context&);
// Activates the range that the record assigns to this daemon, if Policy::decideSuccession allows it.
void tryActivate(Context&, Holding&);

// Moving entries between owners: HandOver.cpp.

void beginHandOver(Context&, const RangeId&, const DaemonId& successor);
void handOverAllRanges(Context&, const DaemonId& keeper);
// Sends all entries and refusals of the range to its successor.
void sendEntries(Context&, const RangeId&, Holding&);
void handleEntriesReceived(Context&, const HandedRange&);
void handleEntriesAcknowledged(Context&, const EntriesAcknowledged&);
void handleHandedEntryFinished(Context&, const HandedEntryFinished&);
// Adds the received entries and refusals to the table and acknowledges them.
void installEntries(Context&, Holding&);
// Determines the outcome of the hand-over write from a record that was read from the store or just written.
void resolveHandOver(Context&, Holding&, const RangeRecord&);
// Retries the store read and the send to the successor at the retry interval, and ends a hand-over that is complete.
void continueHandOver(Context&, const RangeId&, Holding&);

// Requests at the owner: OwnerSide.cpp.

void handleKeyedRequest(Context&, const KeyedRequest&);
void handleDispatchFinished(Context&, const DispatchFinished&);
void handleCancelRequested(Context&, const RequestId&);
// Records the dispatcher's answer in an entry, or erases the entry when the request did not run.
void completeEntry(Context&, const RangeId&, KeyEntry&, const Answer&);
// Marks entries that have run for KeyLimits::longestFlight as unknown, and erases expired entries and refusals.
void expireOwnedEntries(Context&);

// Requests at the entry VM: EntrySide.cpp.

void handleCallerRequest(Context&, const Request&);
void handleCallerGone(Context&, const RequestId&);
void handleHeartbeat(Context&, const HeartbeatReceived&);
void updateOwnerView(Context&, const RangeRecord&);
void handleOwnerAnnounced(Context&, const RangeRecord&);
// Answers the attempts that wait for a record that could not be read or does not exist.
void handleOwnerLookupFailed(Context&, const RangeId&);
void handleForwardAnswered(Context&, const ForwardAnswered&);
void handleForwardRefused(Context&, const ForwardRefused&);
void handlePeerUnreachable(Context&, const RequestId&);
void expireAttempts(Context&);

}
