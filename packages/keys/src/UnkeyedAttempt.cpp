#include "flamingowick/keys/UnkeyedAttempt.h"

namespace flamingowick::keys {

namespace {

    UnkeyedPhase afterHeld(UnkeyedEvent event) noexcept
    {
        switch (event) {
        case UnkeyedEvent::SentToPeer:
            return UnkeyedPhase::WithPeer;
        case UnkeyedEvent::MayHaveLeft:
            return UnkeyedPhase::MayHaveRun;
        case UnkeyedEvent::GivenUp:
            return UnkeyedPhase::EndedNotRun;
        default:
            return UnkeyedPhase::Held;
        }
    }

    UnkeyedPhase afterWithPeer(UnkeyedEvent event) noexcept
    {
        switch (event) {
        case UnkeyedEvent::PeerConfirmedNotRun:
            return UnkeyedPhase::Held;
        case UnkeyedEvent::MayHaveLeft:
            return UnkeyedPhase::MayHaveRun;
        case UnkeyedEvent::Answered:
            return UnkeyedPhase::Answered;
        case UnkeyedEvent::ContactLost:
        case UnkeyedEvent::GivenUp:
            return UnkeyedPhase::EndedUnknown;
        default:
            return UnkeyedPhase::WithPeer;
        }
    }

    UnkeyedPhase afterMayHaveRun(UnkeyedEvent event) noexcept
    {
        switch (event) {
        case UnkeyedEvent::TargetConfirmedNotRun:
            return UnkeyedPhase::Held;
        case UnkeyedEvent::Answered:
            return UnkeyedPhase::Answered;
        case UnkeyedEvent::ContactLost:
        case UnkeyedEvent::GivenUp:
            return UnkeyedPhase::EndedUnknown;
        default:
            return UnkeyedPhase::MayHaveRun;
        }
    }

}

void apply(UnkeyedAttempt& attempt, UnkeyedEvent event, unsigned send) noexcept
{
    bool starts = attempt.phase == UnkeyedPhase::Held
        && (event == UnkeyedEvent::SentToPeer || event == UnkeyedEvent::MayHaveLeft);
    if (starts ? send <= attempt.send : send != attempt.send)
        return;
    attempt.send = send;
    if (attempt.phase == UnkeyedPhase::Held)
        attempt.phase = afterHeld(event);
    else if (attempt.phase == UnkeyedPhase::WithPeer)
        attempt.phase = afterWithPeer(event);
    else if (attempt.phase == UnkeyedPhase::MayHaveRun)
        attempt.phase = afterMayHaveRun(event);
}

Outcome tellableOutcome(const UnkeyedAttempt& attempt) noexcept
{
    switch (attempt.phase) {
    case UnkeyedPhase::Held:
    case UnkeyedPhase::EndedNotRun:
        return Outcome::NotRun;
    case UnkeyedPhase::Answered:
        return Outcome::Answered;
    case UnkeyedPhase::WithPeer:
    case UnkeyedPhase::MayHaveRun:
    case UnkeyedPhase::EndedUnknown:
        return Outcome::Unknown;
    }
    return Outcome::Unknown;
}

bool maySend(const UnkeyedAttempt& attempt) noexcept
{
    return attempt.phase == UnkeyedPhase::Held;
}

}
