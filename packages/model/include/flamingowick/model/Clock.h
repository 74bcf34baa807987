#pragma once

#include <chrono>

// The clock that every part of the system reads.
namespace flamingowick {

using Duration = std::chrono::nanoseconds;

// A steady clock in the shape that the standard library and Asio timers expect. It follows the
// machine's steady clock until a test pauses it; then it stands still and moves only by advance().
struct Clock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock, duration>;
    static constexpr bool is_steady = true;

    // Returns the present time. Never throws; constant time; safe from any thread.
    static time_point now() noexcept;

    // Stops the clock where it stands. Calling it twice has no further effect.
    static void pause() noexcept;

    // Moves a paused clock forward by step, which must not be negative.
    static void advance(Duration step) noexcept;

    // Lets a paused clock follow the machine's clock again, from the time at which it stands.
    static void resume() noexcept;
};

using TimePoint = Clock::time_point;

// Returns milliseconds since the Unix epoch by the machine's wall clock, for records that people
// read and for keys that carry their time. Never used to order events.
std::int64_t wallClockMilliseconds() noexcept;

}
