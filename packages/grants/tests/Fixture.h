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
        request.attemptId = { 1, ++this->lastAttemptNumber };
        request.deadline = this->now + timeLeft;
        request.latencyObjective = milliseconds(600);
        request.failureDomain = "a";
        request.earnsRetryCredit = true;
        return request;
    }

    GrantRequest makeRetry()
    {
        GrantRequest request = this->makeRequest();
        request.isRetry = true;
        request.earnsRetryCredit = false;
        return request;
    }

    // Submits the request and returns the decision on it, or none when it is queued.
    std::optional<Decision> decide(const GrantRequest& request)
    {
        for (const Decision& decision : requestGrant(this->pool, request, this->now)) {
            if (decision.attemptId == request.attemptId)
                return decision;
        }
        return std::nullopt;
    }

    // Records the given number of responses of this latency.
    void recordLatencies(Duration latency, unsigned responses = 40)
    {
        for (unsigned count = 0; count < responses; ++count)
            recordLatency(this->pool.overallLatency, latency);
    }
};

}
