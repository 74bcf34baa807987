#pragma once

#include <cstdint>
#include <string_view>

// What the fleet can truthfully say of a request that it answers.
namespace flamingowick {

enum class Outcome : std::uint8_t {
    // A target answered; the answer is the target's own.
    Answered,
    // No target has run the request and none will: none was handed a byte of it, or each that was has
    // stated by its documented signal that it did not run it.
    NotRun,
    // The request may have run.
    Unknown,
};

// Returns the header value: "answered", "not-run" or "unknown". Never throws.
constexpr std::string_view toString(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
