#pragma once

#include "flamingowick/grants/LatencyProfile.h"
#include "flamingowick/model/Clock.h"

#include <string_view>

// How likely it is that a target is failing its requests at this moment.
//
// A target is modelled as a two-state hidden Markov process: sound or failing, with sojourns of a few
// seconds. Outcomes update the probability by Bayes' rule; without outcomes it relaxes to the share
// of targets that fail at any time. A request still in flight is evidence too: the longer it lasts
// beyond what is usual, the likelier its target hangs.
namespace flamingowick::grants {

// How an attempt at a target ended.
enum class Outcome : std::uint8_t {
    // A whole answer that is no server error.
    Succeeded,
    // A whole answer with a server error.
    Failed,
    // The target states that it did not run the request.
    Shed,
    // The connection broke or the answer was unusable after the request was sent.
    Broken,
    // Nothing came until the attempt's time was up.
    Hung,
    // No connection was made; nothing was sent.
    Unreachable,
    // Another instance answers at the address.
    Replaced,
    // The caller left or another attempt won before the target answered.
    Abandoned,
};

// Returns the outcome as logs and metrics show it. Never throws.
std::string_view toString(Outcome) noexcept;

struct BeliefModel {
    // Share of targets that fail at any time, before any evidence.
    double failingShare { 0.15 };
    // Mean time until a target's state is independent of what was seen.
    Duration relaxation { std::chrono::seconds(8) };
    // Share of its requests that a failing target doesn't answer in time.
    double failureShare { 0.7 };
};

// Probability that the target is failing, as it was at the given time.
struct Belief {
    double failing { 0.15 };
    TimePoint at;
};

// Returns the probability at a later time, without further evidence. Never throws; constant time.
double relaxed(const Belief&, const BeliefModel&, TimePoint now) noexcept;

// Returns how much likelier an attempt of this age without an answer is at a failing target than at
// a sound one. At least 1. Linear in the profile.
double pendingRatio(const BeliefModel&, const LatencyProfile&, Duration age) noexcept;

// Returns the age at which an attempt without an answer makes it likelier than not that the target is
// failing, given the probability at its start: the sooner, the less the target was trusted. Zero when it
// was so from the start. Linear in the profile.
Duration doubtedAfter(const BeliefModel&, const LatencyProfile&, double failing) noexcept;

// Returns the probability after evidence that is ratio times as likely at a failing target.
double updated(double failing, double ratio) noexcept;

// Takes in the end of an attempt that lasted for the given time.
void observe(Belief&, const BeliefModel&, const LatencyProfile&, Outcome, Duration lasted, TimePoint now) noexcept;

}
