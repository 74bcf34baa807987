#pragma once

#include "flamingowick/ctl/Ports.h"
#include "flamingowick/ctl/Reports.h"

#include <cstdint>
#include <optional>
#include <string>

// Writes a service document to the platform under the condition that nobody else changed it, and
// waits for the fleet's verdict.
namespace flamingowick::ctl {

struct ApplyRequest {
    // For findings only.
    std::string fileName;
    std::string text;
    // The version that the platform must hold; unset takes the one that is read first.
    std::optional<std::string> expectedVersion;
    // The text that the change began from; the platform's must say the same.
    std::optional<std::string> baseText;
    // Who makes the change.
    std::string by;
    // Never used for another change.
    std::string changeId;
    // For settling a lost answer, and again for the verdict.
    Duration wait { std::chrono::seconds(6) };
};

// How the last attempt at the write ended.
enum class WriteAnswer : std::uint8_t {
    Applied,
    // Not written: the version is another, or the object is gone or new.
    Conflict,
    // May have been written, or may yet be.
    Unknown,
    Rejected,
    Unavailable,
};

// What the platform holds after an attempt.
enum class StoredState : std::uint8_t {
    NotRead,
    // It could not be read.
    Unreadable,
    // It carries our change id.
    Own,
    // At the version that it had before the first attempt.
    Unchanged,
    // There is none, as before the first attempt. Ours may have been created and removed since.
    StillAbsent,
    // Someone else's.
    Foreign,
};

struct WriteFacts {
    WriteAnswer answer { WriteAnswer::Unknown };
    // An attempt before or including the last one ended unknown.
    bool anyUnknown { false };
    StoredState stored { StoredState::NotRead };
    bool timeLeft { true };
};

enum class WriteStep : std::uint8_t {
    ReadBack,
    // Writes once more with the same condition and change id, of which one at most takes effect.
    WriteAgain,
    Applied,
    Conflict,
    Unknown,
    Refused,
    Unreachable,
};

// Returns what follows from the facts. A write that may still take effect is never called failed.
// Never throws.
WriteStep nextWriteStep(const WriteFacts&) noexcept;

// The decisions that a test may replace.
struct ApplyPolicy {
    WriteStep (*nextStep)(const WriteFacts&) noexcept { &nextWriteStep };
};

// Applies a document. Findings give a ValidateReport and nothing is written. Throws what the ports
// throw.
Report apply(const Ports&, const ApplyRequest&, const ApplyPolicy& = {});

}
