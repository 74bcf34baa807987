#pragma once

#include <cstdint>
#include <string>

// Classifies the end of an HTTP exchange with the object store.
namespace flamingowick::platform {

// How one HTTP exchange ended.
struct Exchange {
    // Whether the call changes stored data.
    bool write { false };
    // Whether any byte of the request was written to a connection.
    bool sent { false };
    // Whether a complete response was received.
    bool answered { false };
    // HTTP status of the response; 0 when no status line was received.
    unsigned status { 0 };
    // Error message for logs; empty when a response was received.
    std::string error;
};

enum class Verdict : std::uint8_t {
    Done,
    NotFound,
    Conflict,
    // The store no longer keeps the changes after the version that a watch requested.
    Expired,
    Rejected,
    // The write may or may not have taken effect.
    Unknown,
    // The call had no effect, and the store gave no usable response or asked to slow down.
    Unavailable,
};

// Returns the verdict on an exchange. A write that was sent is Unknown unless the response says whether it took effect.
// Never throws.
Verdict judge(const Exchange&) noexcept;

}
