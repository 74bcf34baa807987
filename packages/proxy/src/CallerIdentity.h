#pragma once

#include "flamingowick/organisations/KeyIndex.h"
#include "flamingowick/proxy/HttpMessage.h"
#include "flamingowick/proxy/ProxySettings.h"

#include <cstdint>
#include <string_view>

// Which organisation a request comes from, by the key that it carries. No state, no I/O.
namespace flamingowick::proxy {

enum class KeyVerdict : std::uint8_t {
    // An organisation holds the key.
    Known,
    // The request carries no key and needs none.
    NotNeeded,
    // The request carries no key, although its route isn't public.
    Absent,
    // The header is there without a key.
    Empty,
    // More than one header carries a key.
    Several,
    // No organisation holds the key, or several do.
    Unknown,
};

struct CallerIdentity {
    KeyVerdict verdict { KeyVerdict::NotNeeded };
    // Set if the key is known; valid as long as the index.
    const organisations::Organisation* organisation { nullptr };
};

// Identifies the caller of a request by its key, whose digest is all that is compared. Spaces and tabs around the key don't
// belong to it. Linear in the request's header.
CallerIdentity identifyCaller(const HttpMessage&, const HeaderNames&, const organisations::KeyIndex&, const organisations::DigestKey&, bool routeIsPublic) noexcept;

// Whether the request may go on.
bool isAdmitted(const CallerIdentity&) noexcept;

// Returns the reason for a refusal, as "unknown-key"; it doesn't contain the key.
std::string_view toString(KeyVerdict) noexcept;

}
