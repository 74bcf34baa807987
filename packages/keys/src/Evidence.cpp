#include "flamingowick/keys/detail/Parts.h"

#include <algorithm>
#include <limits>

namespace flamingowick::keys {

Duration retentionOf(const State& state, const std::string& service)
{
    auto policy = state.policies.find(service);
    Duration stated = policy == state.policies.end() ? KeyPolicy().retention : policy->second.retention;
    return std::max(stated, 2 * state.limits.longestFlight);
}

namespace detail {

    namespace {

        // Moves the times of past takeovers later by the amount that the wall clock was found to be behind.
        void postponeTakeoverTimes(State& state, std::int64_t behindMs)
        {
            for (auto& item : state.holdings) {
                Holding& holding = item.second;
                if (holding.unknownUntil && holding.freshAfterWallMs < std::numeric_limits<std::int64_t>::max() - behindMs)
                    holding.freshAfterWallMs += behindMs;
            }
        }

        void applyWallClockJump(State& state, std::int64_t behindMs)
        {
            // observePeerWallClock has already accounted for peerAheadMs of the jump.
            std::int64_t unaccountedMs = std::max<std::int64_t>(behindMs - state.wall.peerAheadMs, 0);
            postponeTakeoverTimes(state, unaccountedMs);
            state.wall.peerAheadMs = std::max<std::int64_t>(state.wall.peerAheadMs - behindMs, 0);
        }

    }

    void observePeerWallClock(Context& context, std::int64_t peerWallMs)
    {
        State& state = context.state;
        std::int64_t ahead = peerWallMs - wallClockNowMs(state, context.now);
        if (!state.wall.known || ahead <= state.wall.peerAheadMs)
            return;
        Duration jump = std::chrono::milliseconds(ahead - state.wall.peerAheadMs);
        if (jump > state.limits.suspendLimit)
            state.stampFloor = context.now;
        postponeTakeoverTimes(state, ahead - state.wall.peerAheadMs);
        state.wall.peerAheadMs = ahead;
    }

    std::int64_t latestKeyTimeMs(const State& state, TimePoint now) noexcept
    {
        if (!state.wall.known)
            return std::numeric_limits<std::int64_t>::max();
        return wallClockNowMs(state, now) + state.wall.peerAheadMs;
    }

    void observeWallClock(Context& context, const WallReading& reading)
    {
        WallClock& wall = context.state.wall;
        bool late = wall.known && reading.readAt < wall.at;
        if (late || reading.width > context.state.limits.maxReadingWidth)
            return;
        std::int64_t expected = wallClockNowMs(context.state, reading.readAt);
        Duration ahead = std::chrono::milliseconds(reading.wallMs - expected);
        if (wall.known && ahead > context.state.limits.suspendLimit)
            context.state.stampFloor = context.now;
        if (wall.known && ahead > Duration(0))
            applyWallClockJump(context.state, reading.wallMs - expected);
        wall.wallMs = wall.known ? std::max(expected, reading.wallMs) : reading.wallMs;
        wall.at = reading.readAt;
        wall.known = true;
    }

    std::int64_t wallClockNowMs(const State& state, TimePoint now) noexcept
    {
        Duration passed = std::max(now - state.wall.at, Duration(0));
        return state.wall.wallMs + std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
    }

    bool isProvenDead(const State& state, const DaemonId& daemon)
    {
        if (daemon.vm == state.self.vm && daemon.incarnation < state.self.incarnation)
            return true;
        auto proven = state.provenDead.find(daemon.vm);
        return proven != state.provenDead.end() && daemon.incarnation <= proven->second;
    }

    OwnerEvidence ownerEvidenceFor(const State& state, const DaemonId& owner, TimePoint now)
    {
        OwnerEvidence evidence;
        evidence.provenDead = isProvenDead(state, owner);
        auto stamps = state.entry.stamps.find(owner.vm);
        if (stamps != state.entry.stamps.end() && stamps->second.incarnation == owner.incarnation)
            evidence.silence = now - stamps->second.heardAt;
        return evidence;
    }

    Duration clockBoundOf(const State& state, const std::string& service)
    {
        auto policy = state.policies.find(service);
        return policy == state.policies.end() ? KeyPolicy().clockBound : policy->second.clockBound;
    }

    std::int64_t oldestRetainedKeyTimeMs(const State& state, const std::string& service, TimePoint now)
    {
        Duration limit = retentionOf(state, service) - clockBoundOf(state, service);
        return wallClockNowMs(state, now) - std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    }

    void applyPolicy(Context& context, const PolicyChanged& event)
    {
        State& state = context.state;
        std::int64_t oldestRetained = oldestRetainedKeyTimeMs(state, event.service, context.now);
        for (auto& [id, holding] : state.holdings) {
            if (id.service == event.service)
                holding.oldestUsableMs = std::max(holding.oldestUsableMs, oldestRetained);
        }
        bool first = !state.policies.contains(event.service);
        Duration before = retentionOf(state, event.service);
        state.policies[event.service] = event.policy;
        Duration after = retentionOf(state, event.service);
        auto [shortest, added] = state.shortestRetention.try_emplace(event.service, first ? after : before);
        shortest->second = std::min(shortest->second, after);
        // Keys may now be resent up to the longer retention, so entries made under the shorter one must be retained as
        // long.
        if (after <= before)
            return;
        extendExpiries(state.table, event.service, after - before);
        for (auto& [id, holding] : state.holdings) {
            if (id.service == event.service && holding.unknownUntil)
                *holding.unknownUntil += after - before;
        }
    }

    std::chrono::seconds retryAfterSeconds(Duration duration) noexcept
    {
        return std::max(std::chrono::ceil<std::chrono::seconds>(duration), std::chrono::seconds(1));
    }

}

}
