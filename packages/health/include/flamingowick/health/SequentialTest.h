#pragma once

#include "flamingowick/health/Evidence.h"
#include "flamingowick/model/ServiceDocument.h"

#include <array>
#include <string_view>

// Sequential tests for a change in a target's share of bad outcomes. Each is a CUSUM (Page 1954) of
// Bernoulli log-likelihood ratios over time buckets: positive steps speak for failing, and the sum
// never falls below zero.
namespace flamingowick::health {

enum class Symptom : std::uint8_t {
    // Many requests fail.
    Errors,
    // Clearly more requests fail than a healthy target's, yet few.
    RareErrors,
    // Answers take several times as long as the pool's.
    Slowness,
};

constexpr std::size_t symptomCount = 3;

struct SequentialTest {
    Symptom symptom { Symptom::Errors };
    // Share of bad outcomes under each of the two hypotheses, 0 to 1 exclusive.
    double healthyShare { 0.01 };
    double failingShare { 0.3 };
};

// Levels of the log-likelihood ratio, in nats.
struct Thresholds {
    double eject { 0 };
    // Replaces eject while a target is being readmitted.
    double probation { 0 };
    // Counts as suspect when a shared cause is looked for.
    double suspect { 0 };
    // Evidence for health that ends the trickle, as a positive number.
    double clear { 0 };
    // The most that one bucket adds, so that a short burst alone can't eject.
    double bucketLimit { 0 };
    // The most that the sum reaches, so that it falls soon once a target recovers.
    double ceiling { 0 };
};

struct Score {
    double value { 0 };
    // Outcomes since the sum last left zero.
    std::uint32_t bad { 0 };
    std::uint32_t total { 0 };
    // First bucket since then, and the width of the ring that it belongs to.
    std::int64_t since { 0 };
    Duration width { fineWidth };
};

// Returns the name as explanations show it. Never throws.
std::string_view toString(Symptom) noexcept;

// Returns the tests that a policy asks for, one for each symptom. Never throws.
std::array<SequentialTest, symptomCount> testsFor(const HealthPolicy&) noexcept;

// Returns the levels that follow from the policy's costs. The expected cost of a level h is least
// where e^h equals the outcomes between two faults times the ratio of the costs. Never throws.
Thresholds thresholdsFor(const HealthPolicy&) noexcept;

// Returns the test against a pool whose typical target has the given share of bad outcomes, so that
// only what is worse than the pool counts. Never throws.
SequentialTest relativeTo(const SequentialTest&, double poolShare) noexcept;

// Returns the sum at the ring's newest bucket, over buckets from an index on. O(buckets); never
// throws.
Score cusum(const Ring&, const SequentialTest&, std::int64_t from, const Thresholds&) noexcept;

// Returns a level that cusum() can't exceed, whatever the order of the outcomes. Constant time; never
// throws.
double highestScore(const Ring&, const SequentialTest&) noexcept;

// Returns the plain log-likelihood ratio over buckets from an index on; negative speaks for health.
// O(buckets); never throws.
double logLikelihoodRatio(const Ring&, const SequentialTest&, std::int64_t from) noexcept;

// Returns the outcomes from an index on as the test counts them. O(buckets); never throws.
Score tally(const Ring&, Symptom, std::int64_t from) noexcept;

}
