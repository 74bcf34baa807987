#pragma once

#include "flamingowick/keys/KeyParser.h"
#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <deque>
#include <string>

// Issues keys that name their owner, and tells how old such a key is.
namespace flamingowick::keys {

// The first counter that was issued at or after a time.
struct IssueMark {
    std::uint64_t counter { 0 };
    TimePoint issuedAt;
};

struct IssuedKeys {
    // Random for each process; makes the check of a key hard to guess.
    std::uint64_t secret { 0 };
    std::uint64_t nextCounter { 1 };
    // One mark for each step of issueMarkStep in which keys were issued, oldest first.
    std::deque<IssueMark> marks;
};

enum class IssuedKeyAge : std::uint8_t {
    // Issued here, no longer ago than the limit.
    Usable,
    // Issued here, longer ago than the limit.
    TooOld,
    // Never issued by this incarnation.
    NotOurs,
};

constexpr Duration issueMarkStep = std::chrono::seconds(5);
constexpr Duration longestIssuedKeyLife = std::chrono::hours(24);

// Issues a fresh key in the name of issuer. May throw std::bad_alloc; amortised constant time.
std::string issueKey(IssuedKeys&, const DaemonId& issuer, TimePoint now);

// Judges a key against this issuer. The age is overestimated by at most issueMarkStep. May throw
// std::bad_alloc; logarithmic in the number of marks.
IssuedKeyAge judgeIssuedKey(const IssuedKeys&, const IssuedKey&, const DaemonId& issuer, Duration limit, TimePoint now);

}
