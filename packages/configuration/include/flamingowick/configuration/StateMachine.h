#pragma once

#include "flamingowick/configuration/Events.h"
#include "flamingowick/configuration/Policy.h"
#include "flamingowick/configuration/State.h"

#include <string_view>
#include <vector>

// How documents get in force in one daemon, and stay.
namespace flamingowick::configuration {

// Makes the state of a daemon that starts. The seed feeds its choice of peers. May throw
// std::bad_alloc.
State makeState(std::string_view vm, std::string_view failureDomain, std::uint64_t incarnation, std::uint64_t seed, TimePoint now);

// Takes one event in and returns what is to be done, in order. Events may come late, twice or out of
// order. Costs O(log n) in the documents held, save MembersChanged, WatchListed and digest messages,
// which cost what they carry. Throws InvariantViolation if a document would go back to an older
// version, and std::bad_alloc.
std::vector<Action> handle(State&, const Policy&, const Event&, TimePoint now);

// Returns the document held for a service, or null. Never throws.
const HeldDocument* findHeld(const State&, std::string_view service) noexcept;

}
