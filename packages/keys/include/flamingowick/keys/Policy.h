#pragma once

#include "flamingowick/keys/EntryTable.h"
#include "flamingowick/keys/RangeRecord.h"
#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Outcome.h"

#include <optional>

// The decisions on which the safety of keyed requests rests, each replaceable by a test.
namespace flamingowick::keys {

// What a daemon knows of the owner that a record names.
struct OwnerEvidence {
    // Its process is known to be gone: a newer incarnation runs on its VM, or the platform's list no
    // longer shows the VM and no peer reaches it.
    bool provenDead { false };
    // How long nothing was heard of it, when it was ever heard.
    std::optional<Duration> silence;
};

// What the daemon that a record names has of the range's past.
struct SuccessionEvidence {
    // The range never had another owner.
    bool firstOwner { false };
    // The final entries of exactly the epoch before are here.
    bool entriesHere { false };
    // The previous owner's process is known to be gone.
    bool previousDead { false };
};

enum class Succession : std::uint8_t {
    // Act at once, with all entries or with none to have.
    ActNow,
    // Act, but call every key unknown that a predecessor may have seen, for the retention.
    ActAfterWait,
    // Do not act yet.
    Hold,
};

// Whether ownership may be taken from the owner that the record names.
bool mayTakeOver(const RangeRecord&, const OwnerEvidence&) noexcept;

// Whether and how the daemon that the record names may act on it.
Succession decideSuccession(const SuccessionEvidence&) noexcept;

// The record that this daemon may act on after a peer has told it one. Nothing: only the store's own
// answer makes a daemon the owner.
std::optional<RangeRecord> recordFromPeerCopy(const DaemonId& self, const RangeRecord&);

// Whether a key that has an entry may be dispatched again. Never.
bool mayDispatchAgain(const KeyEntry&) noexcept;

// What an entry VM says of a keyed request whose owner gave no answer. An earlier attempt may have
// come through another VM, so it is unknown.
Outcome outcomeWithoutOwner() noexcept;

// Whether a request whose entry VM had heard the stamp when it accepted it was sent after the last
// refusal of its key had been told.
bool acceptedAfterRefusal(TimePoint stamp, TimePoint refusedAt, Duration hold) noexcept;

struct Policy {
    bool (*mayTakeOver)(const RangeRecord&, const OwnerEvidence&) noexcept = keys::mayTakeOver;
    Succession (*decideSuccession)(const SuccessionEvidence&) noexcept = keys::decideSuccession;
    std::optional<RangeRecord> (*recordFromPeerCopy)(const DaemonId&, const RangeRecord&) = keys::recordFromPeerCopy;
    bool (*mayDispatchAgain)(const KeyEntry&) noexcept = keys::mayDispatchAgain;
    AcceptedAfterRefusal acceptedAfterRefusal = keys::acceptedAfterRefusal;
    Outcome (*outcomeWithoutOwner)() noexcept = keys::outcomeWithoutOwner;
};

}
