#include "flamingowick/health/EjectionRecord.h"

#include <algorithm>
#include <cmath>

namespace flamingowick::health {

namespace {

    constexpr unsigned maxRepeats = 16;

    StandingShare rampAt(TimePoint start, TimePoint now) noexcept
    {
        if (now >= start + rampDuration)
            return { Standing::Healthy, 1 };
        const auto elapsed = static_cast<double>((now - start).count()) / static_cast<double>(rampDuration.count());
        const auto step = std::floor(std::max(elapsed, trickleShare) * rampSteps);
        return { Standing::Ramp, step / rampSteps };
    }

}

const EjectionRecord& join(const EjectionRecord& a, const EjectionRecord& b) noexcept
{
    return a < b ? b : a;
}

TimePoint endOf(const EjectionRecord& record, const HealthPolicy& policy) noexcept
{
    return std::min(record.until, record.ejectedAt + policy.maxEjection);
}

StandingShare standingAt(const EjectionRecord& record, const HealthPolicy& policy, TimePoint now) noexcept
{
    if (record.phase == Phase::Cancelled)
        return { Standing::Healthy, 1 };
    if (record.phase == Phase::Ramp)
        return rampAt(record.changedAt, now);
    const auto end = endOf(record, policy);
    if (now < end)
        return { Standing::Ejected, 0 };
    const auto trickleEnd = end + policy.maxEjection;
    if (now < trickleEnd)
        return { Standing::Trickle, trickleShare };
    return rampAt(trickleEnd, now);
}

TimePoint evidenceStart(const EjectionRecord& record, const HealthPolicy& policy) noexcept
{
    return record.phase == Phase::Cancelled ? record.changedAt : endOf(record, policy);
}

unsigned repeatsAt(const EjectionRecord& record, const HealthPolicy& policy, TimePoint now) noexcept
{
    if (record.phase == Phase::Cancelled)
        return record.repeats;
    const auto timeSinceEnd = std::max(now - endOf(record, policy), Duration::zero());
    const auto decayInterval = std::max(policy.maxEjection, Duration(std::chrono::seconds(1)));
    const auto decayedRepeats = static_cast<std::uint64_t>(timeSinceEnd / decayInterval);
    const auto undecayedRepeats = std::min(record.repeats + 1, maxRepeats);
    return decayedRepeats >= undecayedRepeats ? 0 : undecayedRepeats - static_cast<unsigned>(decayedRepeats);
}

Duration ejectionDuration(const HealthPolicy& policy, unsigned repeats) noexcept
{
    const auto doubled = policy.baseEjection * (std::int64_t { 1 } << std::min(repeats, maxRepeats));
    return std::min(doubled, std::max(policy.maxEjection, Duration::zero()));
}

bool isSpent(const EjectionRecord& record, const HealthPolicy& policy, TimePoint now) noexcept
{
    const auto lastChange = std::max(endOf(record, policy), record.changedAt);
    const auto retention = std::max(policy.maxEjection, Duration(coarseWidth * coarseBuckets));
    return now > lastChange + retention * (record.repeats + 2);
}

}
