#pragma once

#include "flamingowick/health/Evidence.h"
#include "flamingowick/model/ServiceDocument.h"

#include <array>
#include <string_view>

// Sequential tests for a change in a target's share of bad outcomes. Each is a CUSUM (Page 1954) of
// Bernoulli log-likelihood ratios over time buckets: bad outcomes raise the sum, good ones lower it, and it
// never falls below zero.
namespace flamingowick::health {

enum class Symptom : std::uint8_t {
    // A large share of requests fails.
    Errors,
    // A small share of requests fails, but clearly more than on a healthy target.
    RareErrors,
    // Responses take several times as long as is typical in the pool.
    Slowness,
};

constexpr std::size_t symptomCount = 3;

struct SequentialTest {
    Symptom symptom { Symptom::Errors };
    // Share of bad outcomes under the two hypotheses, each strictly between 0 and 1.
    double healthyShare { 0.01 };
    double failingShare { 0.3 };
};

// Limits of the log-likelihood ratio, in nats.
struct Thresholds {
    // Score from which a target is ejected.
    double eject { 0 };
    // Replaces eject while a target is being readmitted.
    double probation { 0 };
    // Score from which a target counts as suspect in the shared-cause check.
    double suspect { 0 };
    // Log-likelihood ratio in favour of healthy that ends the trickle, as a positive number.
    double clear { 0 };
    // Upper limit on what one bucket adds, so that a short burst alone does not eject a target.
    double bucketLimit { 0 };
    // Upper limit of the sum, so that it falls below the threshold soon after a target recovers.
    double ceiling { 0 };
};

struct Score {
    double value { 0 };
    // Outcomes since the sum was last zero.
    std::uint32_t bad { 0 };
    std::uint32_t total { 0 };
    // First bucket of these outcomes, and the bucket width of its ring.
    std::int64_t since { 0 };
    Duration width { fineWidth };
};

// Returns the symptom's name as shown in explanations. Never throws.
std::string_view toString(Symptom) noexcept;

// Returns the tests that a policy configures, one for each symptom. Never throws.
std::array<SequentialTest, symptomCount> testsFor(const HealthPolicy&) noexcept;

// Returns the thresholds that follow from the policy's costs. The expected cost of an ejection threshold h
// is lowest where e^h equals the number of outcomes between two faults times the ratio of the cost of a false
// ejection to that of a late one. Never throws.
Thresholds thresholdsFor(const HealthPolicy&) noexcept;

// Returns the test adjusted to a pool whose typical target has the given share of bad outcomes, so that
// only a target worse than the pool scores. Never throws.
SequentialTest relativeTo(const SequentialTest&, double poolShare) noexcept;

// Returns the CUSUM score at the ring's newest bucket, starting at bucket index from. O(buckets); never throws.
Score cusum(const Ring&, const SequentialTest&, std::int64_t from, const Thresholds&) noexcept;

// Returns an upper bound of cusum() for any order of the outcomes. Constant time; never throws.
double highestScore(const Ring&, const SequentialTest&) noexcept;

// Returns the log-likelihood ratio over the buckets from index from on, without the limits of cusum(). A
// negative value favours healthy. O(buckets); never throws.
double logLikelihoodRatio(const Ring&, const SequentialTest&, std::int64_t from) noexcept;

// Counts the outcomes from bucket index from on that are relevant to a symptom. O(buckets); never throws.
Score tally(const Ring&, Symptom, std::int64_t from) noexcept;

}
