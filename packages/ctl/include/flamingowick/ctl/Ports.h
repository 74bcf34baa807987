#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/platform/Port.h"

#include <functional>
#include <string>
#include <string_view>

// What the commands need from outside, as functions that a test replaces by fakes.
namespace flamingowick::ctl {

// What a daemon's administration API answered.
struct DaemonAnswer {
    // HTTP status; 0 when there was no whole answer.
    unsigned status { 0 };
    std::string body;
    // What went wrong; empty on an answer.
    std::string error;
};

struct Ports {
    // Makes one call at the platform and waits for its only result. Watches are not made this way.
    std::function<platform::Result(const platform::Call&)> callPlatform;
    // Gets a path, such as "/status", from the daemon whose administration API listens at address.
    std::function<DaemonAnswer(std::string_view address, std::string_view path)> getFromDaemon;
    // Waits; in a test, advances the clock.
    std::function<void(Duration)> pause;
};

}
