#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

// A structured log: one JSON object per line on a file descriptor, rate-limited and non-blocking. Lines over the limit
// are dropped and counted.
namespace flamingowick::telemetry {

// The fields of one line. Values are escaped; names are not, so they must have no characters that JSON escapes.
class EventFields {
public:
    EventFields& text(std::string_view name, std::string_view value);
    EventFields& number(std::string_view name, std::int64_t value);
    EventFields& real(std::string_view name, double value);
    // Adds a duration in milliseconds.
    EventFields& milliseconds(std::string_view name, Duration);
    EventFields& flag(std::string_view name, bool value);

    std::string_view json() const noexcept { return this->buffer; }

private:
    void beginField(std::string_view name);

    std::string buffer;
};

enum class EventScope : std::uint8_t {
    // About one request.
    Request,
    // About the process or its state. Has a rate limit of its own, so that lines about requests never displace it.
    Process,
};

// Not safe from several threads at once.
class EventLog {
public:
    // Writes to the descriptor, which must stay open as long as the log exists. linesPerSecond limits the lines of
    // each scope separately. origin is the name of the VM, written into each line unless empty.
    EventLog(int descriptor, unsigned linesPerSecond, std::string_view origin = {});

    void setMaxLinesPerSecond(unsigned);

    // Adds a line with wall-clock time, part and event, or drops it when the limit of its scope or of the buffer is
    // exceeded. Never throws, never blocks.
    void write(EventScope, std::string_view part, std::string_view event, const EventFields&) noexcept;

    // Writes as much of the buffer as the descriptor accepts without blocking and keeps the rest. Never throws.
    void flush() noexcept;

    bool empty() const noexcept { return this->buffer.empty(); }

    // Returns the number of lines dropped since the start, for any reason.
    std::uint64_t droppedLines() const noexcept { return this->totalDropped; }

private:
    struct TokenBucket {
        double tokens { 0 };
        TimePoint refilledAt;
    };

    bool takeToken(TokenBucket&) noexcept;
    void append(std::string_view part, std::string_view event, std::string_view fields);
    void reportDroppedLines();

    int descriptor;
    std::string originField;
    double linesPerSecond;
    TokenBucket requestBucket;
    TokenBucket processBucket;
    std::string buffer;
    std::uint64_t unreportedDrops { 0 };
    TimePoint lastReportAt;
    std::uint64_t totalDropped { 0 };
};

}
