#pragma once

#include "flamingowick/model/Outcome.h"

#include <cstdint>

// Tracks which outcome may be reported for a non-idempotent request without a key. Entry and dispatcher each keep one
// tracker per request.
namespace flamingowick::keys {

enum class UnkeyedEvent : std::uint8_t {
    // The request was sent to the next daemon on its path.
    SentToPeer,
    // That daemon confirms that the request was not and will not be sent to a target.
    PeerConfirmedNotRun,
    // Cancellation was requested. Proves nothing until it is confirmed.
    CancelSent,
    // A byte of the request may have been written to a target connection.
    MayHaveLeft,
    // The target confirms by its documented signal that it did not run the request.
    TargetConfirmedNotRun,
    // The connection broke, or the peer failed, before an answer.
    ContactLost,
    // The complete answer of a target was received.
    Answered,
    // The request is abandoned; nothing more is sent.
    GivenUp,
};

enum class UnkeyedPhase : std::uint8_t {
    // No send is outstanding: the request was never sent, or its last receiver confirmed that it did not run.
    Held,
    WithPeer,
    MayHaveRun,
    Answered,
    EndedNotRun,
    EndedUnknown,
};

struct UnkeyedAttempt {
    UnkeyedPhase phase { UnkeyedPhase::Held };
    // The number of the latest send, from 1; 0 before the first.
    unsigned send { 0 };
};

// Applies an event of the send with the given number. The caller numbers sends in increasing order and starts each
// with SentToPeer or MayHaveLeft. Late events of earlier sends, and events after a final phase, are ignored. Never
// throws.
void apply(UnkeyedAttempt&, UnkeyedEvent, unsigned send) noexcept;

// Returns the outcome that may be reported if the request were answered now. Never throws.
Outcome tellableOutcome(const UnkeyedAttempt&) noexcept;

// Returns whether the request may be sent, for the first time or as a retry. Never throws.
bool maySend(const UnkeyedAttempt&) noexcept;

}
