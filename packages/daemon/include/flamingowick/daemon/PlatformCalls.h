#pragma once

#include "flamingowick/platform/Port.h"

#include <functional>
#include <unordered_map>

// Numbers the core's calls to the platform and brings each result to who made the call.
namespace flamingowick::daemon {

using PlatformAnswer = std::function<void(platform::Result&)>;

class PlatformCalls {
public:
    explicit PlatformCalls(std::function<bool(platform::Call)> submit);

    // Makes a call. onResult is called for each of its results: once, but for a watch. A call that is
    // not taken in ends in Unavailable at once. Returns the call's id.
    template <typename Call>
    platform::CallId make(Call call, PlatformAnswer onResult)
    {
        call.id = ++this->lastId;
        platform::CallId id = call.id;
        this->start(id, platform::Call(std::move(call)), std::move(onResult));
        return id;
    }

    // Ends a watch; its answers are no longer passed on.
    void stopWatch(platform::CallId);

    // Takes in a result of the adapter. Results of calls that ended are ignored.
    void take(platform::Result&);

private:
    void start(platform::CallId, platform::Call, PlatformAnswer);

    std::function<bool(platform::Call)> submit;
    std::unordered_map<platform::CallId, PlatformAnswer> waiting;
    platform::CallId lastId { 0 };
};

}
