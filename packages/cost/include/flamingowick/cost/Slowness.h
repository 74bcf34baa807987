#pragma once

#include "flamingowick/cost/CostModel.h"

// Estimates how much longer than usual requests take at a target, from pairs of expected and seen work.
namespace flamingowick::cost {

// The logarithm of the factor, as a mean that decays to 0, at which the target is as fast as usual.
struct Slowness {
    DecayingMean logFactor;
};

// Records that work of the given estimate took the given time. explainedFactor: by how much other known causes prolong
// it, such as warming up. Durations of zero or below, and unknown estimates, are ignored. Constant time.
void observe(Slowness&, const Estimate& expected, double explainedFactor, double seenSeconds, TimePoint now) noexcept;

// Returns the factor to expect, 1 for a target of which nothing is known. The fewer responses, and the wider their spread,
// the nearer it is to 1. Constant time; never throws.
double slownessFactor(const Slowness&, TimePoint now) noexcept;

}
