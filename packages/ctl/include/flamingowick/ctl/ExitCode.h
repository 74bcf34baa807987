#pragma once

#include <cstdint>

// How the operators' tool ends, for automation that calls it.
namespace flamingowick::ctl {

enum class ExitCode : std::uint8_t {
    Ok = 0,
    // The platform or a daemon answered that it can't be done, or the named thing doesn't exist.
    Failure = 1,
    // The command line is wrong, or a document has findings.
    BadInput = 2,
    // Someone else changed the document; nothing was written.
    Conflict = 3,
    // The write may have taken effect, or the fleet's verdict on it was not seen in time.
    OutcomeUnknown = 4,
    // Nothing that was asked gave an answer; nothing was written.
    Unreachable = 5,
};

}
