#pragma once

#include "flamingowick/dispatch/Messages.h"

#include <map>
#include <vector>

// Requests that crash the targets which run them, told apart by fingerprint: a digest of the request
// or of its idempotency key.
namespace flamingowick::dispatch {

struct CrashLedger {
    struct Suspect {
        // The last crash of each target.
        std::map<TargetAddress, TimePoint> crashed;
        std::size_t crashes { 0 };
        TimePoint lastCrash;
    };
    std::map<std::uint64_t, Suspect> suspects;
    std::map<std::uint64_t, TimePoint> refusedUntil;
};

// Notes that target may have been crashed by an attempt that began at startedAt. Attempts that ran
// there together count once; one that began after a crash there counts as another target would, since
// the target had been replaced or restarted. Returns true when that makes the
// fingerprint refused from now on, for CrashPolicy::refuseFor. Memory is bounded: the oldest suspect
// gives way. Logarithmic, linear when one gives way.
bool recordCrash(CrashLedger&, std::uint64_t fingerprint, const TargetAddress& target, TimePoint startedAt, const CrashPolicy&, TimePoint now);

// Clears the suspicion: a target that answers did not crash. A refusal in force stays.
void recordSurvival(CrashLedger&, std::uint64_t fingerprint);

// Refuses the fingerprint until the given time, or longer if it already was. Memory is bounded: the
// refusal that ends first gives way.
void refuse(CrashLedger&, std::uint64_t fingerprint, TimePoint until);

// Returns until when the fingerprint is refused, none when it is not. Logarithmic.
std::optional<TimePoint> refusal(const CrashLedger&, std::uint64_t fingerprint, TimePoint now);

// Returns how often the fingerprint is suspected to have crashed a target lately. Logarithmic.
std::size_t crashCount(const CrashLedger&, std::uint64_t fingerprint, const CrashPolicy&, TimePoint now);

}
