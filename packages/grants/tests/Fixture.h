#pragma once

#include "flamingowick/grants/TargetPool.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace flamingowick::grants {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A pool on simulated time.
struct PoolFixture {
    TargetPool pool;
    TimePoint now { seconds(1000) };
    std::uint64_t lastAttemptNumber { 0 };

    void listTargets(unsigned count, unsigned slots = 2)
    {
        std::vector<ListedTarget> targets;
        for (unsigned index = 0; index < count; ++index)
            targets.push_back({ "t" + std::to_string(index), "10.0.0.1:" + std::to_string(8000 + index), "a", slots, false, Duration::zero() });
        setTargets(this->pool, targets, this->now);
    }

    GrantRequest makeRequest(Duration timeLeft = seconds(2))
    {
        GrantRequest request;
        request.key = { 1, ++this->lastAttemptNumber };
        request.deadline = this->now + timeLeft;
        request.objective = milliseconds(600);
        request.failureDomain = "a";
        return request;
    }

    // Submits the request and returns the decision on it, or none when it is queued.
    std::optional<Decision> decide(const GrantRequest& request)
    {
        for (const Decision& decision : submit(this->pool, request, this->now)) {
            if (decision.key == request.key)
                return decision;
        }
        return std::nullopt;
    }

    // Records the given number of answers of this latency.
    void recordLatencies(Duration latency, unsigned answers = 40)
    {
        for (unsigned count = 0; count < answers; ++count)
            recordLatency(this->pool.latency, latency);
    }
};

}
