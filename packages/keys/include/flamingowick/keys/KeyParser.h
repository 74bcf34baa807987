#pragma once

#include "flamingowick/keys/RangeRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// What can be read from the text of an idempotency key.
namespace flamingowick::keys {

// Ranges into which each service's keys are divided.
constexpr std::uint32_t defaultRangesPerService = 16;

// A key that a daemon has issued and that only this incarnation of it may run.
struct IssuedKey {
    DaemonId issuer;
    std::uint64_t counter { 0 };
    std::uint64_t check { 0 };

    bool operator==(const IssuedKey&) const = default;
};

// Returns the range that a key of a service belongs to; the same in every process. ranges must not
// be 0. May throw std::bad_alloc; linear in the length of the texts.
RangeId rangeOf(std::string_view service, std::string_view key, std::uint32_t ranges);

// Returns the milliseconds since the Unix epoch that a UUIDv7 in its usual 36 characters carries, or
// nothing for any other text. Never throws.
std::optional<std::int64_t> uuidV7Milliseconds(std::string_view key) noexcept;

// Returns the check by which an issuer knows its own keys. secret is known to the issuer alone. May
// throw std::bad_alloc.
std::uint64_t issuedKeyCheck(const DaemonId& issuer, std::uint64_t counter, std::uint64_t secret);

// Returns "fw1-<vm>-<incarnation>-<counter>-<check>". May throw std::bad_alloc.
std::string formatIssuedKey(const IssuedKey&);

// Reads the form above, or returns nothing for any other text. The check is read and not compared.
// May throw std::bad_alloc.
std::optional<IssuedKey> parseIssuedKey(std::string_view key);

}
