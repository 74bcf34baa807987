#pragma once

#include "flamingowick/model/Clock.h"

// Keeps the requests granted to one target within the rate that the target has named, by a token bucket: each request takes
// one token, and tokens arrive at the rate.
namespace flamingowick::grants {

struct RequestLimit {
    // Requests per second.
    double perSecond { 0 };
    double tokens { 0 };
    TimePoint updatedAt;
};

// Returns a limit whose bucket is empty, because requests sent before it was known may have used it up. The rate must be
// positive. Never throws.
RequestLimit makeRequestLimit(double perSecond, TimePoint now) noexcept;

// Changes the rate, which must be positive. Tokens that the bucket holds stay, up to its new capacity. Never throws.
void setRate(RequestLimit&, double perSecond, TimePoint now) noexcept;

// Returns whether a request may be granted now. Never throws.
bool hasToken(const RequestLimit&, TimePoint now) noexcept;

// Takes the token of one request; of one that was granted elsewhere too, in which case there may be none. Never throws.
void takeToken(RequestLimit&, TimePoint now) noexcept;

// Returns the time until a request may be granted; zero if it may be now. Never throws.
Duration timeToToken(const RequestLimit&, TimePoint now) noexcept;

}
