#pragma once

#include "flamingowick/proxy/RequestQuarantine.h"

#include <deque>
#include <map>
#include <memory>
#include <random>

// A model of a fleet whose callers send a request that crashes its targets, for tests. Daemons lose messages, restart,
// are cut off and find the store unavailable; all of that overlaps. Runs in simulated time on the paused clock.
namespace flamingowick::proxy {

struct QuarantineModelOptions {
    std::uint64_t seed { 1 };
    std::size_t daemons { 24 };
    Duration length { std::chrono::seconds(60) };
    double messageLoss { 0.05 };
    // Mean time between restarts of single daemons; zero for none.
    Duration restartInterval { std::chrono::milliseconds(1500) };
    // All daemons restart at once, at this time; zero for never.
    Duration restartOfAllAt { 0 };
    // The store is unavailable from the one time to the other.
    Duration storeLostAt { 0 };
    Duration storeBackAt { 0 };
    // A third of the daemons are cut off from all others, but not from the store or targets, in this time.
    Duration cutAt { 0 };
    Duration cutEndsAt { 0 };
};

struct QuarantineModelResult {
    // How often the request was sent to a target.
    unsigned sends { 0 };
    unsigned refusals { 0 };
    // Sends later than the stable window after the third crash, by daemons in contact: they ran, and the store was
    // available to them, for the whole stable window before.
    unsigned lateSends { 0 };
    // Sends later than the stable window after the refusal was stored, by daemons in contact.
    unsigned sendsAfterStored { 0 };
};

QuarantineModelResult runQuarantineModel(const QuarantineModelOptions&);

}
