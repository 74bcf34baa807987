#include "flamingowick/telemetry/EventLog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <climits>
#include <ctime>

namespace flamingowick::telemetry {

namespace {

    // Lines are buffered while the descriptor accepts none; beyond this size they are dropped.
    constexpr std::size_t maxBufferedBytes = 64U << 10U;
    // Without an interval, every other line would report dropped lines under load.
    constexpr Duration dropReportInterval { std::chrono::seconds(1) };
    // Capacity of the token buckets, in seconds of their refill rate.
    constexpr double burstSeconds = 2;

    void appendEscaped(std::string& out, std::string_view text)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            if (character == '"' || character == '\\') {
                out.push_back('\\');
                out.push_back(character);
            } else if (byte < 0x20U || byte >= 0x7fU) {
                // The text may be invalid UTF-8, so each byte is written as the code point of the same value.
                out.append("\\u00");
                out.push_back(digits[byte >> 4U]);
                out.push_back(digits[byte & 15U]);
            } else {
                out.push_back(character);
            }
        }
    }

    template <typename Number>
    void appendNumber(std::string& out, Number value)
    {
        std::array<char, 32> text {};
        const auto result = std::to_chars(text.data(), text.data() + text.size(), value);
        out.append(text.data(), result.ptr);
    }

    void appendReal(std::string& out, double value)
    {
        std::array<char, 32> text {};
        const auto result = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3);
        if (result.ec == std::errc())
            out.append(text.data(), result.ptr);
        else
            out.append("null");
    }

    void appendTime(std::string& out)
    {
        const std::int64_t now = wallClockMilliseconds();
        const std::time_t seconds = now / 1000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        out.append(text.data(), size);
        std::string fraction = std::to_string(1000 + now % 1000);
        fraction.front() = '.';
        out.append(fraction).push_back('Z');
    }

}

void EventFields::beginField(std::string_view name)
{
    this->buffer.append(",\"").append(name).append("\":");
}

EventFields& EventFields::text(std::string_view name, std::string_view value)
{
    this->beginField(name);
    this->buffer.push_back('"');
    appendEscaped(this->buffer, value);
    this->buffer.push_back('"');
    return *this;
}

EventFields& EventFields::number(std::string_view name, std::int64_t value)
{
    this->beginField(name);
    appendNumber(this->buffer, value);
    return *this;
}

EventFields& EventFields::real(std::string_view name, double value)
{
    this->beginField(name);
    appendReal(this->buffer, value);
    return *this;
}

EventFields& EventFields::milliseconds(std::string_view name, Duration value)
{
    return this->number(name, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

EventFields& EventFields::flag(std::string_view name, bool value)
{
    this->beginField(name);
    this->buffer.append(value ? "true" : "false");
    return *this;
}

EventLog::EventLog(int logDescriptor, unsigned lines, std::string_view origin)
    : descriptor(logDescriptor)
    , linesPerSecond(lines)
{
    if (!origin.empty())
        this->originField = EventFields().text("vm", origin).json();
    this->requestBucket = { this->linesPerSecond * burstSeconds, Clock::now() };
    this->processBucket = this->requestBucket;
    this->lastReportAt = Clock::now();
}

void EventLog::setMaxLinesPerSecond(unsigned lines)
{
    this->linesPerSecond = lines;
}

bool EventLog::takeToken(TokenBucket& bucket) noexcept
{
    const TimePoint now = Clock::now();
    const double refill = std::chrono::duration<double>(now - bucket.refilledAt).count() * this->linesPerSecond;
    bucket.tokens = std::min(bucket.tokens + refill, this->linesPerSecond * burstSeconds);
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

void EventLog::append(std::string_view part, std::string_view event, std::string_view fields)
{
    this->buffer.append("{\"time\":\"");
    appendTime(this->buffer);
    this->buffer.push_back('"');
    this->buffer.append(this->originField).append(",\"part\":\"").append(part).append("\",\"event\":\"").append(event).push_back('"');
    this->buffer.append(fields).append("}\n");
}

void EventLog::reportDroppedLines()
{
    const auto count = static_cast<std::int64_t>(this->unreportedDrops);
    this->unreportedDrops = 0;
    this->lastReportAt = Clock::now();
    this->append("log", "lines-left-out", EventFields().number("count", count).json());
}

void EventLog::write(EventScope scope, std::string_view part, std::string_view event, const EventFields& fields) noexcept
{
    if (!this->takeToken(scope == EventScope::Request ? this->requestBucket : this->processBucket) || this->buffer.size() > maxBufferedBytes) {
        ++this->unreportedDrops;
        ++this->totalDropped;
        return;
    }
    try {
        if (this->unreportedDrops > 0 && Clock::now() - this->lastReportAt >= dropReportInterval)
            this->reportDroppedLines();
        this->append(part, event, fields.json());
    } catch (const std::exception&) {
        // Out of memory: the line is dropped and the process continues.
        ++this->totalDropped;
    }
    if (this->buffer.size() >= PIPE_BUF)
        this->flush();
}

void EventLog::flush() noexcept
{
    std::size_t written = 0;
    while (written < this->buffer.size()) {
        // A write of up to PIPE_BUF bytes doesn't block on a pipe that poll() reports as writable.
        pollfd state { this->descriptor, POLLOUT, 0 };
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            break;
        std::size_t size = std::min<std::size_t>(this->buffer.size() - written, PIPE_BUF);
        const ssize_t result = ::write(this->descriptor, this->buffer.data() + written, size);
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    this->buffer.erase(0, written);
}

}
