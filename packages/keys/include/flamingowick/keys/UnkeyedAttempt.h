#pragma once

#include "flamingowick/model/Outcome.h"

#include <cstdint>

// What may be told of a non-idempotent request without a key. Entry and dispatcher each keep one.
namespace flamingowick::keys {

enum class UnkeyedEvent : std::uint8_t {
    // The request was sent to the next daemon on its way.
    SentToPeer,
    // That daemon states that nothing was and nothing will be handed to a target.
    PeerConfirmedNotRun,
    // A cancellation was asked for. Tells nothing until it is confirmed.
    CancelSent,
    // A byte of the request may have been handed to a target connection.
    MayHaveLeft,
    // The target states by its documented signal that it did not run the request.
    TargetConfirmedNotRun,
    // The connection or the peer went away without a word.
    ContactLost,
    // The whole answer of a target is here.
    Answered,
    // The request is given up; nothing is sent any more.
    GivenUp,
};

enum class UnkeyedPhase : std::uint8_t {
    // Nothing is out: the request has left nowhere, or whoever had it has confirmed not-run.
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

// Takes in an event of the send with the given number. Sends are numbered upwards by the user, who
// starts one with SentToPeer or MayHaveLeft. Late events of earlier sends, and events that contradict
// a final phase, change nothing. Never throws.
void apply(UnkeyedAttempt&, UnkeyedEvent, unsigned send) noexcept;

// Returns what may be told if the request were answered now. Never throws.
Outcome tellableOutcome(const UnkeyedAttempt&) noexcept;

// Tells whether the request may be sent, for the first time or again. Never throws.
bool maySend(const UnkeyedAttempt&) noexcept;

}
