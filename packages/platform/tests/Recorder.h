#pragma once

#include "flamingowick/platform/Port.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

// Collects the results of a client, for tests.
namespace flamingowick::platform::testing {

class Recorder {
public:
    ResultHandler handler()
    {
        return [this](Result result) {
            const std::scoped_lock lock(this->mutex);
            this->results.push_back(std::move(result));
            this->changed.notify_all();
        };
    }

    // Waits until the predicate is true for the results so far. Returns false after one minute.
    template <typename Predicate>
    bool await(Predicate predicate)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::minutes(1), [this, &predicate] { return predicate(this->results); });
    }

    bool awaitCount(std::size_t count)
    {
        return this->await([count](const std::vector<Result>& results) { return results.size() >= count; });
    }

    std::vector<Result> all()
    {
        const std::scoped_lock lock(this->mutex);
        return this->results;
    }

    // Waits for the first result of a type for the call. Returns a default-constructed result after one minute.
    template <typename Typed>
    Typed awaitOne(CallId id)
    {
        Typed found;
        this->await([id, &found](const std::vector<Result>& results) {
            for (const Result& result : results) {
                if (callId(result) != id || !std::holds_alternative<Typed>(result))
                    continue;
                found = std::get<Typed>(result);
                return true;
            }
            return false;
        });
        return found;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Result> results;
};

}
