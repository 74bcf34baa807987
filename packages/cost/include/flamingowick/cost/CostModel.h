#pragma once

#include "flamingowick/model/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

// Estimates the work of requests, as the time they take at a target of usual speed, from earlier requests that share
// features with them.
//
// The logarithm of the work is taken as normally distributed. Its mean is that of the route, moved by what each further
// feature adds, which is shrunk towards nothing while few requests have shown it. Of each kind of feature, the model
// measures by how much it lowers the error of the prediction, and uses no kind that doesn't.
// Deterministic; does no I/O.
namespace flamingowick::cost {

// Kinds of features beyond the route that a model tells apart.
constexpr std::size_t maxRefinements = 4;

// What is known of a request before it runs.
struct Features {
    // Hash of the route.
    std::uint64_t route { 0 };
    // Hashes of further features, one kind at each index: such as organisation, path prefix, class of body size. 0 stands
    // for a feature that the request hasn't. Those from maxRefinements on are ignored.
    std::array<std::uint64_t, maxRefinements> refinements {};
};

// The distribution of a request's work.
struct Estimate {
    // Mean and standard deviation of the natural logarithm of the work in seconds.
    double meanLog { 0 };
    double deviationLog { 0 };
    // Requests that the estimate rests on, which decay with age; 0 when nothing is known.
    double weight { 0 };

    // Whether the estimate rests on enough requests to be used.
    bool isKnown() const noexcept;
    // The mean work in seconds. Never throws.
    double meanSeconds() const noexcept;
};

// What a kind of feature adds to the prediction, by decaying sums of squared errors of the logarithm.
struct RefinementGain {
    double errorWithout { 0 };
    double errorWith { 0 };
    double weight { 0 };
    TimePoint updatedAt;
};

// Decaying mean and variance of a value.
struct DecayingMean {
    double weight { 0 };
    double mean { 0 };
    double variance { 0 };
    TimePoint updatedAt;
};

struct CostModel {
    struct Cell {
        std::uint64_t key { 0 };
        DecayingMean value;
    };
    // Cells by key, in sets of a few. Allocated at the first observation; their number is fixed, however many features
    // callers show. A new key takes the place of the one in its set that was seen the least.
    std::vector<Cell> cells;
    // Of all requests: used for routes of which too few have been seen.
    DecayingMean overall;
    std::array<RefinementGain, maxRefinements> gains {};
};

// Records the work of a request that was answered. Durations of zero or below are ignored; one far from the estimate counts
// as one at a limited distance. Constant time.
void observe(CostModel&, const Features&, double workSeconds, TimePoint now);

// Returns the work to expect of such a request. Constant time; never throws.
Estimate estimate(const CostModel&, const Features&, TimePoint now) noexcept;

// Returns the share (0 to 1) of the squared error that a kind of feature takes away, and 0 while it isn't used.
// Throws std::out_of_range for a kind from maxRefinements on.
double explainedShare(const CostModel&, std::size_t kind);

// Returns the time in seconds that a request is expected to last yet, given that it has lasted for the age in seconds and
// takes slowness times the work of the estimate. Positive; never throws; constant time.
double expectedRemainingSeconds(const Estimate&, double slowness, double ageSeconds) noexcept;

}
