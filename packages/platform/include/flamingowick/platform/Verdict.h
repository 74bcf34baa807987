#pragma once

#include <cstdint>
#include <string>

// What may be concluded from how an exchange with the platform ended.
namespace flamingowick::platform {

// The facts of one exchange.
struct Exchange {
    // Whether the call changes anything at the platform.
    bool write { false };
    // Whether any byte of the call was handed to a connection.
    bool sent { false };
    // Whether a whole answer came.
    bool answered { false };
    // HTTP status of the answer.
    unsigned status { 0 };
    // What went wrong, for logs; empty on an answer.
    std::string error;
};

enum class Verdict : std::uint8_t {
    Done,
    NotFound,
    Conflict,
    // The version that a watch asked for is too old.
    Expired,
    Rejected,
    // The write may have taken effect.
    Unknown,
    // There was no answer and no effect.
    Unavailable,
};

// Concludes from the facts alone. A write that was sent and not clearly refused is Unknown. Never
// throws.
Verdict judge(const Exchange&) noexcept;

}
