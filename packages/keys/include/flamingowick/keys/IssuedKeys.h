#pragma once

#include "flamingowick/keys/KeyParser.h"
#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <deque>
#include <string>

// Issues keys that name their owner, and determines the age of such a key.
namespace flamingowick::keys {

// Maps a time to the first counter that was issued at or after it.
struct IssueMark {
    std::uint64_t counter { 0 };
    TimePoint issuedAt;
};

struct IssuedKeys {
    // Random for each process, so that callers cannot guess the check value of a key that was not issued.
    std::uint64_t secret { 0 };
    std::uint64_t nextCounter { 1 };
    // One mark for each interval of issueMarkStep in which keys were issued, oldest first.
    std::deque<IssueMark> marks;
};

enum class IssuedKeyAge : std::uint8_t {
    // Issued by this incarnation, no longer ago than the limit.
    Usable,
    // Issued by this incarnation, longer ago than the limit.
    TooOld,
    // Never issued by this incarnation.
    NotOurs,
};

constexpr Duration issueMarkStep = std::chrono::seconds(5);
constexpr Duration longestIssuedKeyLife = std::chrono::hours(24);

// Issues a new key that names issuer as its owner. May throw std::bad_alloc; amortised constant time.
std::string issueKey(IssuedKeys&, const DaemonId& issuer, TimePoint now);

// Checks that a key was issued here and is no older than the limit. The age is overestimated by at most issueMarkStep.
// May throw std::bad_alloc; logarithmic in the number of marks.
IssuedKeyAge judgeIssuedKey(const IssuedKeys&, const IssuedKey&, const DaemonId& issuer, Duration limit, TimePoint now);

}
