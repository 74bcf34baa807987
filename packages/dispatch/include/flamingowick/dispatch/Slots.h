#pragma once

#include "flamingowick/dispatch/Messages.h"

#include <map>

// The targets of one service, with their slots in use, warm-up, health, and whether they are leaving.
namespace flamingowick::dispatch {

struct TargetState {
    std::string failureDomain;
    // Whether the last list contained the target.
    bool listed { false };
    bool leaving { false };
    // Whether the last list stated that the target is leaving.
    bool listLeaving { false };
    // Whether listLeaving refers to an earlier incarnation. Reset once a list no longer states that the target is
    // leaving.
    bool listOutdated { false };
    bool ejected { false };
    double trialShare { 0 };
    // Number of trial requests that may start now; fractions accumulate up to 1.
    double trialCredit { 0 };
    // Number of attempts whose end has not been reported.
    unsigned inFlight { 0 };
    // Incremented whenever a new incarnation of the target is detected. Local to this dispatcher.
    std::uint64_t life { 0 };
    // The highest start number seen; 0 if none.
    std::uint64_t start { 0 };
    // When the last warm-up began, also after its end; nullopt if there was none, as for a target of the first list.
    std::optional<TimePoint> warmingSince;
};

struct TargetTable {
    std::map<TargetAddress, TargetState, std::less<>> byAddress;
    std::uint64_t listVersion { 0 };
    bool listSeen { false };
    // Addresses that were reported as leaving before any list contained them, with the time of the report.
    std::map<TargetAddress, TimePoint, std::less<>> earlyLeaving;
};

// Returns how many requests the target may run concurrently. An ejected target has one slot if it gets trial
// requests, else none; a target that is warming up has a share that grows linearly over TargetLimits::warmUp and is
// at least one slot; any other has all its slots. Never more than the connection limit. Never throws; constant time.
unsigned usableSlots(const TargetLimits&, const TargetState&, TimePoint now) noexcept;

// Returns whether the target may get new requests: it is listed and not leaving. Does not consider health or free
// slots. Never throws.
bool takesNewWork(const TargetState&) noexcept;

// Returns the sum of usableSlots() over all targets that take new work. Linear in the number of targets.
unsigned totalSlots(const TargetTable&, const TargetLimits&, TimePoint now) noexcept;

// Applies a target list. Targets of the first list start without warm-up; targets added later warm up. A target that is
// no longer listed is removed once it has no attempts in flight. A listed target stays leaving, even if a later list
// does not say so, until it is removed, listed anew or restarted. O(n log n); may throw std::bad_alloc.
void applyList(TargetTable&, const TargetsChanged&, TimePoint now);

// Marks the target as leaving. For an address that no list has contained yet, the mark is stored and applied when a
// list does.
void applyLeaving(TargetTable&, const TargetLeaving&, TimePoint now);

// If the start number is higher than any seen, resets the target to a new incarnation that warms up.
void applyStart(TargetTable&, const TargetStarted&, TimePoint now);

// Applies a health decision. A target that is no longer ejected warms up. Unknown addresses are ignored.
void applyHealth(TargetTable&, const TargetHealth&, TimePoint now);

// Occupies a slot for an attempt. Throws InvariantViolation if the target is unknown or has no free slot (SlotLimit),
// or is leaving (NoWorkForLeaving).
void occupySlot(TargetTable&, std::string_view address, const TargetLimits&, TimePoint now);

// Releases the slot of an attempt. Throws InvariantViolation (SlotLimit) if the target has no attempt in flight.
void releaseSlot(TargetTable&, std::string_view address);

// Adds trialShare to the trial credit of each ejected target; called for each attempt of an idempotent request.
// Linear in the number of targets.
void creditTrials(TargetTable&) noexcept;

}
