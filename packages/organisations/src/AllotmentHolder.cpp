#include "Split.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingowick::organisations {

namespace {

    // How long a holder without memory lends at no rate, and then at a part of it, while others may still ask another one.
    struct Caution {
        Duration quiet;
        Duration cautious;
    };
    // As the first: the daemons learn of it at different times.
    constexpr Caution newFirst { std::chrono::milliseconds(300), std::chrono::milliseconds(1000) };
    // In another's place: that one gets notices, unless it is cut off, which shows after some time.
    constexpr Caution newInPlace { std::chrono::milliseconds(150), std::chrono::milliseconds(1000) };
    // After a standstill: the one in its place learns of it at the next notice.
    constexpr Caution woken { std::chrono::milliseconds(100), std::chrono::milliseconds(400) };
    constexpr double cautiousPart = 0.5;
    // Notices that arrive so soon after a standstill were sent before its end.
    constexpr Duration staleNotices = std::chrono::milliseconds(30);
    // Part of the rate that a daemon lends in another's place, so that the rest remains for that one if it lends, too.
    constexpr double placePart = 0.8;
    // Each notice is sent twice, as some get lost.
    constexpr Duration noticePeriod = std::chrono::milliseconds(50);
    // What notices take off at most, as seconds at the rate, since those that waited while the receiver stood still are of the past.
    constexpr double noticedSeconds = 0.2;
    // Longer than a request for tokens is sent again.
    constexpr Duration replyMemory = std::chrono::milliseconds(500);
    // A daemon that lends in another's place and has not been asked for this long has been out of use.
    constexpr Duration placeMemory = std::chrono::seconds(1);
    constexpr double unmetSeconds = 0.5;
    // Keeps the delay finite that is stated while nothing can be lent.
    constexpr double leastShare = 0.01;
    constexpr Duration takeoverRetry = std::chrono::milliseconds(100);
    constexpr Duration shortestRetry = std::chrono::milliseconds(20);
    constexpr Duration idleTime = std::chrono::seconds(60);

    // Returns the seconds at the full rate that fill as much as the time between the two points.
    double fillingSeconds(const HeldAllotment& held, TimePoint from, TimePoint to)
    {
        const auto overlap = [&](TimePoint begin, TimePoint end) { return std::max(0.0, secondsOf(std::min(to, end) - std::max(from, begin))); };
        return cautiousPart * overlap(held.quietUntil, held.cautiousUntil) + overlap(std::max(held.quietUntil, held.cautiousUntil), TimePoint::max());
    }

    void beginWithout(HeldAllotment& held, const Caution& caution, TimePoint now)
    {
        held.updatedAt = now;
        held.quietUntil = now + caution.quiet;
        held.cautiousUntil = now + caution.cautious;
    }

    void refill(const AllotmentBound& bound, HeldAllotment& held, double share, TimePoint now)
    {
        const double rate = held.allotment.ratePerSecond * std::clamp(share, 0.0, 1.0);
        const double depth = tokenDepth(bound, held.allotment);
        held.tokens = std::min(depth, held.tokens + rate * fillingSeconds(held, held.updatedAt, now));
        held.updatedAt = std::max(held.updatedAt, now);
        held.unmet *= std::exp(-secondsOf(std::max(Duration { 0 }, now - held.unmetUpdatedAt)) / unmetSeconds);
        held.unmetUpdatedAt = now;
        if (now - held.aheadPeriodAt >= tokenLease) {
            held.aheadBefore = now - held.aheadPeriodAt < 2 * tokenLease ? held.aheadNow : 0;
            held.aheadNow = 0;
            held.aheadPeriodAt = now;
        }
    }

    // Begins to lend in another daemon's place again. What was lent before counts: tokens come back so slowly in between that
    // a daemon that does so often lends no more than the bound has room for.
    void takePlace(const AllotmentBound& bound, HeldAllotment& held, TimePoint now)
    {
        const double begin = takeoverTokens(bound, held.allotment);
        held.tokens = std::min(begin, held.tokens + begin * secondsOf(now - held.updatedAt) / (2 * secondsOf(bound.window)));
        beginWithout(held, newInPlace, now);
    }

    // Returns the tokens to lend ahead: only of the upper half of the bucket, and only as many as the bound has room for.
    unsigned lendAhead(const AllotmentBound& bound, HeldAllotment& held, unsigned wanted)
    {
        const double room = aheadPart * spareOf(bound, held.allotment) - held.aheadNow - held.aheadBefore;
        const double upper = held.tokens - tokenDepth(bound, held.allotment) / 2;
        const double lent = std::floor(std::min({ static_cast<double>(wanted), room, upper }));
        if (lent < 1)
            return 0;
        held.tokens -= lent;
        held.aheadNow += lent;
        return static_cast<unsigned>(lent);
    }

}

double tokenDepth(const AllotmentBound& bound, const Allotment& allotment)
{
    return std::max(1.0, allotment.burst + depthPart * spareOf(bound, allotment));
}

double takeoverTokens(const AllotmentBound& bound, const Allotment& allotment)
{
    return std::min(tokenDepth(bound, allotment), takeoverPart * spareOf(bound, allotment));
}

void loseMemory(AllotmentHolder& holder, TimePoint now)
{
    for (auto& [name, held] : holder.held) {
        held.tokens = std::min(held.tokens, takeoverTokens(holder.bound, held.allotment));
        beginWithout(held, woken, now);
        held.wokenAt = now;
    }
    holder.unchangedSince.reset();
}

TokenReply lend(
    AllotmentHolder& holder, const Allotment& allotment, const TokenRequest& request, bool fleetStarting, TimePoint now, double share, bool isInPlace)
{
    TokenReply reply { .number = request.number, .organisation = request.organisation, .lease = tokenLease };
    if (allotment.ratePerSecond <= 0) {
        reply.lent = request.needed + request.ahead;
        return reply;
    }
    const AllotmentBound& bound = holder.bound;
    const auto [found, isNew] = holder.held.try_emplace(request.organisation);
    HeldAllotment& held = found->second;
    if (isNew) {
        held.allotment = allotment;
        held.updatedAt = held.lastAskedAt = now;
        const double depth = tokenDepth(bound, allotment);
        const bool idle = holder.unchangedSince && secondsOf(now - *holder.unchangedSince) > secondsOf(bound.window) + depth / allotment.ratePerSecond;
        // In the place of another daemon nothing is known of what that one has lent.
        const bool unused = !isInPlace && (fleetStarting || idle);
        held.tokens = unused ? depth : takeoverTokens(bound, allotment);
        if (!unused)
            beginWithout(held, isInPlace ? newInPlace : newFirst, now);
    }
    if (isInPlace)
        share *= placePart;
    if (held.unknownSince) {
        held.tokens = std::min(held.tokens, takeoverTokens(bound, held.allotment));
        beginWithout(held, newFirst, *std::exchange(held.unknownSince, std::nullopt));
    }
    if (isInPlace && now - held.lastAskedAt > placeMemory)
        takePlace(bound, held, now);
    refill(bound, held, share, now);
    held.allotment = allotment;
    held.lastAskedAt = now;

    while (!held.replies.empty() && now - held.replies.front().at > replyMemory)
        held.replies.pop_front();
    const auto again = request.number ? std::ranges::find(held.replies, request.number, &RecentReply::number) : held.replies.end();
    if (again != held.replies.end()) {
        reply.lent = again->lent;
        reply.lease = again->lease;
        reply.retryAfter = again->retryAfter;
        return reply;
    }

    if (request.number && !request.needed && !request.ahead) {
        if (now - held.wokenAt >= staleNotices)
            held.tokens = std::max(std::min(held.tokens, -noticedSeconds * allotment.ratePerSecond), held.tokens - request.returned);
        held.replies.push_back({ .number = request.number, .at = now });
        return reply;
    }
    held.tokens = std::min(tokenDepth(bound, allotment), held.tokens + request.returned);
    reply.lent = static_cast<unsigned>(std::clamp(std::floor(held.tokens), 0.0, static_cast<double>(request.needed)));
    held.tokens -= reply.lent;
    if (reply.lent < request.needed) {
        held.unmet += request.needed - reply.lent;
        const double rate = allotment.ratePerSecond * std::clamp(share, leastShare, 1.0);
        reply.retryAfter = std::clamp(durationOf(std::min(secondsOf(bound.window), std::max(1.0, held.unmet - held.tokens) / rate)), shortestRetry, bound.window);
        if (!reply.lent && held.cautiousUntil > now) {
            reply.lease = Duration { 0 };
            reply.retryAfter = std::min(reply.retryAfter, takeoverRetry);
        }
    } else {
        reply.lent += lendAhead(bound, held, request.ahead);
    }
    if (isInPlace)
        held.lentInPlace += reply.lent;
    if (request.number)
        held.replies.push_back({ request.number, reply.lent, reply.lease, reply.retryAfter, now });
    return reply;
}

std::optional<TokenRequest> noticeOfPlace(AllotmentHolder& holder, AllotmentUser& user, std::string_view organisation, TimePoint now)
{
    const auto found = holder.held.find(organisation);
    if (found == holder.held.end() || now - found->second.noticeAt < noticePeriod)
        return std::nullopt;
    HeldAllotment& held = found->second;
    held.noticeAt = now;
    // The notices show when those before this daemon can be reached again.
    const auto own = user.borrowed.find(organisation);
    if (own != user.borrowed.end())
        own->second.nextHolderUntil = std::max(own->second.nextHolderUntil, now + nextHolderTime);
    if (held.notice)
        return std::exchange(held.notice, std::nullopt);
    held.notice = TokenRequest { .number = ++user.lastNumber, .organisation = std::string(organisation), .returned = std::exchange(held.lentInPlace, 0) };
    if (own != user.borrowed.end())
        own->second.noticeNumber = held.notice->number;
    return held.notice;
}

void forgetIdle(AllotmentHolder& holder, TimePoint now)
{
    std::erase_if(holder.held, [&](const auto& entry) {
        const HeldAllotment& held = entry.second;
        const double full = secondsOf(holder.bound.window) + tokenDepth(holder.bound, held.allotment) / std::max(held.allotment.ratePerSecond, 1e-9);
        return now - held.lastAskedAt > idleTime && secondsOf(now - held.lastAskedAt) > full;
    });
}

}
