#include "flamingowick/proxy/Allotments.h"

#include "MessageNumbers.h"

#include <algorithm>

namespace flamingowick::proxy {

namespace {

    using organisations::Allotment;
    using organisations::OutgoingTokenRequest;
    using organisations::SettledSpends;
    using organisations::SpendDecision;
    using organisations::TokenReply;
    using organisations::TokenRequest;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Interval at which a daemon notices that it has stood still. Other daemons go on to the next holder after 70 ms.
    constexpr Duration tickInterval { milliseconds(100) };
    // A busy VM is late by less.
    constexpr Duration standstillLimit { milliseconds(200) };
    // Members kept of each organisation's rendezvous order. If none of them can be reached, the whole order is used.
    constexpr std::size_t candidateCount = 8;
    // How long members that are gone count among those that share what is spent without a holder.
    constexpr Duration goneMembersCount { seconds(20) };
    constexpr Duration minTimerDelay { milliseconds(1) };

    std::string groupOf(std::string_view organisation)
    {
        return std::string("allotment/").append(organisation);
    }

    AllotmentRequestMessage messageOf(const TokenRequest& request)
    {
        return { request.number, request.organisation, request.needed, request.ahead, request.returned };
    }

    AllotmentReplyMessage messageOf(const TokenReply& reply)
    {
        return { reply.number, reply.organisation, reply.lent, reply.lease, reply.retryAfter };
    }

    AllotmentDecision decisionOf(const SpendDecision& decision)
    {
        return { decision.spent, decision.retryAfter, decision.alone };
    }

}

Allotments::Allotments(asio::io_context& io, const ProxySettings& settings, std::uint64_t incarnation, Fleet& knownFleet, telemetry::Metrics& counters, AllotmentCallbacks allotmentCallbacks)
    : fleet(knownFleet)
    , metrics(counters)
    , callbacks(std::move(allotmentCallbacks))
    , fleetStarting(settings.fleetStage == FleetStage::Starting)
    , timer(io)
    , tickTimer(io)
{
    this->setBound({ settings.allotmentWindow, settings.allotmentOverage, settings.allotmentSlack });
    this->user.lastNumber = firstMessageNumber(settings.vm, incarnation);
    this->handleFleetChange();
}

Allotments::~Allotments() = default;

void Allotments::setBound(const organisations::AllotmentBound& bound)
{
    this->holder.bound = bound;
    this->user.bound = bound;
}

Allotments::Place& Allotments::placeOf(std::string_view organisation)
{
    const auto found = this->places.find(organisation);
    Place& place = found == this->places.end() ? this->places[std::string(organisation)] : found->second;
    if (place.candidates.empty() || place.membershipVersion != this->fleet.membershipVersion) {
        place.membershipVersion = this->fleet.membershipVersion;
        place.candidates.clear();
        for (const std::size_t index : rendezvousOrder(groupOf(organisation), this->memberNames)) {
            if (place.candidates.size() == candidateCount)
                break;
            place.candidates.push_back(this->memberNames[index]);
        }
    }
    return place;
}

std::vector<std::string> Allotments::holdersOf(std::string_view organisation)
{
    std::vector<std::string> holders;
    for (const std::string& name : this->placeOf(organisation).candidates) {
        const auto member = this->fleet.members.find(name);
        const bool leaving = name == this->fleet.self ? this->fleet.isSelfLeaving : member != this->fleet.members.end() && member->second.leaving;
        if (member != this->fleet.members.end() && !member->second.suspected && !leaving)
            holders.push_back(name);
    }
    return holders.empty() ? dispatchersFor(this->fleet, groupOf(organisation)) : holders;
}

TokenReply Allotments::lendHere(const Allotment& allotment, const TokenRequest& request)
{
    const TimePoint now = Clock::now();
    Place& place = this->placeOf(request.organisation);
    // Members that go before this one, whether they can be reached or not, unless they leave.
    std::vector<std::string> before;
    for (const std::string& name : place.candidates) {
        if (name == this->fleet.self)
            break;
        if (const auto member = this->fleet.members.find(name); member != this->fleet.members.end() && !member->second.leaving)
            before.push_back(member->second.address);
    }
    const std::vector<std::string> holders = this->holdersOf(request.organisation);
    place.holding = !holders.empty() && holders.front() == this->fleet.self;
    TokenReply reply = organisations::lend(this->holder, allotment, request, this->fleetStarting, now, this->share, !before.empty());
    if (!before.empty()) {
        if (const std::optional<TokenRequest> notice = organisations::noticeOfPlace(this->holder, this->user, request.organisation, now)) {
            for (const std::string& address : before)
                this->callbacks.sendRequest(address, messageOf(*notice));
        }
    }
    this->metrics.increment("flamingowick_allotment_tokens_lent_total", "organisation=\"" + this->callbacks.labelOf(request.organisation) + "\"", reply.lent);
    return reply;
}

void Allotments::transmit(const OutgoingTokenRequest& outgoing, std::vector<SpendDecision>& decisions)
{
    const std::vector<std::string> holders = this->holdersOf(outgoing.request.organisation);
    if (outgoing.holderIndex >= holders.size())
        return;
    const std::string& name = holders[outgoing.holderIndex];
    if (name != this->fleet.self) {
        this->callbacks.sendRequest(this->fleet.members.at(name).address, messageOf(outgoing.request));
        return;
    }
    const std::optional<Allotment> allotment = this->callbacks.findAllotment(outgoing.request.organisation);
    if (!allotment)
        return;
    const TokenReply reply = this->lendHere(*allotment, outgoing.request);
    if (reply.number == 0)
        return;
    Place& place = this->placeOf(reply.organisation);
    place.lastHolder = name;
    place.lastReplyAt = Clock::now();
    this->absorb(organisations::settle(this->user, reply, Clock::now()), decisions);
}

void Allotments::absorb(const SettledSpends& settled, std::vector<SpendDecision>& decisions)
{
    decisions.insert(decisions.end(), settled.decisions.begin(), settled.decisions.end());
    for (const organisations::RelayedTokenReply& relayed : settled.replies) {
        if (const auto address = this->addresses.find(relayed.source); address != this->addresses.end())
            this->callbacks.sendReply(address->second, messageOf(relayed.reply));
    }
    for (const OutgoingTokenRequest& outgoing : settled.sends)
        this->transmit(outgoing, decisions);
}

void Allotments::deliver(const std::vector<SpendDecision>& decisions)
{
    this->scheduleTimer();
    for (const SpendDecision& decision : decisions)
        this->callbacks.onDecision(decision.request, decisionOf(decision));
}

std::optional<AllotmentDecision> Allotments::spend(const std::string& organisation, const Allotment& allotment, std::uint64_t request)
{
    const TimePoint now = Clock::now();
    this->checkStandstill(now);
    const organisations::SpendOutcome outcome = organisations::spend(this->user, organisation, allotment, request, now);
    if (outcome.result != organisations::SpendResult::Waiting) {
        const auto borrowed = this->user.borrowed.find(organisation);
        return AllotmentDecision { outcome.result == organisations::SpendResult::Spent, outcome.retryAfter, borrowed != this->user.borrowed.end() && borrowed->second.aloneUntil > now };
    }
    std::vector<SpendDecision> decisions;
    if (outcome.send)
        this->transmit(*outcome.send, decisions);
    std::optional<AllotmentDecision> own;
    std::erase_if(decisions, [&](const SpendDecision& decision) {
        if (decision.request != request)
            return false;
        own = decisionOf(decision);
        return true;
    });
    this->deliver(decisions);
    return own;
}

void Allotments::cancel(std::string_view organisation, std::uint64_t request)
{
    organisations::cancelSpend(this->user, organisation, request);
}

void Allotments::giveBack(std::string_view organisation)
{
    organisations::giveBack(this->user, organisation, Clock::now());
    this->scheduleTimer();
}

AllotmentUse Allotments::useOf(std::string_view organisation) const
{
    AllotmentUse use;
    if (const auto borrowed = this->user.borrowed.find(organisation); borrowed != this->user.borrowed.end()) {
        use.askedPerSecond = borrowed->second.demandPerSecond;
        use.lentPerSecond = borrowed->second.lentPerSecond;
    }
    if (const auto place = this->places.find(organisation); place != this->places.end() && !place->second.lastHolder.empty()) {
        use.holder = place->second.lastHolder;
        use.age = Clock::now() - place->second.lastReplyAt;
    }
    return use;
}

void Allotments::handleRequest(const PeerSource& source, const AllotmentRequestMessage& message)
{
    const std::optional<Allotment> allotment = this->callbacks.findAllotment(message.organisation);
    // A daemon with an earlier configuration doesn't know the organisation; the sender goes on to the next one.
    if (!allotment)
        return;
    const TimePoint now = Clock::now();
    this->checkStandstill(now);
    const TokenRequest request { message.number, message.organisation, message.needed, message.ahead, message.returned };
    const std::vector<std::string> holders = this->holdersOf(message.organisation);
    if (!holders.empty() && holders.front() == this->fleet.self) {
        const TokenReply reply = this->lendHere(*allotment, request);
        if (reply.number != 0)
            this->callbacks.sendReply(source.address, messageOf(reply));
        return;
    }
    this->addresses[source.incarnation] = source.address;
    const organisations::RelayOutcome outcome = organisations::relay(this->user, *allotment, request, source.incarnation, now);
    if (outcome.reply)
        this->callbacks.sendReply(source.address, messageOf(*outcome.reply));
    std::vector<SpendDecision> decisions;
    if (outcome.send)
        this->transmit(*outcome.send, decisions);
    this->deliver(decisions);
}

void Allotments::handleReply(const PeerSource& source, const AllotmentReplyMessage& message)
{
    const TimePoint now = Clock::now();
    Place& place = this->placeOf(message.organisation);
    place.lastHolder = std::string(memberNameAt(this->fleet, source.address));
    place.lastReplyAt = now;
    std::vector<SpendDecision> decisions;
    this->absorb(organisations::settle(this->user, { message.number, message.organisation, message.lent, message.lease, message.retryAfter }, now), decisions);
    this->deliver(decisions);
}

void Allotments::checkStandstill(TimePoint now)
{
    if (!this->ticking || now < this->tickDueAt + standstillLimit)
        return;
    this->tickDueAt = now + tickInterval;
    organisations::loseMemory(this->holder, now);
    this->holder.unchangedSince = now;
    this->fleetStarting = false;
    this->metrics.increment("flamingowick_allotment_memory_lost_total");
}

void Allotments::updateMembers(TimePoint now)
{
    const auto count = static_cast<unsigned>(std::max<std::size_t>(1, this->memberNames.size()));
    if (count >= this->user.members || now >= this->goneCountUntil)
        this->user.members = count;
}

void Allotments::handleFleetChange()
{
    const TimePoint now = Clock::now();
    std::uint64_t digest = 0;
    std::vector<std::string> names;
    std::size_t reached = 0;
    for (const auto& [name, member] : this->fleet.members) {
        digest = combineHashes(combineHashes(digest, stableHash(name + " " + member.address)), (member.suspected ? 2U : 1U) + (member.leaving ? 2U : 0U));
        reached += member.suspected ? 0 : 1;
        names.push_back(name);
    }
    if (digest != this->membersDigest || names != this->memberNames) {
        this->holder.unchangedSince = now;
        const bool missed = std::any_of(this->fleet.members.begin(), this->fleet.members.end(), [](const auto& item) { return item.second.suspected || item.second.leaving; });
        this->fleetStarting = this->fleetStarting && !missed && std::includes(names.begin(), names.end(), this->memberNames.begin(), this->memberNames.end());
        if (names.size() < this->memberNames.size())
            this->goneCountUntil = now + goneMembersCount;
    }
    this->membersDigest = digest;
    this->memberNames = std::move(names);
    this->share = this->memberNames.empty() ? 1 : static_cast<double>(reached) / static_cast<double>(this->memberNames.size());
    this->updateMembers(now);
    for (auto& [organisation, held] : this->holder.held) {
        const std::vector<std::string> holders = this->holdersOf(organisation);
        const bool isFirst = !holders.empty() && holders.front() == this->fleet.self;
        Place& place = this->placeOf(organisation);
        // Another daemon has held the allotment meanwhile.
        if (isFirst && !place.holding) {
            held.tokens = std::min(held.tokens, organisations::takeoverTokens(this->holder.bound, held.allotment));
            held.updatedAt = now;
            held.unknownSince = now;
        }
        place.holding = isFirst;
    }
}

void Allotments::handleConfigurationChange(bool hasLimits)
{
    if (hasLimits == this->ticking)
        return;
    this->ticking = hasLimits;
    this->tickTimer.cancel();
    if (hasLimits)
        this->scheduleTick();
}

void Allotments::scheduleTick()
{
    this->tickDueAt = Clock::now() + tickInterval;
    this->tickTimer.expires_at(this->tickDueAt);
    this->tickTimer.async_wait([this, alive = std::weak_ptr<char>(this->lifetimeToken)](const asio::error_code& error) {
        if (error || alive.expired() || !this->ticking)
            return;
        const TimePoint now = Clock::now();
        this->checkStandstill(now);
        this->updateMembers(now);
        organisations::forgetIdle(this->holder, now);
        std::erase_if(this->places, [this](const auto& item) { return !this->holder.held.contains(item.first) && !this->user.borrowed.contains(item.first); });
        if (this->user.relayed.empty())
            this->addresses.clear();
        this->scheduleTick();
    });
}

void Allotments::scheduleTimer()
{
    const std::optional<TimePoint> next = organisations::nextAllotmentTimer(this->user);
    if (!next)
        return;
    // A timer that is set for earlier sets the next one.
    const TimePoint due = std::max(*next, Clock::now() + minTimerDelay);
    if (this->timerSetFor && *this->timerSetFor <= due)
        return;
    this->timerSetFor = due;
    this->timer.expires_at(due);
    this->timer.async_wait([this, alive = std::weak_ptr<char>(this->lifetimeToken)](const asio::error_code& error) {
        if (error || alive.expired())
            return;
        this->timerSetFor.reset();
        std::vector<SpendDecision> decisions;
        this->absorb(organisations::expireWaiting(this->user, Clock::now()), decisions);
        this->deliver(decisions);
    });
}

}
