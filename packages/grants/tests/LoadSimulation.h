#pragma once

#include "flamingowick/grants/TargetPool.h"

#include <functional>
#include <queue>
#include <random>

// Plays a load against targets on simulated time, once through a pool and once by two random choices,
// the policy of entries that share nothing.
namespace flamingowick::grants {

struct Load {
    unsigned targets { 6 };
    unsigned slots { 2 };
    // Requests a second at a time from the start.
    std::function<double(double seconds)> rate { [](double) { return 20.0; } };
    double workSeconds { 0.2 };
    double deadlineSeconds { 1.2 };
    double objectiveSeconds { 0.6 };
    double length { 60 };
    // Share of the targets that hang their requests, drawn anew in each period.
    double hangShare { 0 };
    double hangPeriod { 9 };
    // Share of requests that a hanging target does not answer.
    double hangs { 0.75 };
    // Share of requests that every target refuses without running them.
    double sheds { 0 };
    // Share of the targets that take five times as long.
    double slowShare { 0 };
    // Requests that may be repeated.
    double idempotentShare { 0 };
    // Ranks are drawn from 0 to this.
    unsigned ranks { 1 };
};

struct LoadOutcome {
    unsigned asked { 0 };
    unsigned served { 0 };
    unsigned inObjective { 0 };
    // Refused without having been sent.
    unsigned refused { 0 };
    std::vector<unsigned> askedByRank;
    std::vector<unsigned> servedByRank;

    double share() const { return static_cast<double>(this->served) / std::max(1U, this->asked); }
    double shareOfRank(unsigned rank) const { return static_cast<double>(this->servedByRank.at(rank)) / std::max(1U, this->askedByRank.at(rank)); }
};

LoadOutcome playWithPool(const Load&, std::uint64_t seed);
LoadOutcome playWithTwoChoices(const Load&, std::uint64_t seed);

}
