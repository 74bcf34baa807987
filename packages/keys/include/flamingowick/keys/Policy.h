#pragma once

#include "flamingowick/keys/EntryTable.h"
#include "flamingowick/keys/RangeRecord.h"
#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Outcome.h"

#include <optional>

// The decisions that the safety of keyed requests depends on. Tests replace each by a faulty one to prove that the fault
// is detected.
namespace flamingowick::keys {

// What a daemon knows about the owner that a record names.
struct OwnerEvidence {
    // The owner's process has ended: a newer incarnation runs on its VM, or the platform no longer lists the VM and
    // no peer can reach it.
    bool provenDead { false };
    // The time since the owner's last heartbeat; absent if none was received.
    std::optional<Duration> silence;
};

// What the daemon that a record names knows about the range's previous owners.
struct SuccessionEvidence {
    // The range has had no previous owner.
    bool firstOwner { false };
    // The final entries of the immediately preceding epoch were received.
    bool entriesHere { false };
    // The previous owner's process is proven to have ended.
    bool previousDead { false };
};

enum class Succession : std::uint8_t {
    // Run keys at once: all entries of the previous owner were received, or there was no previous owner.
    ActNow,
    // Run keys, but answer unknown for every key that a predecessor may have seen, until the retention has passed.
    ActAfterWait,
    // Run no keys yet.
    Hold,
};

// Returns whether ownership may be taken from the owner that the record names. Only proof that its process has ended
// allows it: an owner that is merely silent may still run keys.
bool mayTakeOver(const RangeRecord&, const OwnerEvidence&) noexcept;

// Returns whether and how the daemon that the record names may start to run keys of the range.
Succession decideSuccession(const SuccessionEvidence&) noexcept;

// Returns the record that this daemon may act on after receiving a peer's copy. Always nothing: a daemon becomes owner
// only by an answer of the store.
std::optional<RangeRecord> recordFromPeerCopy(const DaemonId& self, const RangeRecord&);

// Returns whether a key that has an entry may be dispatched again. Always false.
bool mayDispatchAgain(const KeyEntry&) noexcept;

// Returns the outcome that an entry VM reports when the owner gave no answer. It is unknown, because an earlier attempt
// of the key may have reached the owner through another VM.
Outcome outcomeWithoutOwner() noexcept;

// Returns whether a request was accepted after the last refusal of its key had reached the caller. stamp is the owner's
// heartbeat time that the entry VM had received when it accepted the request; hold is the longest time that a refusal
// takes to reach the caller.
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
