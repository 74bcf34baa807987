#pragma once

#include "flamingowick/health/EjectionRecord.h"
#include "flamingowick/health/Evidence.h"
#include "flamingowick/model/Target.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// What the health decisions are told, and what they ask for.
namespace flamingowick::health {

// The end of one real request.
struct Observation {
    TargetAddress target;
    Result result { Result::Ok };
    // Time to the whole answer, or to the failure.
    Duration latency { 0 };
    ObserverId observer;
    bool idempotent { true };
};

// What another daemon has seen and decided. Safe to lose, repeat and reorder.
struct PooledSummary {
    ObserverId observer;
    std::vector<TargetCounters> counters;
    std::vector<ScopedRecord> records;
};

// The end of one probe. A good one says nothing.
struct ProbeResult {
    TargetAddress target;
    bool ok { true };
};

// A target's own word about its load. A good one says nothing.
struct LoadReport {
    TargetAddress target;
    bool overloaded { false };
};

// The service's targets, whole.
struct TargetsChanged {
    std::span<const Target> targets;
};

struct DocumentChanged {
    HealthPolicy policy;
    TargetLimits limits;
};

// An error, observed before, that is the fault of a request that crashes targets.
struct CrashExcluded {
    TargetAddress target;
    // The daemon that handles the event; counters of others are only merged.
    ObserverId observer;
    TimePoint observedAt {};
};

// Time has passed. Expected several times a second.
struct Tick { };

using Event = std::variant<Observation, PooledSummary, ProbeResult, LoadReport, TargetsChanged, DocumentChanged, CrashExcluded, Tick>;

// Send the target nothing until the time given, or until a Readmit.
struct Eject {
    TargetAddress target;
    TimePoint until {};
    EjectionReason reason;
};

// Send the target a share of a healthy target's traffic.
struct Readmit {
    TargetAddress target;
    // 0 to 1; 1 ends the restriction.
    double share { 1 };
    // True while non-idempotent requests must not be sent there.
    bool idempotentOnly { false };
    // Empty for traffic from everywhere.
    std::string fromFailureDomain;
};

// As Eject, for traffic from one failure domain: the path from there is at fault, not the target.
struct PathAvoid {
    TargetAddress target;
    std::string fromFailureDomain;
    TimePoint until {};
    EjectionReason reason;
};

// Most of the pool worsened together, or has recovered. While it is on, shed instead of ejecting.
struct SharedCause {
    bool on { false };
};

// The floor holds back restrictions that the evidence asks for.
struct FloorHit {
    // In slots, without the restrictions held back.
    unsigned healthyCapacity { 0 };
    unsigned floor { 0 };
    std::vector<Scope> heldBack;
};

using Action = std::variant<Eject, Readmit, PathAvoid, SharedCause, FloorHit>;

}
