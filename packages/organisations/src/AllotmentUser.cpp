#include "Split.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingowick::organisations {

namespace {

    // A holder's reply takes a round trip of some ms; a lost datagram is sent again after these times. A daemon that is asked
    // may first have to ask another one in vain.
    constexpr unsigned sendsPerHolder = 3;
    using ResendTimes = std::array<Duration, sendsPerHolder>;
    constexpr ResendTimes firstResend { std::chrono::milliseconds(15), std::chrono::milliseconds(30), std::chrono::milliseconds(55) };
    constexpr ResendTimes nextResend { std::chrono::milliseconds(35), std::chrono::milliseconds(45), std::chrono::milliseconds(50) };
    constexpr std::array<ResendTimes, 2> resendAfter { firstResend, nextResend };
    // Daemons asked in turn before a request is decided alone.
    constexpr unsigned holdersTried = resendAfter.size();
    // Time for which no holder is asked after none has replied.
    constexpr Duration fallbackTime = std::chrono::milliseconds(250);
    // Least and greatest time between two requests for tokens of an organisation at its allotment.
    constexpr Duration shortestAskAgain = std::chrono::milliseconds(10);
    constexpr Duration longestAskAgain = std::chrono::seconds(1);
    constexpr double demandSeconds = 1;
    // A request waits this long for a token that the holder expects to have soon.
    constexpr Duration longestWait = std::chrono::milliseconds(200);
    // What an entry goes on to spend while a holder has just taken over: as much as it was lent in this time. It is whole
    // again after a window.
    constexpr double carriedSeconds = 0.25;
    // Tokens borrowed at once for another daemon.
    constexpr unsigned mostRelayed = 16;
    // Time without requests after which an organisation's state is dropped; longer than a window, for which it counts.
    constexpr Duration idleTime = std::chrono::seconds(10);
    // Part of its share of the rate that an entry spends without a holder.
    constexpr double aloneRatePart = 0.15;

    void countDemand(BorrowedTokens& own, TimePoint now)
    {
        own.demandPerSecond *= std::exp(-secondsOf(now - own.demandUpdatedAt) / demandSeconds);
        own.demandPerSecond += 1 / demandSeconds;
        own.demandUpdatedAt = now;
    }

    void dropExpired(BorrowedTokens& own, TimePoint now)
    {
        if (own.leaseEndsAt <= now)
            own.tokens = 0;
        if (own.aloneDebtUntil <= now)
            own.aloneDebt = 0;
        std::erase_if(own.pending, [&](const PendingTokenRequest& pending) { return now - pending.firstSentAt >= tokenLease; });
    }

    void addTokens(BorrowedTokens& own, double tokens, TimePoint leaseEndsAt)
    {
        if (tokens <= 0)
            return;
        own.leaseEndsAt = own.tokens > 0 ? std::min(own.leaseEndsAt, leaseEndsAt) : leaseEndsAt;
        own.tokens += tokens;
    }

    // Spends a token without a holder.
    bool spendAlone(const AllotmentUser& user, BorrowedTokens& own, TimePoint now)
    {
        const double members = std::max(1U, user.members);
        const double depth = alonePart * spareOf(user.bound, own.allotment) / members;
        own.aloneTokens = std::min(depth + 1, own.aloneTokens + aloneRatePart * own.allotment.ratePerSecond / members * secondsOf(now - own.aloneUpdatedAt));
        own.aloneUpdatedAt = now;
        if (own.aloneTokens < 1)
            return false;
        own.aloneTokens -= 1;
        own.aloneDebt += 1;
        own.aloneDebtUntil = now + user.bound.window;
        return true;
    }

    OutgoingTokenRequest ask(AllotmentUser& user, std::string_view organisation, BorrowedTokens& own, unsigned needed, TimePoint now)
    {
        if (own.nextHolderUntil <= now)
            own.holderIndex = 0;
        const auto ahead = static_cast<unsigned>(std::max(0.0, std::floor(own.demandPerSecond * secondsOf(tokenLease)) - 1));
        own.asked = TokenRequest { .number = ++user.lastNumber, .organisation = std::string(organisation), .needed = needed, .ahead = ahead };
        own.askedNumber = own.asked.number;
        own.askedAt = now;
        own.sends = 1;
        own.pending.push_back({ own.asked.number, now });
        return { own.holderIndex, own.asked };
    }

    unsigned neededBy(const BorrowedTokens& own)
    {
        return static_cast<unsigned>(own.waiting.size()) + static_cast<unsigned>(std::ceil(own.aloneDebt));
    }

    // Spreads the return of requests that are refused together over the time after which there is room.
    Duration spreadRetry(Duration retryAfter, std::uint64_t request)
    {
        return retryAfter + durationOf(secondsOf(retryAfter) * spreadOf(request));
    }

    // Adds what was decided on part of another daemon's request; the reply goes out when all of it is decided.
    void decideRelayed(AllotmentUser& user, std::uint64_t key, bool lent, Duration retryAfter, SettledSpends& settled)
    {
        const auto found = user.relayed.find(key);
        if (found == user.relayed.end())
            return;
        RelayedTokenRequest& relayed = found->second;
        relayed.lent += lent ? 1 : 0;
        relayed.retryAfter = std::max(relayed.retryAfter, retryAfter);
        if (--relayed.open > 0)
            return;
        settled.replies.push_back({ relayed.source,
            { .number = relayed.number, .organisation = relayed.organisation, .lent = relayed.lent, .lease = relayed.lent > 0 ? tokenLease : relayed.lease, .retryAfter = relayed.retryAfter } });
        user.relayed.erase(found);
    }

    void dropBefore(std::deque<TimePoint>& times, TimePoint begin)
    {
        while (!times.empty() && times.front() <= begin)
            times.pop_front();
    }

    void countSpent(const AllotmentUser& user, BorrowedTokens& own, TimePoint now)
    {
        dropBefore(own.spentAt, now - user.bound.window);
        own.spentAt.push_back(now);
    }

    void letGo(AllotmentUser& user, BorrowedTokens& own, const WaitingSpend& waiting, bool alone, TimePoint now, SettledSpends& settled)
    {
        if (waiting.isRelayed) {
            decideRelayed(user, waiting.request, true, Duration { 0 }, settled);
            return;
        }
        countSpent(user, own, now);
        settled.decisions.push_back({ .request = waiting.request, .spent = true, .alone = alone });
    }

    void refuse(AllotmentUser& user, const WaitingSpend& waiting, Duration retryAfter, bool alone, SettledSpends& settled)
    {
        if (waiting.isRelayed)
            decideRelayed(user, waiting.request, false, retryAfter, settled);
        else
            settled.decisions.push_back(
                { .request = waiting.request, .spent = false, .retryAfter = spreadRetry(std::max(retryAfter, longestAskAgain), waiting.request), .alone = alone });
    }

    // Lets the requests that wait go on, as far as there are tokens.
    void serveWaiting(AllotmentUser& user, BorrowedTokens& own, TimePoint now, SettledSpends& settled)
    {
        const auto served = std::min(own.waiting.size(), static_cast<std::size_t>(std::max(0.0, own.tokens)));
        for (std::size_t position = 0; position < served; ++position)
            letGo(user, own, own.waiting[position], false, now, settled);
        own.tokens -= static_cast<double>(served);
        own.waiting.erase(own.waiting.begin(), own.waiting.begin() + static_cast<std::ptrdiff_t>(served));
    }

    // Refuses the requests that have waited for long, the newest of those for which no token will be there soon, and those of
    // other daemons, which wait there.
    void trimWaiting(AllotmentUser& user, BorrowedTokens& own, std::size_t room, Duration retryAfter, TimePoint now, SettledSpends& settled)
    {
        std::vector<WaitingSpend> kept;
        for (const WaitingSpend& waiting : own.waiting) {
            if (!waiting.isRelayed && kept.size() < room && now - waiting.since < longestWait)
                kept.push_back(waiting);
            else
                refuse(user, waiting, retryAfter, false, settled);
        }
        own.waiting = std::move(kept);
    }

    // Lets the entry go on for a moment while the holder has just taken over; passes that on to those it relays for.
    void carryOn(AllotmentUser& user, BorrowedTokens& own, Duration retryAfter, TimePoint now, SettledSpends& settled)
    {
        std::vector<WaitingSpend> kept;
        for (const WaitingSpend& waiting : own.waiting) {
            if (!waiting.isRelayed) {
                kept.push_back(waiting);
                continue;
            }
            if (const auto found = user.relayed.find(waiting.request); found != user.relayed.end())
                found->second.lease = Duration { 0 };
            refuse(user, waiting, retryAfter, false, settled);
        }
        own.waiting = std::move(kept);
        const double most = own.lentPerSecond * carriedSeconds;
        const double part = own.carriedSince ? std::min(1.0, secondsOf(now - *own.carriedSince) / secondsOf(user.bound.window)) : 1;
        // At the first time the parts of a token add up to whole tokens on some of the entries.
        const double begin = own.carriedSince ? own.carriedTokens : spreadOf(user.lastNumber);
        own.carriedTokens = std::min(most + 1, begin + most * part);
        own.carriedSince = now;
        const double used = std::min(std::floor(own.carriedTokens), static_cast<double>(own.waiting.size()));
        own.carriedTokens -= used;
        addTokens(own, used, now + tokenLease);
    }

    // Returns how many requests may wait until the holder is asked again, for as many tokens as it has lent lately.
    std::size_t roomToWait(const BorrowedTokens& own, TimePoint now)
    {
        if (own.refusedUntil - now > longestWait)
            return 0;
        return static_cast<std::size_t>(std::max(1.0, own.lentPerSecond * secondsOf(longestWait)));
    }

    void countLent(BorrowedTokens& own, unsigned lent, TimePoint now)
    {
        own.lentPerSecond *= std::exp(-secondsOf(now - own.lentUpdatedAt) / demandSeconds);
        own.lentPerSecond += lent / demandSeconds;
        own.lentUpdatedAt = now;
    }

    void decideAlone(AllotmentUser& user, BorrowedTokens& own, SettledSpends& settled, TimePoint now)
    {
        std::size_t spent = 0;
        while (spent < own.waiting.size() && spendAlone(user, own, now))
            letGo(user, own, own.waiting[spent++], true, now, settled);
        for (std::size_t position = spent; position < own.waiting.size(); ++position)
            refuse(user, own.waiting[position], fallbackTime, true, settled);
        own.waiting.clear();
    }

    BorrowedTokens& ownTokens(AllotmentUser& user, std::string_view organisation, const Allotment& allotment, TimePoint now)
    {
        const auto found = user.borrowed.find(organisation);
        BorrowedTokens& own = found == user.borrowed.end() ? user.borrowed[std::string(organisation)] : found->second;
        if (found == user.borrowed.end()) {
            own.allotment = allotment;
            own.demandUpdatedAt = own.aloneUpdatedAt = own.lentUpdatedAt = now;
            // The parts of a token that the entries begin with add up to whole tokens on some of them.
            own.aloneTokens = alonePart * spareOf(user.bound, allotment) / std::max(1U, user.members) + spreadOf(user.lastNumber);
        }
        if (own.allotment != allotment) {
            own.allotment = allotment;
            own.tokens = 0;
            own.refusedUntil = {};
        }
        dropExpired(own, now);
        countDemand(own, now);
        return own;
    }

    // Spends a token for a request of this daemon's callers or of another daemon.
    SpendOutcome spendOne(AllotmentUser& user, std::string_view organisation, const Allotment& allotment, const WaitingSpend& waiting)
    {
        const TimePoint now = waiting.since;
        BorrowedTokens& own = ownTokens(user, organisation, allotment, now);
        if (own.waiting.empty() && own.tokens >= 1) {
            own.tokens -= 1;
            if (!waiting.isRelayed)
                countSpent(user, own, now);
            return {};
        }
        if (own.aloneUntil > now) {
            if (!waiting.isRelayed && spendAlone(user, own, now)) {
                countSpent(user, own, now);
                return {};
            }
            return { .result = SpendResult::Refused, .retryAfter = fallbackTime };
        }
        if (own.refusedUntil > now && (waiting.isRelayed || own.waiting.size() >= roomToWait(own, now)))
            return { .result = SpendResult::Refused, .retryAfter = own.refusedUntil - now };
        own.waiting.push_back(waiting);
        SpendOutcome outcome { .result = SpendResult::Waiting };
        if (!own.askedNumber && own.refusedUntil <= now)
            outcome.send = ask(user, organisation, own, neededBy(own), now);
        return outcome;
    }

}

SpendOutcome spend(AllotmentUser& user, std::string_view organisation, const Allotment& allotment, std::uint64_t request, TimePoint now)
{
    if (allotment.ratePerSecond <= 0)
        return {};
    SpendOutcome outcome = spendOne(user, organisation, allotment, { request, now });
    if (outcome.result == SpendResult::Refused)
        outcome.retryAfter = spreadRetry(std::max(outcome.retryAfter, longestAskAgain), request);
    return outcome;
}

RelayOutcome relay(AllotmentUser& user, const Allotment& allotment, const TokenRequest& request, std::uint64_t source, TimePoint now)
{
    RelayOutcome outcome;
    TokenReply reply { .number = request.number, .organisation = request.organisation, .lease = tokenLease };
    const auto isSame = [&](const auto& entry) { return entry.second.source == source && entry.second.number == request.number; };
    if (!request.number || std::ranges::any_of(user.relayed, isSame))
        return outcome;
    if (allotment.ratePerSecond <= 0) {
        reply.lent = request.needed;
        outcome.reply = reply;
        return outcome;
    }
    const std::uint64_t key = ++user.lastNumber;
    unsigned open = 0;
    for (unsigned token = 0; token < std::min(request.needed, mostRelayed); ++token) {
        const SpendOutcome spent = spendOne(user, request.organisation, allotment, { .request = key, .since = now, .isRelayed = true });
        reply.lent += spent.result == SpendResult::Spent ? 1 : 0;
        open += spent.result == SpendResult::Waiting ? 1 : 0;
        reply.retryAfter = std::max(reply.retryAfter, spent.retryAfter);
        if (spent.send)
            outcome.send = spent.send;
    }
    if (open > 0)
        user.relayed.emplace(key, RelayedTokenRequest { source, request.number, request.organisation, open, reply.lent, tokenLease, reply.retryAfter });
    else
        outcome.reply = reply;
    return outcome;
}

bool beginRun(AllotmentUser& user, std::string_view organisation, TimePoint now)
{
    const auto found = user.borrowed.find(organisation);
    if (found == user.borrowed.end())
        return true;
    BorrowedTokens& own = found->second;
    dropBefore(own.spentAt, now - user.bound.window);
    dropBefore(own.beganAt, now - user.bound.window);
    const bool isShort = own.shortAt && now - *own.shortAt < user.bound.window;
    if (isShort && own.beganAt.size() >= own.spentAt.size())
        return false;
    own.beganAt.push_back(now);
    return true;
}

void giveBack(AllotmentUser& user, std::string_view organisation, TimePoint now)
{
    const auto found = user.borrowed.find(organisation);
    if (found == user.borrowed.end())
        return;
    dropExpired(found->second, now);
    addTokens(found->second, 1, now + tokenLease);
    if (!found->second.spentAt.empty())
        found->second.spentAt.pop_back();
}

void cancelSpend(AllotmentUser& user, std::string_view organisation, std::uint64_t request)
{
    const auto found = user.borrowed.find(organisation);
    if (found != user.borrowed.end())
        std::erase_if(found->second.waiting, [&](const WaitingSpend& waiting) { return waiting.request == request && !waiting.isRelayed; });
}

SettledSpends settle(AllotmentUser& user, const TokenReply& reply, TimePoint now)
{
    SettledSpends settled;
    const auto found = user.borrowed.find(reply.organisation);
    if (found == user.borrowed.end())
        return settled;
    BorrowedTokens& own = found->second;
    dropExpired(own, now);
    if (own.noticeNumber && own.noticeNumber == reply.number)
        own.nextHolderUntil = {};
    const auto pending = std::ranges::find(own.pending, reply.number, &PendingTokenRequest::number);
    if (pending == own.pending.end())
        return settled;
    const TimePoint leaseEndsAt = pending->firstSentAt + std::min(reply.lease, tokenLease);
    own.pending.erase(pending);
    countLent(own, reply.lent, now);
    const double paid = std::min(own.aloneDebt, static_cast<double>(reply.lent));
    own.aloneDebt -= paid;
    addTokens(own, reply.lent - paid, leaseEndsAt);
    if (reply.lease <= Duration { 0 })
        carryOn(user, own, reply.retryAfter, now, settled);
    serveWaiting(user, own, now, settled);
    own.aloneUntil = {};
    if (own.askedNumber != reply.number)
        return settled;
    own.askedNumber.reset();
    if (reply.retryAfter > Duration { 0 }) {
        own.shortAt = now;
        // Daemons that are refused together ask again at different times.
        const Duration askAgain = durationOf(secondsOf(reply.retryAfter) * (0.5 + spreadOf(reply.number) / 2));
        own.refusedUntil = now + std::clamp(askAgain, shortestAskAgain, longestAskAgain);
        trimWaiting(user, own, roomToWait(own, now), reply.retryAfter, now, settled);
        return settled;
    }
    if (!own.waiting.empty())
        settled.sends.push_back(ask(user, reply.organisation, own, neededBy(own), now));
    return settled;
}

SettledSpends expireWaiting(AllotmentUser& user, TimePoint now)
{
    SettledSpends settled;
    for (auto& [organisation, own] : user.borrowed) {
        if (own.tokens > 0 && own.leaseEndsAt <= now)
            settled.sends.push_back({ own.holderIndex, { .organisation = organisation, .returned = static_cast<unsigned>(own.tokens) } });
        dropExpired(own, now);
        serveWaiting(user, own, now, settled);
        if (!own.askedNumber) {
            if (!own.waiting.empty() && own.refusedUntil <= now)
                settled.sends.push_back(ask(user, organisation, own, neededBy(own), now));
            continue;
        }
        if (now < own.askedAt + resendAfter.at(own.holderIndex).at(own.sends - 1))
            continue;
        if (own.sends < sendsPerHolder) {
            ++own.sends;
            own.askedAt = now;
            settled.sends.push_back({ own.holderIndex, own.asked });
            continue;
        }
        own.askedNumber.reset();
        if (own.holderIndex + 1 < holdersTried) {
            ++own.holderIndex;
            own.nextHolderUntil = now + nextHolderTime;
            if (!own.waiting.empty())
                settled.sends.push_back(ask(user, organisation, own, neededBy(own), now));
            continue;
        }
        own.holderIndex = 0;
        own.nextHolderUntil = {};
        own.aloneUntil = now + fallbackTime;
        decideAlone(user, own, settled, now);
    }
    std::erase_if(user.borrowed, [&](const auto& entry) {
        const BorrowedTokens& own = entry.second;
        return own.waiting.empty() && own.pending.empty() && own.tokens <= 0 && own.aloneDebt <= 0 && now - own.demandUpdatedAt > idleTime;
    });
    return settled;
}

std::optional<TimePoint> nextAllotmentTimer(const AllotmentUser& user)
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint at) { next = next ? std::min(*next, at) : at; };
    for (const auto& [organisation, own] : user.borrowed) {
        if (own.askedNumber)
            consider(own.askedAt + resendAfter.at(own.holderIndex).at(own.sends - 1));
        else if (!own.waiting.empty())
            consider(own.refusedUntil);
        if (own.tokens >= 1)
            consider(own.waiting.empty() ? own.leaseEndsAt : own.waiting.front().since);
    }
    return next;
}

}
