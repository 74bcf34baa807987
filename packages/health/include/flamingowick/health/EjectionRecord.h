#pragma once

#include "flamingowick/health/SequentialTest.h"
#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/ServiceDocument.h"

#include <map>
#include <string>
#include <tuple>

// The decision that a target shall get no traffic for a time, as daemons exchange it. What it means
// at a moment follows from the record and the time alone, so daemons that hold the same records
// agree without further messages.
namespace flamingowick::health {

enum class Phase : std::uint8_t {
    // Out until the record's time, then in the trickle.
    Ejected,
    // Passed the trickle; the share grows.
    Ramp,
    // Withdrawn: the evidence turned out not to be the target's fault.
    Cancelled,
};

// What a record means at a moment.
enum class Standing : std::uint8_t {
    // Full share.
    Healthy,
    // No requests.
    Ejected,
    // A few idempotent requests, to see whether the target has recovered.
    Trickle,
    // Any requests, at a growing share.
    Ramp,
};

// The figures behind an ejection.
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

// Names what a record is about. An empty failure domain means everywhere; any other means traffic
// that comes from there.
struct Scope {
    TargetAddress target;
    std::string fromFailureDomain;

    bool operator==(const Scope&) const = default;

    // Returns the members in the order of comparison.
    auto key() const noexcept { return std::tie(this->target, this->fromFailureDomain); }
    bool operator<(const Scope& other) const noexcept { return this->key() < other.key(); }
};

// Member order is the order of precedence: of two records for a scope the greater one holds.
struct EjectionRecord {
    TimePoint ejectedAt {};
    Phase phase { Phase::Ejected };
    TimePoint until {};
    // Start of the ramp, or the time of the cancellation.
    TimePoint changedAt {};
    // How bad the target was: the share of bad outcomes, halved for slowness.
    double severity { 0 };
    // Ejections in close succession before this one.
    unsigned repeats { 0 };
    // Evidence from before this time was not looked at.
    TimePoint evidenceFrom {};
    EjectionReason reason;

    bool operator==(const EjectionRecord&) const = default;

    // Returns the members in the order of comparison.
    auto key() const noexcept { return std::tie(this->ejectedAt, this->phase, this->until, this->changedAt, this->severity, this->repeats, this->evidenceFrom, this->reason); }
    bool operator<(const EjectionRecord& other) const noexcept { return this->key() < other.key(); }
};

using EjectionRecords = std::map<Scope, EjectionRecord>;

// A record with its scope, as it travels between daemons.
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

// Returns the record that holds of two for the same scope. Commutative, associative and idempotent.
// Never throws.
const EjectionRecord& join(const EjectionRecord&, const EjectionRecord&) noexcept;

// Returns the end of the ejection, no later than the policy in force allows. Never throws.
TimePoint endOf(const EjectionRecord&, const HealthPolicy&) noexcept;

// Returns what a record means at a time. A target that has had no verdict in the trickle for
// HealthPolicy::maxEjection goes on to the ramp by itself, since a service without idempotent
// requests could never clear it. Never throws.
StandingShare standingAt(const EjectionRecord&, const HealthPolicy&, TimePoint now) noexcept;

// Returns the time from which evidence counts for a new verdict. Never throws.
TimePoint evidenceStart(const EjectionRecord&, const HealthPolicy&) noexcept;

// Returns the number of ejections in close succession that a new ejection at now follows. It falls
// by one for each HealthPolicy::maxEjection without a new one. Never throws.
unsigned repeatsAt(const EjectionRecord&, const HealthPolicy&, TimePoint now) noexcept;

// Returns how long the ejection lasts that follows the given number of earlier ones: the base,
// doubled for each, up to the maximum. Never throws.
Duration ejectionDuration(const HealthPolicy&, unsigned repeats) noexcept;

// Returns true when a record has no more bearing on anything. Never throws.
bool isSpent(const EjectionRecord&, const HealthPolicy&, TimePoint now) noexcept;

}
