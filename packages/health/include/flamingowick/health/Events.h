#pragma once

#include "flamingowick/health/EjectionRecord.h"
#include "flamingowick/health/Evidence.h"
#include "flamingowick/model/Target.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The events that the health decisions receive and the actions that they return.
namespace flamingowick::health {

// The outcome of one request.
struct Observation {
    TargetAddress target;
    Result result { Result::Ok };
    // Time until the response was complete or the request failed.
    Duration latency { 0 };
    ObserverId observer;
    bool idempotent { true };
};

// Another daemon's counters and ejection records. Summaries may be lost, duplicated and reordered.
struct PooledSummary {
    ObserverId observer;
    std::vector<TargetCounters> counters;
    std::vector<ScopedRecord> records;
};

// The outcome of one probe. A successful one has no effect.
struct ProbeResult {
    TargetAddress target;
    bool ok { true };
};

// A target's report of its load. Only an overload report has an effect.
struct LoadReport {
    TargetAddress target;
    bool overloaded { false };
};

// The complete list of the service's targets.
struct TargetsChanged {
    std::span<const Target> targets;
};

struct DocumentChanged {
    HealthPolicy policy;
    TargetLimits limits;
};

// An earlier error that is attributed to a request that crashes targets.
struct CrashExcluded {
    TargetAddress target;
    // The daemon that handles the event. It must not change other daemons' counters, only merge copies of them.
    ObserverId observer;
    TimePoint observedAt {};
};

// Passing of time. Expected several times per second.
struct Tick { };

using Event = std::variant<Observation, PooledSummary, ProbeResult, LoadReport, TargetsChanged, DocumentChanged, CrashExcluded, Tick>;

// Stops traffic to the target until the given time or an earlier Readmit.
struct Eject {
    TargetAddress target;
    TimePoint until {};
    EjectionReason reason;
};

// Sets the target's traffic to a share of a healthy target's.
struct Readmit {
    TargetAddress target;
    // 0 to 1, where 1 ends the restriction.
    double share { 1 };
    // True if non-idempotent requests must not be sent to the target.
    bool idempotentOnly { false };
    // Empty for traffic from everywhere.
    std::string fromFailureDomain;
};

// Like Eject, for traffic from one failure domain, where the network path is faulty and not the target.
struct PathAvoid {
    TargetAddress target;
    std::string fromFailureDomain;
    TimePoint until {};
    EjectionReason reason;
};

// Start or end of a fault that affects most of the pool. While it lasts, the evidence leads to no ejections;
// shed load instead.
struct SharedCause {
    bool on { false };
};

// The capacity floor prevents wanted restrictions.
struct FloorHit {
    // In slots; only restrictions in force reduce it.
    unsigned healthyCapacity { 0 };
    unsigned floor { 0 };
    std::vector<Scope> heldBack;
};

using Action = std::variant<Eject, Readmit, PathAvoid, SharedCause, FloorHit>;

}
