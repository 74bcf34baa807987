#pragma once

#include "flamingowick/grants/TargetPool.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace flamingowick::grants {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A pool on a time of its own.
struct PoolFixture {
    TargetPool pool;
    TimePoint now { seconds(1000) };
    std::uint64_t lastNumber { 0 };

    void list(unsigned count, unsigned slots = 2)
    {
        std::vector<ListedTarget> targets;
        for (unsigned index = 0; index < count; ++index)
            targets.push_back({ "t" + std::to_string(index), "10.0.0.1:" + std::to_string(8000 + index), "a", slots, false, Duration::zero() });
        setTargets(this->pool, targets, this->now);
    }

    GrantRequest request(Duration left = seconds(2))
    {
        GrantRequest made;
        made.key = { 1, ++this->lastNumber };
        made.deadline = this->now + left;
        made.objective = milliseconds(600);
        made.failureDomain = "a";
        return made;
    }

    // Asks, and returns the decision on this request; none while it waits.
    std::optional<Decision> ask(const GrantRequest& asked)
    {
        for (const Decision& decision : submit(this->pool, asked, this->now)) {
            if (decision.key == asked.key)
                return decision;
        }
        return std::nullopt;
    }

    // Teaches the pool what answers usually take.
    void learn(Duration latency, unsigned answers = 40)
    {
        for (unsigned count = 0; count < answers; ++count)
            recordLatency(this->pool.latency, latency);
    }
};

}
