#pragma once

#include "flamingowick/keys/KeyMachine.h"

// The parts of the key machine that handle() is made of. Each appends its actions.
namespace flamingowick::keys::detail {

// State and output that every part works on.
struct Context {
    State& state;
    std::vector<Action>& actions;
    TimePoint now;
};

// Wall clock and evidence, Evidence.cpp.

// Takes in a reading of the wall clock and notices a suspended machine.
void observeWall(Context&, const WallReading&);
// Compares a peer's wall clock with this one's. A machine that was suspended may be behind without
// knowing, and must not take its takeovers for older than they are.
void observePeerWall(Context&, std::int64_t peerWallMs);
// Returns the latest time that keys from before now may carry, or the maximum when it is not known.
std::int64_t latestKeyTimeMs(const State&, TimePoint now) noexcept;
// Returns the wall clock now, in milliseconds since the Unix epoch; never goes back.
std::int64_t wallNow(const State&, TimePoint now) noexcept;
bool isProvenDead(const State&, const DaemonId&);
OwnerEvidence evidenceOf(const State&, const DaemonId& owner, TimePoint now);
Duration clockBoundOf(const State&, const std::string& service);
// Returns the earliest time of a key that can't have been forgotten yet by its owner, in
// milliseconds since the Unix epoch.
std::int64_t oldestKeptMs(const State&, const std::string& service, TimePoint now);
void changePolicy(Context&, const PolicyChanged&);
// Returns the one-second ceiling of a duration, at least one second, for Retry-After.
std::chrono::seconds retryAfter(Duration) noexcept;

// The ownership of ranges, Ownership.cpp.

void claim(Context&, const RangeId&);
void recordRead(Context&, const RecordRead&);
void recordWritten(Context&, const RecordWritten&);
void peerCopy(Context&, const RangeRecord&);
void deathProven(Context&, const DaemonId&);
void retryOwnership(Context&);
// Acts on the record if the succession decision allows it.
void trySucceed(Context&, Holding&);

// Moving entries between owners, HandOver.cpp.

void handOver(Context&, const RangeId&, const DaemonId& successor);
void stop(Context&, const DaemonId& keeper);
// Sends what the range holds to its successor.
void sendEntries(Context&, const RangeId&, Holding&);
void entriesReceived(Context&, const HandedRange&);
void entriesAcknowledged(Context&, const EntriesAcknowledged&);
void handedEntryFinished(Context&, const HandedEntryFinished&);
// Takes received entries over into the table.
void installEntries(Context&, Holding&);
// Settles the outcome of the hand-over write by a record read from the store or just written.
void settleHandOver(Context&, Holding&, const RangeRecord&);
// Asks the store and the successor again when it is time, and ends a hand-over that is done.
void continueHandOver(Context&, const RangeId&, Holding&);

// The owner's word on requests, OwnerSide.cpp.

void keyedRequest(Context&, const KeyedRequest&);
void dispatchFinished(Context&, const DispatchFinished&);
void cancelRequested(Context&, const RequestId&);
// Settles an entry by the word of its dispatcher.
void settleEntry(Context&, const RangeId&, KeyEntry&, const Answer&);
// Turns running entries that are past their time into unknown ones and forgets the old.
void expireOwned(Context&);

// The entry VM's side, EntrySide.cpp.

void callerRequest(Context&, const Request&);
void callerGone(Context&, const RequestId&);
void heartbeatReceived(Context&, const HeartbeatReceived&);
void learnOwner(Context&, const RangeRecord&);
void ownerAnnounced(Context&, const RangeRecord&);
// Answers the attempts that waited for a record that could not be had or does not exist.
void noOwnerYet(Context&, const RangeId&);
void forwardAnswered(Context&, const ForwardAnswered&);
void forwardRefused(Context&, const ForwardRefused&);
void peerUnreachable(Context&, const RequestId&);
void expireAttempts(Context&);

}
