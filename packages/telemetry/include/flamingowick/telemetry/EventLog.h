#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

// Structured log lines: one JSON object a line on a file descriptor, bounded in number and never
// blocking. Lines that don't fit are left out and counted.
namespace flamingowick::telemetry {

// The fields of one line. Values are escaped; names must not need it.
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

enum class Weight : std::uint8_t {
    // About one request: counted against the bound of lines a second.
    Request,
    // About the process or what it believes: counted against a bound of its own.
    Process,
};

// Not safe from several threads at once.
class EventLog {
public:
    // Writes to the descriptor, which stays open while the log lives. linesPerSecond bounds each
    // weight by itself. origin names the VM in each line; empty: none does.
    EventLog(int descriptor, unsigned linesPerSecond, std::string_view origin = {});

    void setLinesPerSecond(unsigned);

    // Adds a line with wall-clock time, part and event. Never throws, never blocks.
    void write(Weight, std::string_view part, std::string_view event, const EventFields&) noexcept;

    // Writes what is buffered, as far as the descriptor takes it without blocking; the rest is left
    // out and counted once the buffer is full. Never throws.
    void flush() noexcept;

    bool empty() const noexcept { return this->buffer.empty(); }

    // Lines left out since the start, for either reason.
    std::uint64_t leftOut() const noexcept { return this->totalLeftOut; }

private:
    struct Allowance {
        double tokens { 0 };
        TimePoint at;
    };

    bool allowed(Allowance&) noexcept;
    void append(std::string_view part, std::string_view event, std::string_view fields);
    void reportLeftOut();

    int descriptor;
    std::string originField;
    double linesPerSecond;
    Allowance requestLines;
    Allowance processLines;
    std::string buffer;
    std::uint64_t unreported { 0 };
    TimePoint reportedAt;
    std::uint64_t totalLeftOut { 0 };
};

}
