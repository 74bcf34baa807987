#include "flamingowick/keys/KeyParser.h"
#include "flamingowick/keys/detail/Parts.h"
#include "flamingowick/model/Invariant.h"

#include <algorithm>

namespace flamingowick::keys::detail {

namespace {

    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusUnprocessable = 422;
    constexpr unsigned statusUnavailable = 503;
    constexpr std::chrono::seconds shortRetry { 1 };

    void answer(Context& context, const RequestId& id, Answer answer, Duration heldFor = Duration(0))
    {
        context.actions.emplace_back(AnswerRequest { id, std::move(answer), heldFor });
    }

    // How long until a resend of a refused key can be told from the refused attempts.
    std::chrono::seconds refusalPause(const State& state) noexcept
    {
        return retryAfter(3 * state.limits.stampSettle + state.limits.tellLimit);
    }

    // Returns the holding under which the message may be taken up, or null when it must be refused.
    Holding* matchingHolding(State& state, const KeyedRequest& message)
    {
        auto found = state.holdings.find(message.range);
        if (found == state.holdings.end() || found->second.status != HoldingStatus::Active)
            return nullptr;
        bool sameView = message.owner == state.self && message.epoch == found->second.record.epoch;
        return sameView ? &found->second : nullptr;
    }

    // Returns what this daemon knows better than the sender, as a hint where to ask.
    std::optional<RangeRecord> recordHint(const State& state, const RangeId& id)
    {
        auto found = state.holdings.find(id);
        if (found == state.holdings.end())
            return std::nullopt;
        if (found->second.status == HoldingStatus::Active)
            return found->second.record;
        if (found->second.status == HoldingStatus::HandedOver)
            return found->second.proposed;
        return std::nullopt;
    }

    // Tells whether the message is so recent that no entry of its key can have been forgotten since.
    bool isRecent(const Context& context, const KeyedRequest& message) noexcept
    {
        if (!message.ownerStamp || *message.ownerStamp > context.now)
            return false;
        bool sinceSuspend = !context.state.stampFloor || *message.ownerStamp >= *context.state.stampFloor;
        bool inTime = context.now - *message.ownerStamp <= context.state.limits.longestFlight;
        return sinceSuspend && inTime && message.request.deadline > context.now;
    }

    bool mayHaveBeenSeenBefore(const State& state, const Holding& holding, const Request& request)
    {
        if (!holding.unknownUntil)
            return false;
        std::int64_t bound = std::chrono::duration_cast<std::chrono::milliseconds>(clockBoundOf(state, request.service)).count();
        auto keyTime = uuidV7Milliseconds(request.idempotencyKey);
        return !keyTime || *keyTime - bound <= holding.freshAfterWallMs;
    }

    void tellNotRun(Context& context, const KeyedRequest& message, const Holding* holding, unsigned status, std::string_view reason)
    {
        State& state = context.state;
        const Request& request = message.request;
        bool entered = findEntry(state.table, message.range, request.idempotencyKey) != nullptr;
        bool seen = holding != nullptr && mayHaveBeenSeenBefore(state, *holding, request);
        checkInvariant(!entered && !seen, Invariant::NotRunIsTrue, "not-run was to be told of a key that may have run");
        rememberRefusal(state.table, state.limits.entries, message.range, request.idempotencyKey, context.now);
        answer(context, request.id, makeProblem(status, Outcome::NotRun, reason, refusalPause(state)));
    }

    void tellUnknown(Context& context, const RequestId& id, unsigned status, std::string_view reason, std::chrono::seconds pause = shortRetry)
    {
        answer(context, id, makeProblem(status, Outcome::Unknown, reason, pause));
    }

    KeyEntry newEntry(const Request& request, EntryState state, TimePoint expiresAt)
    {
        KeyEntry entry;
        entry.key = request.idempotencyKey;
        entry.digest = requestDigest(request);
        entry.caller = request.caller;
        entry.state = state;
        entry.runner = request.id;
        entry.expiresAt = expiresAt;
        return entry;
    }

    void dispatch(Context& context, const KeyedRequest& message)
    {
        State& state = context.state;
        TimePoint latest = context.now + state.limits.longestFlight;
        Request request = message.request;
        request.deadline = std::min(request.deadline, latest);
        addEntry(state.table, message.range, newEntry(request, EntryState::Running, latest));
        state.table.runners[request.id] = { message.range, request.idempotencyKey };
        context.actions.emplace_back(Dispatch { std::move(request) });
    }

    void replay(Context& context, const KeyedRequest& message, KeyEntry& entry)
    {
        State& state = context.state;
        Duration retention = retentionOf(state, message.range.service);
        setExpiry(state.table, message.range, entry, std::max(entry.expiresAt, context.now + retention));
        if (entry.state == EntryState::Unknown)
            tellUnknown(context, message.request.id, statusUnavailable, "an earlier attempt may have run", retryAfter(retention));
        else if (entry.answer)
            answer(context, message.request.id, *entry.answer);
        else
            tellUnknown(context, message.request.id, statusConflict, "the request has run; its answer was too large to keep");
    }

    // A resend, or a duplicate message, of a key that has an entry.
    void meetEntry(Context& context, const KeyedRequest& message, KeyEntry& entry)
    {
        const Request& request = message.request;
        bool sameRequest = entry.digest == requestDigest(request) && entry.caller == request.caller;
        bool duplicate = entry.state == EntryState::Running && entry.runner == request.id;
        if (context.state.policy.mayDispatchAgain(entry)) {
            eraseEntry(context.state.table, message.range, request.idempotencyKey);
            dispatch(context, message);
        } else if (!sameRequest) {
            tellUnknown(context, request.id, statusUnprocessable, "the key was used for another request");
        } else if (entry.state != EntryState::Running) {
            replay(context, message, entry);
        } else if (!duplicate) {
            tellUnknown(context, request.id, statusConflict, "the request is in flight");
        }
    }

    // A key that a predecessor may have run. Every resend extends the time for which it is unknown.
    void meetSeenKey(Context& context, const KeyedRequest& message, Holding& holding)
    {
        State& state = context.state;
        Duration retention = retentionOf(state, message.range.service);
        TimePoint until = context.now + retention;
        if (hasRoom(state.table, state.limits.entries, message.request))
            addEntry(state.table, message.range, newEntry(message.request, EntryState::Unknown, until));
        else
            holding.unknownUntil = until;
        tellUnknown(context, message.request.id, statusUnavailable, "the former owner may have run it", retryAfter(retention));
    }

    // A key that has never had an entry anywhere.
    void meetNewKey(Context& context, const KeyedRequest& message, const Holding* holding)
    {
        State& state = context.state;
        const Request& request = message.request;
        RefusalMatch refusal = matchRefusal(state.table.ranges[message.range], request.idempotencyKey, *message.ownerStamp, state.limits.tellLimit, state.policy.acceptedAfterRefusal);
        if (refusal != RefusalMatch::None)
            tellUnknown(context, request.id, statusUnavailable, "an earlier attempt was refused", refusalPause(state));
        else if (!hasRoom(state.table, state.limits.entries, request))
            tellNotRun(context, message, holding, statusUnavailable, "no room for more keys");
        else
            dispatch(context, message);
    }

    // Judges the time that a key carries; returns true when the key was answered on account of it.
    bool refusedByTime(Context& context, const KeyedRequest& message, const Holding& holding)
    {
        const State& state = context.state;
        const Request& request = message.request;
        auto keyTime = uuidV7Milliseconds(request.idempotencyKey);
        if (!keyTime)
            return false;
        std::int64_t oldest = std::max(holding.oldestUsableMs, oldestKeptMs(state, request.service, context.now));
        std::int64_t bound = std::chrono::duration_cast<std::chrono::milliseconds>(clockBoundOf(state, request.service)).count();
        if (*keyTime < oldest) {
            tellUnknown(context, request.id, statusUnprocessable, "the key is older than the retention");
            return true;
        }
        if (*keyTime > wallNow(state, context.now) + bound) {
            tellUnknown(context, request.id, statusBadRequest, "the key's time is in the future");
            return true;
        }
        return false;
    }

    void issuedKeyRequest(Context& context, const KeyedRequest& message, const IssuedKey& key)
    {
        State& state = context.state;
        const Request& request = message.request;
        Duration life = retentionOf(state, request.service);
        auto shortest = state.shortestRetention.find(request.service);
        if (shortest != state.shortestRetention.end())
            life = std::min(life, shortest->second);
        IssuedKeyAge age = judgeIssuedKey(state.issued, key, state.self, life, context.now);
        KeyEntry* entry = findEntry(state.table, message.range, request.idempotencyKey);
        if (entry != nullptr)
            meetEntry(context, message, *entry);
        else if (age == IssuedKeyAge::TooOld)
            tellUnknown(context, request.id, statusUnprocessable, "the key is older than the retention");
        else if (age == IssuedKeyAge::NotOurs)
            tellUnknown(context, request.id, statusUnprocessable, "the key was not issued here");
        else
            meetNewKey(context, message, nullptr);
    }

    void ownedKeyRequest(Context& context, const KeyedRequest& message, Holding& holding)
    {
        State& state = context.state;
        const Request& request = message.request;
        KeyEntry* entry = findEntry(state.table, message.range, request.idempotencyKey);
        if (entry != nullptr)
            meetEntry(context, message, *entry);
        else if (refusedByTime(context, message, holding))
            return;
        else if (mayHaveBeenSeenBefore(state, holding, request))
            meetSeenKey(context, message, holding);
        else
            meetNewKey(context, message, &holding);
    }

    // Tells the successor how a request ended that was in flight when its range was handed over.
    void reportToSuccessor(Context& context, const RangeId& id, const std::string& key, const DispatchFinished& event)
    {
        auto found = context.state.holdings.find(id);
        if (found == context.state.holdings.end())
            return;
        const Holding& holding = found->second;
        if (holding.status != HoldingStatus::HandingOver && holding.status != HoldingStatus::HandedOver)
            return;
        HandedEntryFinished message { id, holding.record.epoch, key, event.id, event.answer };
        context.actions.emplace_back(SendEntryFinished { holding.successor, std::move(message) });
    }

}

void keyedRequest(Context& context, const KeyedRequest& message)
{
    State& state = context.state;
    observeWall(context, message.wall);
    bool issuedRange = message.range.range == issuedRangeNumber;
    auto issued = parseIssuedKey(message.request.idempotencyKey);
    Holding* holding = issuedRange ? nullptr : matchingHolding(state, message);
    bool mismatch = issuedRange ? !issued || issued->issuer != state.self : holding == nullptr;
    if (mismatch || !isRecent(context, message)) {
        context.actions.emplace_back(RefuseRequest { message.request.id, recordHint(state, message.range) });
        return;
    }
    if (issuedRange)
        issuedKeyRequest(context, message, *issued);
    else
        ownedKeyRequest(context, message, *holding);
}

void dispatchFinished(Context& context, const DispatchFinished& event)
{
    RangeId range;
    KeyEntry* entry = findRunner(context.state.table, event.id, range);
    if (entry == nullptr)
        return;
    std::string key = entry->key;
    // An entry that is still running expires the longest flight after its dispatch.
    bool running = entry->state == EntryState::Running;
    TimePoint dispatchedAt = entry->expiresAt - context.state.limits.longestFlight;
    Duration heldFor = running ? context.now - dispatchedAt : Duration(0);
    settleEntry(context, range, *entry, event.answer);
    forgetRunner(context.state.table, event.id);
    reportToSuccessor(context, range, key, event);
    answer(context, event.id, event.answer, heldFor);
}

void settleEntry(Context& context, const RangeId& range, KeyEntry& entry, const Answer& answer)
{
    State& state = context.state;
    if (answer.outcome == Outcome::NotRun) {
        std::string key = entry.key;
        eraseEntry(state.table, range, key);
        rememberRefusal(state.table, state.limits.entries, range, key, context.now);
        return;
    }
    entry.state = answer.outcome == Outcome::Answered ? EntryState::Finished : EntryState::Unknown;
    if (entry.state == EntryState::Finished)
        keepAnswer(state.table, state.limits.entries, entry, answer);
    setExpiry(state.table, range, entry, context.now + retentionOf(state, range.service));
}

void cancelRequested(Context& context, const RequestId& id)
{
    RangeId range;
    KeyEntry* entry = findRunner(context.state.table, id, range);
    if (entry != nullptr && entry->state == EntryState::Running)
        context.actions.emplace_back(CancelDispatch { id });
}

void expireOwned(Context& context)
{
    State& state = context.state;
    for (const auto& [range, key] : dueEntries(state.table, context.now)) {
        KeyEntry* entry = findEntry(state.table, range, key);
        if (entry->state != EntryState::Running) {
            eraseEntry(state.table, range, key);
            continue;
        }
        entry->state = EntryState::Unknown;
        setExpiry(state.table, range, *entry, context.now + retentionOf(state, range.service));
    }
    expireRefusals(state.table, context.now, state.limits.longestFlight);
}

}
