#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Keeps the requests of an organisation, over all daemons together, within its allotment. One daemon holds each
// allotment, the first by rendezvous hashing of its name, and lends tokens to the entries, which spend one for each request.
// Deterministic; does no I/O.
namespace flamingowick::organisations {

// What an organisation may use: requests per second and requests above that at once. A rate of 0 means no limit.
struct Allotment {
    double ratePerSecond { 0 };
    double burst { 0 };

    bool operator==(const Allotment&) const = default;
};

// The bound on an organisation's requests that run: in any window at most
// (rate x window + burst) x (1 + overage) + slack.
struct AllotmentBound {
    Duration window { std::chrono::seconds(5) };
    double overage { 0.1 };
    double slack { 20 };
};

// Asks the holder for tokens. As proxy::AllotmentRequestMessage.
struct TokenRequest {
    // Differs between the requests of all daemons; the same when a request is sent again; 0 for one that only returns tokens,
    // which gets no reply. A request with a number that needs no tokens is a notice of noticeOfPlace().
    std::uint64_t number { 0 };
    std::string organisation {};
    unsigned needed { 0 };
    unsigned ahead { 0 };
    unsigned returned { 0 };
};

// The holder's reply. As proxy::AllotmentReplyMessage.
struct TokenReply {
    std::uint64_t number { 0 };
    std::string organisation {};
    unsigned lent { 0 };
    // Time for which the tokens may be spent, from the first sending of the request on. 0 when nothing is lent because the
    // holder has just taken over; the entry then goes on for a moment with what it was lent lately.
    Duration lease { 0 };
    Duration retryAfter { 0 };
};

// A reply that was given lately, for the case that its request comes again.
struct RecentReply {
    std::uint64_t number { 0 };
    unsigned lent { 0 };
    Duration lease { 0 };
    Duration retryAfter { 0 };
    TimePoint at;
};

// State of the allotments that this daemon holds, by organisation; only of those that are active.
struct HeldAllotment {
    Allotment allotment;
    double tokens { 0 };
    TimePoint updatedAt;
    TimePoint lastAskedAt;
    // Set from outside when other daemons may have lent until then; lend() takes it up and begins with little from then on.
    std::optional<TimePoint> unknownSince {};
    // Until when this daemon lends nothing that is new, and then less than the rate, since it doesn't know what others lend.
    TimePoint quietUntil {};
    TimePoint cautiousUntil {};
    // End of this daemon's last standstill.
    TimePoint wokenAt {};
    // Tokens lent in another daemon's place of which no notice has been given yet, and the last notice.
    unsigned lentInPlace { 0 };
    TimePoint noticeAt {};
    std::optional<TokenRequest> notice {};
    // Tokens that were lent ahead in the present period, which lasts a lease, and in the one before.
    double aheadNow { 0 };
    double aheadBefore { 0 };
    TimePoint aheadPeriodAt;
    // Tokens that were asked for and not lent, as an exponentially decaying sum.
    double unmet { 0 };
    TimePoint unmetUpdatedAt;
    std::deque<RecentReply> replies {};
};
struct AllotmentUser;
struct AllotmentHolder {
    AllotmentBound bound {};
    std::map<std::string, HeldAllotment, std::less<>> held {};
    // Since when this daemon has heard everything that concerns the allotments it holds, because the members have been
    // the same and it ran all the time. An organisation without state has used nothing since then. None: unknown.
    std::optional<TimePoint> unchangedSince {};
};

// Returns the tokens that an allotment may hold at most.
double tokenDepth(const AllotmentBound&, const Allotment&);

// Returns the tokens with which a holder begins that doesn't know what was used before.
double takeoverTokens(const AllotmentBound&, const Allotment&);

// Treats what is held as unknown, after this daemon stood still while others may have lent. Linear in the active organisations.
void loseMemory(AllotmentHolder&, TimePoint now);

// Answers a request for tokens, as the daemon that holds the allotment. It does so if it is the first by its own order of
// the daemons, or if its own request for the allotment's tokens has come to itself because those before it did not reply;
// else it calls relay(). fleetStarting: the whole fleet has just started for the first time, so that nothing of the
// allotment is in use. share: part of the rate that this daemon may lend, namely the part of all members that it is in
// touch with, so that the parts of a fleet that is cut in two make 1. isInPlace: among all members, also those that this
// daemon takes for unreachable, another one goes before it, so that it lends little until it has done so for some time.
// Logarithmic in the active organisations.
TokenReply lend(
    AllotmentHolder&, const Allotment&, const TokenRequest&, bool fleetStarting, TimePoint now, double share = 1, bool isInPlace = false);

// Returns a notice when one is due to the daemons that go before this one among all members: how many tokens it has lent
// in their place. It is a request that needs no tokens and has a number, so that a daemon that lends itself meanwhile
// takes these tokens off its own, and so that its reply shows that it can be reached. To be called after each lend() in
// another's place.
std::optional<TokenRequest> noticeOfPlace(AllotmentHolder&, AllotmentUser&, std::string_view organisation, TimePoint now);

// Drops the state of organisations that have not asked for long enough that their allotment is whole again.
void forgetIdle(AllotmentHolder&, TimePoint now);

enum class SpendResult : std::uint8_t {
    // A token was spent: the request may go on.
    Spent,
    // The request waits for a reply of the holder; its end comes with settle() or expireWaiting().
    Waiting,
    // The organisation is at its allotment.
    Refused,
};

// The end of the wait of a request, by the number that spend() was given.
struct SpendDecision {
    std::uint64_t request { 0 };
    bool spent { false };
    // Delay after which another request is likely to be within the allotment. Set when not spent.
    Duration retryAfter { 0 };
    // The decision was made without the holder.
    bool alone { false };
};

struct WaitingSpend {
    std::uint64_t request { 0 };
    TimePoint since;
    // The request is another daemon's for a token; it is the key in AllotmentUser::relayed.
    bool isRelayed { false };
};

// A request for tokens whose reply may still come.
struct PendingTokenRequest {
    std::uint64_t number { 0 };
    TimePoint firstSentAt;
};

// Tokens that an entry has of one organisation's allotment.
struct BorrowedTokens {
    Allotment allotment;
    double tokens { 0 };
    TimePoint leaseEndsAt;
    // Set while a request for tokens has had no reply.
    std::optional<std::uint64_t> askedNumber {};
    TimePoint askedAt;
    unsigned sends { 0 };
    // Tried so far of the daemons that may hold the allotment, by preference.
    unsigned holderIndex { 0 };
    // Requests per second here, as an exponentially decaying average.
    double demandPerSecond { 0 };
    TimePoint demandUpdatedAt;
    // Until when requests are refused at once, because the holder has said so.
    TimePoint refusedUntil;
    // What may be spent without a holder.
    double aloneTokens { 0 };
    TimePoint aloneUpdatedAt;
    std::vector<WaitingSpend> waiting;
    std::vector<PendingTokenRequest> pending {};
    // The last request for tokens, for sending it again.
    TokenRequest asked {};
    // Until when requests are decided without a holder, because none has replied.
    TimePoint aloneUntil {};
    // Until when the holder at holderIndex is asked rather than the first.
    TimePoint nextHolderUntil {};
    // Of the last notice that this daemon gave, whose reply shows that the first can be reached; 0 for none.
    std::uint64_t noticeNumber { 0 };
    // Tokens spent without a holder that are still to be paid from tokens lent; they count for one window.
    double aloneDebt { 0 };
    TimePoint aloneDebtUntil {};
    // Tokens per second that holders lent, as an exponentially decaying average.
    double lentPerSecond { 0 };
    TimePoint lentUpdatedAt {};
    // What may be spent while a holder has just taken over, and since when that counts; none before the first time.
    double carriedTokens { 0 };
    std::optional<TimePoint> carriedSince {};
    // Spends of this daemon's own requests, and the beginnings of those that ran, within one window.
    std::deque<TimePoint> spentAt {};
    std::deque<TimePoint> beganAt {};
    // When the holder last lent less than was needed.
    std::optional<TimePoint> shortAt {};
};

// Another daemon's request for tokens, which this daemon makes in its own name.
struct RelayedTokenRequest {
    // Whom to reply to.
    std::uint64_t source { 0 };
    std::uint64_t number { 0 };
    std::string organisation {};
    // Tokens that are not decided on yet.
    unsigned open { 0 };
    unsigned lent { 0 };
    Duration lease { 0 };
    Duration retryAfter { 0 };
};

// Reply to a relayed request, for the daemon that relay() was given as its source.
struct RelayedTokenReply {
    std::uint64_t source { 0 };
    TokenReply reply;
};

struct AllotmentUser {
    AllotmentBound bound {};
    // Daemons among which what may be spent without a holder is shared. Those that were lost count for 20 s on.
    unsigned members { 1 };
    // To begin at a random number, so that the numbers of different daemons and runs differ.
    std::uint64_t lastNumber { 0 };
    std::map<std::string, BorrowedTokens, std::less<>> borrowed {};
    std::map<std::uint64_t, RelayedTokenRequest> relayed {};
};

// Messages to send to the holder with this index in the rendezvous order of the organisation's name.
struct OutgoingTokenRequest {
    unsigned holderIndex { 0 };
    TokenRequest request;
};

struct SpendOutcome {
    SpendResult result { SpendResult::Spent };
    Duration retryAfter { 0 };
    std::optional<OutgoingTokenRequest> send {};
};

// Spends a token of the organisation's allotment for a request. Logarithmic in the active organisations.
SpendOutcome spend(AllotmentUser&, std::string_view organisation, const Allotment&, std::uint64_t request, TimePoint now);

// Returns whether a request that has spent its token may be sent to a target now, and counts it if so. False when the
// organisation is at its allotment and requests that waited for a target have used up the window: then more would run in
// it than tokens were lent. To be called before each attempt; amortised constant time.
bool beginRun(AllotmentUser&, std::string_view organisation, TimePoint now);

// Gives a token back whose request did not run and won't.
void giveBack(AllotmentUser&, std::string_view organisation, TimePoint now);

// Forgets a waiting request whose caller has gone.
void cancelSpend(AllotmentUser&, std::string_view organisation, std::uint64_t request);

struct SettledSpends {
    std::vector<SpendDecision> decisions;
    std::vector<OutgoingTokenRequest> sends;
    std::vector<RelayedTokenReply> replies {};
};

struct RelayOutcome {
    // None while the reply waits for the holder's; it comes then with settle() or expireWaiting().
    std::optional<TokenReply> reply {};
    std::optional<OutgoingTokenRequest> send {};
};

// Handles a request for tokens of a daemon that can't reach the holder, when this daemon does not hold the allotment
// itself: borrows the tokens in its own name and passes them on. So a second daemon lends by itself only once it has had
// no reply either. source: passed back with the reply. Linear in the tokens needed, of which it borrows a limited number.
RelayOutcome relay(AllotmentUser&, const Allotment&, const TokenRequest&, std::uint64_t source, TimePoint now);

// Handles a holder's reply. Replies to earlier requests than the last one count as tokens, too.
SettledSpends settle(AllotmentUser&, const TokenReply&, TimePoint now);

// Sends requests again that had no reply, goes on to the next holder, decides alone after the last one, and returns tokens
// whose lease ends. To be called when nextAllotmentTimer() says. Linear in the active organisations.
SettledSpends expireWaiting(AllotmentUser&, TimePoint now);

// Returns when expireWaiting() is due next; none when nothing waits and nothing is borrowed.
std::optional<TimePoint> nextAllotmentTimer(const AllotmentUser&);

}
