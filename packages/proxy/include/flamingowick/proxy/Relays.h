#pragma once

#include "flamingowick/proxy/Fleet.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Which daemons of a failure domain are its relays: they watch the store and pass its state on to the others. Daemons that know
// the same members agree on them. Deterministic, no I/O.
namespace flamingowick::proxy {

struct RelayLimits {
    // Relays that each follower polls, and the number of daemons of a failure domain for which there is one relay; a
    // domain has at least as many relays as a follower polls.
    std::size_t followed { 2 };
    std::size_t daemonsPerRelay { 32 };
};

// Returns the relays for daemons of a failure domain, the preferred ones first: those with the broadest links among the
// daemons that state theirs, or, while there are too few of these, those that a hash of their names puts first. Where the
// domain has no member that can be a relay, they are chosen from all domains. Linear in the members.
std::vector<std::string> relaysForDomain(Fleet&, std::string_view failureDomain, const RelayLimits&);

// Returns the relay that a daemon which is a relay itself follows, so that it learns also what the store has told it in a response that was
// lost: another one of its failure domain or, where it has none, one of the next domain. Empty if there is no other relay. Linear in
// the members.
std::optional<std::string> relayForRelay(Fleet&, std::string_view failureDomain, const RelayLimits&);

// Returns whether daemons of a release that knows no links, if there are any, follow this daemon: they choose by the hash
// alone. Linear in the members.
bool isRelayOfEarlierRelease(Fleet&, std::string_view failureDomain, const RelayLimits&);

}
