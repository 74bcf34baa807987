#pragma once

#include "flamingowick/dispatch/Fairness.h"
#include "flamingowick/dispatch/RetryBudget.h"
#include "flamingowick/dispatch/Slots.h"
#include "flamingowick/dispatch/TargetChoice.h"
#include "flamingowick/quarantine/CrashLedger.h"

// The replaceable decisions of a dispatcher. The defaults are those used in production; tests and benchmarks replace
// them.
namespace flamingowick::dispatch {

using quarantine::CrashLedger;

// Returns whether an attempt with this result certainly did not run the request. Never throws.
bool certainlyNotRun(AttemptKind) noexcept;

// Returns whether a request may be retried after an attempt with this result: always if the attempt certainly did not
// run it; never after an answer with a status other than 500, 502, 503 or 504; otherwise only if the request is
// idempotent. Never throws.
bool mayRepeat(bool idempotent, const AttemptResult&) noexcept;

// Returns whether the target's health allows the request: always if the target is not ejected; otherwise only as a
// trial request that is due, which must be idempotent and without an idempotency key. Never throws.
bool isOpenTo(const TargetState&, const Ticket&) noexcept;

struct Policy {
    bool (*certainlyNotRun)(AttemptKind) { dispatch::certainlyNotRun };
    bool (*mayRepeat)(bool idempotent, const AttemptResult&) { dispatch::mayRepeat };
    unsigned (*usableSlots)(const TargetLimits&, const TargetState&, TimePoint now) { dispatch::usableSlots };
    bool (*takesNewWork)(const TargetState&) { dispatch::takesNewWork };
    bool (*isOpenTo)(const TargetState&, const Ticket&) { dispatch::isOpenTo };
    std::size_t (*chooseTarget)(std::span<const Candidate>, std::string_view originDomain, std::uint64_t random) { chooseLeastLoaded };
    CallerRank (*rankCaller)(const CallerLoad&) { rankByVirtualTime };
    std::string_view (*displace)(const WaitQueue&) { displaceLongest };
    bool (*takeRetry)(RetryBudget&) { dispatch::takeRetry };
    std::optional<TimePoint> (*refusal)(const CrashLedger&, std::uint64_t fingerprint, TimePoint now) { quarantine::refusal };
    std::size_t (*crashCount)(const CrashLedger&, std::uint64_t fingerprint, const CrashPolicy&, TimePoint now) { quarantine::crashCount };
};

}
