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

    // Lines wait here while the descriptor takes none; past it they are left out.
    constexpr std::size_t maxBufferedBytes = 64U << 10U;
    // Under load every other line would be one about lines left out.
    constexpr Duration reportInterval { std::chrono::seconds(1) };
    // Seconds whose lines may come at once.
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
                // Bytes that may be no UTF-8 are shown as the code point of their value.
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
    this->requestLines = { this->linesPerSecond * burstSeconds, Clock::now() };
    this->processLines = this->requestLines;
    this->reportedAt = Clock::now();
}

void EventLog::setLinesPerSecond(unsigned lines)
{
    this->linesPerSecond = lines;
}

bool EventLog::allowed(Allowance& allowance) noexcept
{
    const TimePoint now = Clock::now();
    const double earned = std::chrono::duration<double>(now - allowance.at).count() * this->linesPerSecond;
    allowance.tokens = std::min(allowance.tokens + earned, this->linesPerSecond * burstSeconds);
    allowance.at = now;
    if (allowance.tokens < 1)
        return false;
    allowance.tokens -= 1;
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

void EventLog::reportLeftOut()
{
    const auto count = static_cast<std::int64_t>(this->unreported);
    this->unreported = 0;
    this->reportedAt = Clock::now();
    this->append("log", "lines-left-out", EventFields().number("count", count).json());
}

void EventLog::write(Weight weight, std::string_view part, std::string_view event, const EventFields& fields) noexcept
{
    if (!this->allowed(weight == Weight::Request ? this->requestLines : this->processLines) || this->buffer.size() > maxBufferedBytes) {
        ++this->unreported;
        ++this->totalLeftOut;
        return;
    }
    try {
        if (this->unreported > 0 && Clock::now() - this->reportedAt >= reportInterval)
            this->reportLeftOut();
        this->append(part, event, fields.json());
    } catch (const std::exception&) {
        // Without memory for a line the process goes on without it.
        ++this->totalLeftOut;
    }
    if (this->buffer.size() >= PIPE_BUF)
        this->flush();
}

void EventLog::flush() noexcept
{
    std::size_t written = 0;
    while (written < this->buffer.size()) {
        // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
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
