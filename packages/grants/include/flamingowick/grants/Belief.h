#pragma once

#include "flamingowick/grants/LatencyProfile.h"
#include "flamingowick/model/Clock.h"

#include <string_view>

// Estimates the probability that a target is failing its requests at this moment.
//
// A target is modelled as a two-state hidden Markov process: it is healthy or failing, and stays in either state
// for a few seconds. The outcome of an attempt updates the probability by Bayes' rule; without outcomes the
// probability decays to the prior, the share of targets that fail at any time. An attempt still in flight is
// evidence too: the longer it exceeds the usual latency, the likelier its target hangs.
namespace flamingowick::grants {

// How an attempt at a target ended.
enum class AttemptOutcome : std::uint8_t {
    // A complete response other than a server error.
    Succeeded,
    // A complete response with a server error.
    Failed,
    // The target states that it did not run the request.
    Shed,
    // The connection broke, or the response was malformed, after the request was sent.
    ConnectionBroken,
    // No response arrived before the attempt's timeout.
    TimedOut,
    // No connection could be opened; nothing was sent.
    Unreachable,
    // Another instance answers at the address.
    InstanceReplaced,
    // The caller disconnected, or another attempt succeeded, before the target answered.
    Abandoned,
};

// Returns the outcome's name in logs and metrics. Never throws.
std::string_view toString(AttemptOutcome) noexcept;

struct BeliefModel {
    // Prior: share of targets that are failing at any time.
    double priorFailingShare { 0.15 };
    // Time constant with which the probability decays to the prior when no evidence arrives.
    Duration relaxationTime { std::chrono::seconds(8) };
    // Share of its requests that a failing target doesn't answer in time.
    double failureRateWhenFailing { 0.7 };
};

// Probability that a target is failing, as estimated at the time `updatedAt`.
struct Belief {
    double failureProbability { 0.15 };
    TimePoint updatedAt;
};

// Returns the probability at a later time, given no further evidence. Never throws; constant time.
double failureProbabilityAt(const Belief&, const BeliefModel&, TimePoint now) noexcept;

// Returns the likelihood ratio, failing over healthy, of an attempt that has had no response for the given time.
// At least 1. Linear in the profile.
double pendingLikelihoodRatio(const BeliefModel&, const LatencyProfile&, Duration age) noexcept;

// Returns the age from which an attempt without a response makes its target more likely failing than healthy,
// given the probability of failure at the attempt's start. It falls as that probability rises, and is zero when
// the target was already more likely failing than healthy at the start. Linear in the profile.
Duration suspicionAge(const BeliefModel&, const LatencyProfile&, double failing) noexcept;

// Returns the probability of failure after evidence with the given likelihood ratio, failing over healthy. The
// result is bounded away from 0 and 1, so that later evidence can reverse it.
double bayesUpdate(double failing, double ratio) noexcept;

// Updates the belief with the outcome of an attempt that ended after the given time.
void updateBelief(Belief&, const BeliefModel&, const LatencyProfile&, AttemptOutcome, Duration duration, TimePoint now) noexcept;

}
