#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/ServiceDocument.h"

#include <cstdint>
#include <map>
#include <optional>

// Detects requests that crash the targets which run them, and refuses them for a limited time. A request is identified
// by its fingerprint: a digest of the request or of its idempotency key.
namespace flamingowick::quarantine {

// A request may have crashed a target. Sent to peers and received from them; a duplicate report counts once.
struct CrashReport {
    std::uint64_t fingerprint { 0 };
    TargetAddress target;
};

// A request fingerprint that is refused for the remaining duration. Sent to peers and received from them.
struct QuarantineNotice {
    std::uint64_t fingerprint { 0 };
    Duration remaining { 0 };
};

struct CrashLedger {
    struct Suspect {
        // Time of the last crash of each target.
        std::map<TargetAddress, TimePoint> crashed;
        std::size_t crashes { 0 };
        TimePoint lastCrash;
    };
    std::map<std::uint64_t, Suspect> suspects;
    std::map<std::uint64_t, TimePoint> refusedUntil;
};

// Records that an attempt which began at startedAt may have crashed the target. Attempts that ran concurrently on one
// target count as one crash. An attempt that began after the last recorded crash of its target counts again, since the
// target has been restarted or replaced in between. Returns true when this crash reaches
// CrashPolicy::distinctTargets; the fingerprint is then refused for CrashPolicy::refuseFor. Memory is bounded: beyond
// the limit, the suspect with the oldest crash is evicted. Logarithmic; linear when a suspect is evicted.
bool recordCrash(CrashLedger&, std::uint64_t fingerprint, const TargetAddress& target, TimePoint startedAt, const CrashPolicy&, TimePoint now);

// Clears the suspicion against the fingerprint after a target has answered its request. Does not end a refusal that is
// in force.
void recordSurvival(CrashLedger&, std::uint64_t fingerprint);

// Refuses the fingerprint until the given time; never shortens a refusal. Memory is bounded: beyond the limit, the
// refusal that expires first is evicted.
void refuse(CrashLedger&, std::uint64_t fingerprint, TimePoint until);

// Ends the refusal of a fingerprint, and the suspicion against it.
void release(CrashLedger&, std::uint64_t fingerprint);

// Returns the time until which the fingerprint is refused, or nullopt if it is not refused. Logarithmic.
std::optional<TimePoint> refusal(const CrashLedger&, std::uint64_t fingerprint, TimePoint now);

// Returns the number of crashes counted against the fingerprint; 0 if the last one is older than
// CrashPolicy::refuseFor. Logarithmic.
std::size_t crashCount(const CrashLedger&, std::uint64_t fingerprint, const CrashPolicy&, TimePoint now);

}
