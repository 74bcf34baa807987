#pragma once

#include "flamingowick/configuration/Events.h"
#include "flamingowick/configuration/Policy.h"
#include "flamingowick/configuration/State.h"

#include <string>
#include <vector>

// What the parts of the state machine share while one event is handled.
namespace flamingowick::configuration::detail {

struct Context {
    State& state;
    const Policy& policy;
    TimePoint now;
    std::vector<Action> actions;
    // Revisions learned in this event, to be announced at its end.
    std::vector<DocumentRevision> learned;
};

// Returns a number below bound, which must be positive. Never throws.
std::size_t randomBelow(RandomSource&, std::size_t bound) noexcept;

// Holds a document if it supersedes what is held, puts it in force and notes it for announcement.
// Returns whether it was news. Throws InvariantViolation as handle() does.
bool learn(Context&, const AcceptedDocument&);

}
