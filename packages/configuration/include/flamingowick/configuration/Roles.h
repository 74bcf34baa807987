#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Which daemons do which work, by rendezvous hashing over the live members. Daemons that know
// different members may both take a role, or leave it until their views agree; safety doesn't depend
// on it.
namespace flamingowick::configuration {

constexpr std::size_t watchersPerFailureDomain = 2;

struct Member {
    std::string vm;
    std::string failureDomain;

    bool operator==(const Member&) const = default;
};

// Returns the VMs that watch the store, failure domain by failure domain in alphabetical order.
// O(n log n) in the members; may throw std::bad_alloc.
std::vector<std::string> watchersOf(std::span<const Member>);

// Returns whether a VM is one of its failure domain's watchers. Costs as watchersOf.
bool isWatcher(std::span<const Member>, std::string_view vm);

// Returns a watcher's place in the order in which watchers accept changes of a service, 0 first;
// nothing for a VM that is no watcher. O(w log w) in the watchers; may throw std::bad_alloc.
std::optional<std::size_t> acceptorRank(std::string_view service, std::span<const std::string> watchers, std::string_view vm);

// Returns the VM that writes the status of a failure domain, empty when it has no members. Costs as
// watchersOf.
std::string statusWriterOf(std::span<const Member>, std::string_view failureDomain);

}
