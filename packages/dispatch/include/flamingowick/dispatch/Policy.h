#pragma once

#include "flamingowick/dispatch/CrashLedger.h"
#include "flamingowick/dispatch/Fairness.h"
#include "flamingowick/dispatch/RetryBudget.h"
#include "flamingowick/dispatch/Slots.h"
#include "flamingowick/dispatch/TargetChoice.h"

// The decisions of a dispatcher that can be exchanged, with those of production as defaults.
namespace flamingowick::dispatch {

// Returns whether an attempt that ended in this way certainly did not run the request. Never throws.
bool certainlyNotRun(AttemptKind) noexcept;

// Returns whether a request may be attempted again after an attempt that ended in this way: always
// after one that did not run, else only when it is idempotent. Never throws.
bool mayRepeat(bool idempotent, const AttemptResult&) noexcept;

// Returns whether health lets the request go to the target: always to one that is not ejected, else
// only an idempotent request without a key, as a trial that is due. Never throws.
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
    std::optional<TimePoint> (*refusal)(const CrashLedger&, std::uint64_t fingerprint, TimePoint now) { dispatch::refusal };
    std::size_t (*crashCount)(const CrashLedger&, std::uint64_t fingerprint, const CrashPolicy&, TimePoint now) { dispatch::crashCount };
};

}
