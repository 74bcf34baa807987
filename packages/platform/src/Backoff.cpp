#include "flamingowick/platform/detail/Backoff.h"

#include <algorithm>

namespace flamingowick::platform::detail {

Duration backoff(unsigned failures, Duration least, Duration greatest, std::mt19937_64& random)
{
    constexpr unsigned maxDoublings = 20;
    const unsigned doublings = std::min(failures, maxDoublings + 1) - std::min(failures, 1U);
    const Duration whole = std::min(greatest, least * (std::int64_t { 1 } << doublings));
    std::uniform_int_distribution<Duration::rep> jitter(0, whole.count() / 2);
    return whole / 2 + Duration(jitter(random));
}

}
