#include "flamingowick/grants/RequestLimit.h"

#include <algorithm>

namespace flamingowick::grants {

namespace {

    // Capacity of the bucket, as the time in which it fills. Requests that arrive close together use more of the limit.
    constexpr double capacitySeconds = 0.5;

    double tokensAt(const RequestLimit& limit, TimePoint now) noexcept
    {
        const double elapsed = std::chrono::duration<double>(now - limit.updatedAt).count();
        return std::min(limit.tokens + limit.perSecond * elapsed, std::max(1.0, limit.perSecond * capacitySeconds));
    }

}

RequestLimit makeRequestLimit(double perSecond, TimePoint now) noexcept
{
    return { perSecond, 0, now };
}

void setRate(RequestLimit& limit, double perSecond, TimePoint now) noexcept
{
    limit.tokens = tokensAt(limit, now);
    limit.updatedAt = now;
    limit.perSecond = perSecond;
    limit.tokens = tokensAt(limit, now);
}

bool hasToken(const RequestLimit& limit, TimePoint now) noexcept
{
    return tokensAt(limit, now) >= 1;
}

void takeToken(RequestLimit& limit, TimePoint now) noexcept
{
    limit.tokens = std::max(0.0, tokensAt(limit, now) - 1);
    limit.updatedAt = now;
}

Duration timeToToken(const RequestLimit& limit, TimePoint now) noexcept
{
    const double missing = std::max(0.0, 1 - tokensAt(limit, now));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / limit.perSecond));
}

}
