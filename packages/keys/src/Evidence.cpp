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

        // Dates the takeovers anew after the wall clock was found behind by so much.
        void dateTakeoversLater(State& state, std::int64_t behindMs)
        {
            for (auto& item : state.holdings) {
                Holding& holding = item.second;
                if (holding.unknownUntil && holding.freshAfterWallMs < std::numeric_limits<std::int64_t>::max() - behindMs)
                    holding.freshAfterWallMs += behindMs;
            }
        }

        void correctWall(State& state, std::int64_t behindMs)
        {
            // What peers had shown of it has been taken into account.
            std::int64_t unknown = std::max<std::int64_t>(behindMs - state.wall.peerAheadMs, 0);
            dateTakeoversLater(state, unknown);
            state.wall.peerAheadMs = std::max<std::int64_t>(state.wall.peerAheadMs - behindMs, 0);
        }

    }

    void observePeerWall(Context& context, std::int64_t peerWallMs)
    {
        State& state = context.state;
        std::int64_t ahead = peerWallMs - wallNow(state, context.now);
        if (!state.wall.known || ahead <= state.wall.peerAheadMs)
            return;
        Duration jump = std::chrono::milliseconds(ahead - state.wall.peerAheadMs);
        if (jump > state.limits.suspendLimit)
            state.stampFloor = context.now;
        dateTakeoversLater(state, ahead - state.wall.peerAheadMs);
        state.wall.peerAheadMs = ahead;
    }

    std::int64_t latestKeyTimeMs(const State& state, TimePoint now) noexcept
    {
        if (!state.wall.known)
            return std::numeric_limits<std::int64_t>::max();
        return wallNow(state, now) + state.wall.peerAheadMs;
    }

    void observeWall(Context& context, const WallReading& reading)
    {
        WallClock& wall = context.state.wall;
        bool late = wall.known && reading.readAt < wall.at;
        if (late || reading.width > context.state.limits.maxReadingWidth)
            return;
        std::int64_t expected = wallNow(context.state, reading.readAt);
        Duration ahead = std::chrono::milliseconds(reading.wallMs - expected);
        if (wall.known && ahead > context.state.limits.suspendLimit)
            context.state.stampFloor = context.now;
        if (wall.known && ahead > Duration(0))
            correctWall(context.state, reading.wallMs - expected);
        wall.wallMs = wall.known ? std::max(expected, reading.wallMs) : reading.wallMs;
        wall.at = reading.readAt;
        wall.known = true;
    }

    std::int64_t wallNow(const State& state, TimePoint now) noexcept
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

    OwnerEvidence evidenceOf(const State& state, const DaemonId& owner, TimePoint now)
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

    std::int64_t oldestKeptMs(const State& state, const std::string& service, TimePoint now)
    {
        Duration limit = retentionOf(state, service) - clockBoundOf(state, service);
        return wallNow(state, now) - std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    }

    void changePolicy(Context& context, const PolicyChanged& event)
    {
        State& state = context.state;
        std::int64_t kept = oldestKeptMs(state, event.service, context.now);
        for (auto& [id, holding] : state.holdings) {
            if (id.service == event.service)
                holding.oldestUsableMs = std::max(holding.oldestUsableMs, kept);
        }
        bool first = !state.policies.contains(event.service);
        Duration before = retentionOf(state, event.service);
        state.policies[event.service] = event.policy;
        Duration after = retentionOf(state, event.service);
        auto [shortest, added] = state.shortestRetention.try_emplace(event.service, first ? after : before);
        shortest->second = std::min(shortest->second, after);
        // What was entered under the shorter retention must outlive the age to which keys now run.
        if (after <= before)
            return;
        extendExpiries(state.table, event.service, after - before);
        for (auto& [id, holding] : state.holdings) {
            if (id.service == event.service && holding.unknownUntil)
                *holding.unknownUntil += after - before;
        }
    }

    std::chrono::seconds retryAfter(Duration duration) noexcept
    {
        return std::max(std::chrono::ceil<std::chrono::seconds>(duration), std::chrono::seconds(1));
    }

}

}
