#pragma once

#include "flamingowick/keys/RangeRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Parses idempotency keys, and formats those that daemons issue.
namespace flamingowick::keys {

// Number of ranges into which each service's keys are divided.
constexpr std::uint32_t defaultRangesPerService = 16;

// A key that a daemon has issued. Only the incarnation that issued it may run it.
struct IssuedKey {
    DaemonId issuer;
    std::uint64_t counter { 0 };
    std::uint64_t check { 0 };

    bool operator==(const IssuedKey&) const = default;
};

// Returns the range that a key of a service belongs to. The result is the same in every process. ranges must not
// be 0. May throw std::bad_alloc; linear in the length of the texts.
RangeId rangeOf(std::string_view service, std::string_view key, std::uint32_t ranges);

// Returns the timestamp of a UUIDv7 in its 36-character form, in milliseconds since the Unix epoch, or nothing for any
// other text. Never throws.
std::optional<std::int64_t> uuidV7Milliseconds(std::string_view key) noexcept;

// Returns the check value by which an issuer recognises its own keys. Only the issuer knows secret. May throw
// std::bad_alloc.
std::uint64_t issuedKeyCheck(const DaemonId& issuer, std::uint64_t counter, std::uint64_t secret);

// Returns "fw1-<vm>-<incarnation>-<counter>-<check>". May throw std::bad_alloc.
std::string formatIssuedKey(const IssuedKey&);

// Parses the format of formatIssuedKey, or returns nothing for any other text. The check value is not verified. May
// throw std::bad_alloc.
std::optional<IssuedKey> parseIssuedKey(std::string_view key);

}
