#pragma once

#include "flamingowick/health/SequentialTest.h"
#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/ServiceDocument.h"

#include <map>
#include <string>
#include <tuple>

// The decision to eject a target for a time, as exchanged between daemons. The resulting traffic share depends
// only on the record, the policy and the time, so daemons with the same records agree without further messages.
namespace flamingowick::health {

enum class Phase : std::uint8_t {
    // Ejected until EjectionRecord::until, then in the trickle.
    Ejected,
    // The trickle showed the target healthy; its traffic share grows.
    Ramp,
    // Without effect, since the evidence turned out not to be the target's fault.
    Cancelled,
};

// The effect of a record at a given time.
enum class Standing : std::uint8_t {
    // Full traffic share.
    Healthy,
    // No requests.
    Ejected,
    // A small share of idempotent requests only, to find out whether the target has recovered.
    Trickle,
    // Requests of any kind, at a growing share.
    Ramp,
};

// The evidence that led to an ejection.
struct EjectionReason {
    Symptom symptom { Symptom::Errors };
    std::uint32_t bad { 0 };
    std::uint32_t total { 0 };
    double score { 0 };
    double threshold { 0 };

    bool operator==(const EjectionReason&) const = default;

    // Returns the members in the order of comparison.
    auto key() const noexcept { return std::tie(this->symptom, this->bad, this->total, this->score, this->threshold); }
    bool operator<(const EjectionReason& other) const noexcept { return this->key() < other.key(); }
};

// The target and the origin of the traffic that a record applies to. An empty failure domain stands for traffic
// from everywhere.
struct Scope {
    TargetAddress target;
    std::string fromFailureDomain;

    bool operator==(const Scope&) const = default;

    // Returns the members in the order of comparison.
    auto key() const noexcept { return std::tie(this->target, this->fromFailureDomain); }
    bool operator<(const Scope& other) const noexcept { return this->key() < other.key(); }
};

// Records are compared member by member in the order of declaration. Of two records for a scope, the greater one
// applies.
struct EjectionRecord {
    TimePoint ejectedAt {};
    Phase phase { Phase::Ejected };
    TimePoint until {};
    // Start of the ramp, or the time of the cancellation.
    TimePoint changedAt {};
    // Share of bad outcomes, halved for slowness.
    double severity { 0 };
    // Number of preceding ejections in close succession.
    unsigned repeats { 0 };
    // Evidence from before this time was disregarded.
    TimePoint evidenceFrom {};
    EjectionReason reason;

    bool operator==(const EjectionRecord&) const = default;

    // Returns the members in the order of comparison.
    auto key() const noexcept { return std::tie(this->ejectedAt, this->phase, this->until, this->changedAt, this->severity, this->repeats, this->evidenceFrom, this->reason); }
    bool operator<(const EjectionRecord& other) const noexcept { return this->key() < other.key(); }
};

using EjectionRecords = std::map<Scope, EjectionRecord>;

// A record with its scope, as sent between daemons.
struct ScopedRecord {
    Scope scope;
    EjectionRecord record;

    bool operator==(const ScopedRecord&) const = default;
};

constexpr double trickleShare = 0.1;
constexpr double rampSteps = 10;
constexpr Duration rampDuration = std::chrono::seconds(10);

struct StandingShare {
    Standing standing { Standing::Healthy };
    // Share of a healthy target's traffic, 0 to 1, in steps of 1 / rampSteps.
    double share { 1 };

    bool operator==(const StandingShare&) const = default;
};

// Returns the one of two records for the same scope that applies. Commutative, associative and idempotent. Never
// throws.
const EjectionRecord& join(const EjectionRecord&, const EjectionRecord&) noexcept;

// Returns the end of the ejection, limited by the present policy's maximum duration. Never throws.
TimePoint endOf(const EjectionRecord&, const HealthPolicy&) noexcept;

// Returns the effect of a record at a given time. A target without a verdict in the trickle for
// HealthPolicy::maxEjection proceeds to the ramp, since in a service without idempotent requests it receives no
// requests in the trickle. Never throws.
StandingShare standingAt(const EjectionRecord&, const HealthPolicy&, TimePoint now) noexcept;

// Returns the time from which evidence counts towards a new verdict. Never throws.
TimePoint evidenceStart(const EjectionRecord&, const HealthPolicy&) noexcept;

// Returns the number of preceding ejections in close succession for an ejection at time now. It decreases by one
// for each HealthPolicy::maxEjection without a new ejection. Never throws.
unsigned repeatsAt(const EjectionRecord&, const HealthPolicy&, TimePoint now) noexcept;

// Returns the duration of an ejection: the policy's base duration, doubled for each repeat, up to the policy's
// maximum. Never throws.
Duration ejectionDuration(const HealthPolicy&, unsigned repeats) noexcept;

// Returns true if a record is old enough to have no further effect and can be deleted. Never throws.
bool isSpent(const EjectionRecord&, const HealthPolicy&, TimePoint now) noexcept;

}
