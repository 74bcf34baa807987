#pragma once

#include "flamingowick/dispatch/Messages.h"

#include <map>

// The targets of one service: slots in use, warm-up, leaving and health.
namespace flamingowick::dispatch {

struct TargetState {
    std::string failureDomain;
    // The last list showed it.
    bool listed { false };
    bool leaving { false };
    // What the last list said of leaving.
    bool listLeaving { false };
    // The list says leaving of an earlier life, until it says otherwise.
    bool listOutdated { false };
    bool ejected { false };
    double trialShare { 0 };
    // Trial requests that may start now; at most 1.
    double trialCredit { 0 };
    // Attempts not yet reported as ended.
    unsigned inFlight { 0 };
    // Grows whenever the target turns out to be a fresh one.
    std::uint64_t life { 0 };
    // The highest start number known, 0 when none is.
    std::uint64_t start { 0 };
    // None when the target takes its full share.
    std::optional<TimePoint> warmingSince;
};

struct TargetTable {
    std::map<TargetAddress, TargetState, std::less<>> byAddress;
    std::uint64_t listVersion { 0 };
    bool listSeen { false };
    // Word of leaving about addresses that no list has shown yet, with the time of its arrival.
    std::map<TargetAddress, TimePoint, std::less<>> earlyLeaving;
};

// Returns how many requests the target may work on at now: one while it is on trial, a share that
// grows over TargetLimits::warmUp while it warms, else all its slots; never more than its connection
// limit. Never throws; constant time.
unsigned usableSlots(const TargetLimits&, const TargetState&, TimePoint now) noexcept;

// Returns whether new work may go to the target, slots aside. Never throws.
bool takesNewWork(const TargetState&) noexcept;

// Returns the sum of usableSlots over targets that take new work. Linear in the targets.
unsigned totalSlots(const TargetTable&, const TargetLimits&, TimePoint now) noexcept;

// Takes in a read of the list. Targets of the first list count as warm, later ones warm up. A target
// that the list no longer shows is forgotten once it works on nothing; leaving is sticky until then.
// O(n log n); may throw std::bad_alloc.
void applyList(TargetTable&, const TargetsChanged&, TimePoint now);

// Marks the target as leaving, also one that no list has shown yet.
void applyLeaving(TargetTable&, const TargetLeaving&, TimePoint now);

// Makes the target a fresh one that warms up, if the start number is higher than any known.
void applyStart(TargetTable&, const TargetStarted&, TimePoint now);

// Applies a health decision; a target that is no longer ejected warms up. Unknown addresses are
// ignored.
void applyHealth(TargetTable&, const TargetHealth&, TimePoint now);

// Counts an attempt in. Throws InvariantViolation when the target has no free slot (SlotLimit) or is
// leaving (NoWorkForLeaving).
void occupySlot(TargetTable&, std::string_view address, const TargetLimits&, TimePoint now);

// Counts an attempt out. Throws InvariantViolation (SlotLimit) when none is in flight there.
void releaseSlot(TargetTable&, std::string_view address);

// Lets the trial credit of ejected targets grow by one idempotent request. Linear in the targets.
void creditTrials(TargetTable&) noexcept;

}
