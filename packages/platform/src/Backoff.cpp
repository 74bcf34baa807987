#include "flamingowick/platform/detail/Backoff.h"

#include <algorithm>

namespace flamingowick::platform::detail {

Duration backoffDelay(unsigned consecutiveFailures, Duration minDelay, Duration maxDelay, std::mt19937_64& random)
{
    constexpr unsigned maxDoublings = 20;
    const unsigned doublings = std::min(consecutiveFailures, maxDoublings + 1) - std::min(consecutiveFailures, 1U);
    const Duration upperBound = std::min(maxDelay, minDelay * (std::int64_t { 1 } << doublings));
    std::uniform_int_distribution<Duration::rep> jitter(0, upperBound.count() / 2);
    return upperBound / 2 + Duration(jitter(random));
}

}
