#pragma once

#include "flamingowick/health/Health.h"

#include <optional>

// The steps of handle() that weigh the evidence.
namespace flamingowick::health::detail {

// Ejects the target, or avoids its path, where the evidence asks for it. O(targets * buckets).
void judge(HealthState&, std::string_view target, TimePoint now);

// Moves records whose target has passed the trickle on to the ramp. O(records of target * buckets).
void advanceTrickle(HealthState&, std::string_view target, TimePoint now);

// Withdraws a recent ejection that its evidence no longer supports. O(targets * buckets).
void reconsider(HealthState&, std::string_view target, TimePoint now);

// Looks for a shared cause; returns true when it has come or gone. One that comes withdraws the
// ejections just made, which were its first signs. O(targets * buckets).
bool updateSharedCause(HealthState&, TimePoint now);

// Returns the score of the ring that says more. O(buckets); never throws.
Score strongerScore(const Rings&, const SequentialTest&, TimePoint from, const Thresholds&) noexcept;

// Returns the time from which a scope's evidence counts. O(records of target).
TimePoint evidenceStartOf(const HealthState&, const Scope&);

// Returns the level for a verdict on a scope. O(log records).
double thresholdOf(const HealthState&, const Scope&, TimePoint now);

}
