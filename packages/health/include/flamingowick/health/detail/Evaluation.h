#pragma once

#include "flamingowick/health/Health.h"

#include <optional>

// The steps of handle() that evaluate the evidence and create or change ejection records.
namespace flamingowick::health::detail {

// Ejects the target, everywhere or for traffic from one failure domain, if the evidence reaches a threshold.
// O(targets * buckets).
void evaluateTarget(HealthState&, std::string_view target, TimePoint now);

// Moves the target's records from the trickle to the ramp once the evidence shows the target healthy.
// O(records of target * buckets).
void startRampIfCleared(HealthState&, std::string_view target, TimePoint now);

// Cancels a recent ejection whose evidence, after errors were forgiven, no longer reaches its threshold.
// O(targets * buckets).
void cancelUnsupportedEjection(HealthState&, std::string_view target, TimePoint now);

// Updates the shared-cause state and returns true if it changed. When a shared cause is detected, recent
// ejections are cancelled, since they were caused by it. O(targets * buckets).
bool updateSharedCause(HealthState&, TimePoint now);

// Returns the higher of the scores of the fine and the coarse ring. O(buckets); never throws.
Score higherScore(const Rings&, const SequentialTest&, TimePoint from, const Thresholds&) noexcept;

// Returns the time from which evidence on a scope counts. O(records of target).
TimePoint evidenceStartOf(const HealthState&, const Scope&);

// Returns the score that a verdict on a scope requires. O(log records).
double thresholdOf(const HealthState&, const Scope&, TimePoint now);

}
