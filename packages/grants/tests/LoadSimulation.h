#pragma once

#include "flamingowick/grants/TargetPool.h"

#include <functional>
#include <queue>
#include <random>

// Simulates a load on targets, either with a pool that decides for all requests, or with the power of two random
// choices, the policy of entries that share no state.
namespace flamingowick::grants {

struct Load {
    unsigned targets { 6 };
    unsigned slots { 2 };
    // Arrival rate in requests per second, by the seconds since the start.
    std::function<double(double seconds)> rate { [](double) { return 20.0; } };
    double workSeconds { 0.2 };
    double deadlineSeconds { 1.2 };
    double objectiveSeconds { 0.6 };
    double lengthSeconds { 60 };
    // Share of the targets that are hanging, drawn anew in each period.
    double hangShare { 0 };
    double hangPeriodSeconds { 9 };
    // Each target's periods begin at a moment of its own, not all at once.
    bool staggeredPeriods { false };
    // Share of its requests that a hanging target doesn't answer.
    double hangProbability { 0.75 };
    // A hanging target answers with an error within milliseconds instead.
    bool failsFast { false };
    // Share of its requests that every target sheds.
    double shedProbability { 0 };
    // Share of the targets that take five times as long to answer.
    double slowShare { 0 };
    // Share of the requests that are idempotent.
    double idempotentShare { 0 };
    // Number of priorities. Each request's priority is drawn from 0 to below this.
    unsigned priorities { 1 };
    PoolLimits limits {};
};

// Attempts that hung, by what could be known of the target.
struct HungAttempts {
    // The first at a target in a period in which it hangs.
    unsigned first { 0 };
    // Sent while an earlier one hung there, before that had ended.
    unsigned behindAnother { 0 };
    // Sent after an earlier one had ended without an answer.
    unsigned afterAnother { 0 };

    unsigned total() const { return this->first + this->behindAnother + this->afterAnother; }
};

struct LoadOutcome {
    unsigned requests { 0 };
    unsigned served { 0 };
    unsigned withinObjective { 0 };
    // Requests that were refused without an attempt. Always 0 with two choices.
    unsigned refused { 0 };
    HungAttempts hung;
    // Times at which a target began to hang.
    unsigned hangs { 0 };
    std::vector<unsigned> requestsByPriority;
    std::vector<unsigned> servedByPriority;

    double servedShare() const { return static_cast<double>(this->served) / std::max(1U, this->requests); }
    double servedShareOfPriority(unsigned priority) const { return static_cast<double>(this->servedByPriority.at(priority)) / std::max(1U, this->requestsByPriority.at(priority)); }
};

LoadOutcome simulateWithPool(const Load&, std::uint64_t seed);
// Sends each request to the target with the fewest running ones among those that do not hang: the bound that a policy with
// knowledge of the targets reaches.
LoadOutcome simulateWithKnowledge(const Load&, std::uint64_t seed);
LoadOutcome simulateWithTwoChoices(const Load&, std::uint64_t seed);

}
