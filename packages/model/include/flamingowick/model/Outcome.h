#pragma once

#include <cstdint>
#include <string_view>

// What the fleet can truthfully say of a request that it answers.
namespace flamingowick {

enum class Outcome : std::uint8_t {
    // A target answered; the answer is the target's own.
    Answered,
    // No byte of the request was handed to any target connection, and none will be.
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
