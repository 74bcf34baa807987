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
    constexpr std::chrono::seconds defaultRetryDelay { 1 };

    void sendAnswer(Context& context, const RequestId& id, Answer answer, Duration heldFor = Duration(0))
    {
        context.actions.emplace_back(AnswerRequest { id, std::move(answer), heldFor });
    }

    // Returns how long a caller must wait until a resend of a refused key can be distinguished from the refused
    // attempts.
    std::chrono::seconds refusalRetryDelay(const State& state) noexcept
    {
        return retryAfterSeconds(3 * state.limits.stampSettle + state.limits.tellLimit);
    }

    // Returns the active range whose owner and epoch match the message, or null when the message must be refused.
    Holding* matchingHolding(State& state, const KeyedRequest& message)
    {
        auto found = state.holdings.find(message.range);
        if (found == state.holdings.end() || found->second.status != HoldingStatus::Active)
            return nullptr;
        bool sameView = message.owner == state.self && message.epoch == found->second.record.epoch;
        return sameView ? &found->second : nullptr;
    }

    // Returns this daemon's record of the range as a hint where to forward the request, if it is authoritative.
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

    // Returns whether the message is so recent that no entry of its key can have been erased since it was accepted.
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

    void answerNotRun(Context& context, const KeyedRequest& message, const Holding* holding, unsigned status, std::string_view reason)
    {
        State& state = context.state;
        const Request& request = message.request;
        bool entered = findEntry(state.table, message.range, request.idempotencyKey) != nullptr;
        bool seen = holding != nullptr && mayHaveBeenSeenBefore(state, *holding, request);
        checkInvariant(!entered && !seen, Invariant::NotRunIsTrue, "not-run answer for a key that may have run");
        rememberRefusal(state.table, state.limits.entries, message.range, request.idempotencyKey, context.now);
        sendAnswer(context, request.id, makeProblem(status, Outcome::NotRun, reason, refusalRetryDelay(state)));
    }

    void answerUnknown(Context& context, const RequestId& id, unsigned status, std::string_view reason, std::chrono::seconds pause = defaultRetryDelay)
    {
        sendAnswer(context, id, makeProblem(status, Outcome::Unknown, reason, pause));
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
            answerUnknown(context, message.request.id, statusUnavailable, "an earlier attempt may have run", retryAfterSeconds(retention));
        else if (entry.answer)
            sendAnswer(context, message.request.id, *entry.answer);
        else
            answerUnknown(context, message.request.id, statusConflict, "the request has run; its answer was too large to keep");
    }

    // Handles a resend, or a duplicate message, of a key that has an entry.
    void handleExistingEntry(Context& context, const KeyedRequest& message, KeyEntry& entry)
    {
        const Request& request = message.request;
        bool sameRequest = entry.digest == requestDigest(request) && entry.caller == request.caller;
        bool duplicate = entry.state == EntryState::Running && entry.runner == request.id;
        if (context.state.policy.mayDispatchAgain(entry)) {
            eraseEntry(context.state.table, message.range, request.idempotencyKey);
            dispatch(context, message);
        } else if (!sameRequest) {
            answerUnknown(context, request.id, statusUnprocessable, "the key was used for another request");
        } else if (entry.state != EntryState::Running) {
            replay(context, message, entry);
        } else if (!duplicate) {
            answerUnknown(context, request.id, statusConflict, "the request is in flight");
        }
    }

    // Handles a key that a predecessor may have run. Every resend extends the time for which it is unknown.
    void handlePossiblySeenKey(Context& context, const KeyedRequest& message, Holding& holding)
    {
        State& state = context.state;
        Duration retention = retentionOf(state, message.range.service);
        TimePoint until = context.now + retention;
        if (hasRoom(state.table, state.limits.entries, message.request))
            addEntry(state.table, message.range, newEntry(message.request, EntryState::Unknown, until));
        else
            holding.unknownUntil = until;
        answerUnknown(context, message.request.id, statusUnavailable, "the former owner may have run it", retryAfterSeconds(retention));
    }

    // Handles a key without an entry that no predecessor may have run. An earlier attempt may have been refused.
    void handleNewKey(Context& context, const KeyedRequest& message, const Holding* holding)
    {
        State& state = context.state;
        const Request& request = message.request;
        RefusalMatch refusal = matchRefusal(state.table.ranges[message.range], request.idempotencyKey, *message.ownerStamp, state.limits.tellLimit, state.policy.acceptedAfterRefusal);
        if (refusal != RefusalMatch::None)
            answerUnknown(context, request.id, statusUnavailable, "an earlier attempt was refused", refusalRetryDelay(state));
        else if (!hasRoom(state.table, state.limits.entries, request))
            answerNotRun(context, message, holding, statusUnavailable, "no room for more keys");
        else
            dispatch(context, message);
    }

    // Checks the time that a UUIDv7 key carries. Answers the request and returns true if it is too old or in the future.
    bool answeredByKeyTime(Context& context, const KeyedRequest& message, const Holding& holding)
    {
        const State& state = context.state;
        const Request& request = message.request;
        auto keyTime = uuidV7Milliseconds(request.idempotencyKey);
        if (!keyTime)
            return false;
        std::int64_t oldest = std::max(holding.oldestUsableMs, oldestRetainedKeyTimeMs(state, request.service, context.now));
        std::int64_t bound = std::chrono::duration_cast<std::chrono::milliseconds>(clockBoundOf(state, request.service)).count();
        if (*keyTime < oldest) {
            answerUnknown(context, request.id, statusUnprocessable, "the key is older than the retention");
            return true;
        }
        if (*keyTime > wallClockNowMs(state, context.now) + bound) {
            answerUnknown(context, request.id, statusBadRequest, "the key's time is in the future");
            return true;
        }
        return false;
    }

    void handleIssuedKey(Context& context, const KeyedRequest& message, const IssuedKey& key)
    {
        State& state = context.state;
        const Request& request = message.request;
        Duration maxAge = retentionOf(state, request.service);
        auto shortest = state.shortestRetention.find(request.service);
        if (shortest != state.shortestRetention.end())
            maxAge = std::min(maxAge, shortest->second);
        IssuedKeyAge age = judgeIssuedKey(state.issued, key, state.self, maxAge, context.now);
        KeyEntry* entry = findEntry(state.table, message.range, request.idempotencyKey);
        if (entry != nullptr)
            handleExistingEntry(context, message, *entry);
        else if (age == IssuedKeyAge::TooOld)
            answerUnknown(context, request.id, statusUnprocessable, "the key is older than the retention");
        else if (age == IssuedKeyAge::NotOurs)
            answerUnknown(context, request.id, statusUnprocessable, "the key was not issued here");
        else
            handleNewKey(context, message, nullptr);
    }

    void handleOwnedKey(Context& context, const KeyedRequest& message, Holding& holding)
    {
        State& state = context.state;
        const Request& request = message.request;
        KeyEntry* entry = findEntry(state.table, message.range, request.idempotencyKey);
        if (entry != nullptr)
            handleExistingEntry(context, message, *entry);
        else if (answeredByKeyTime(context, message, holding))
            return;
        else if (mayHaveBeenSeenBefore(state, holding, request))
            handlePossiblySeenKey(context, message, holding);
        else
            handleNewKey(context, message, &holding);
    }

    // Sends the successor the answer of a request that was in flight when its range was handed over.
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

void handleKeyedRequest(Context& context, const KeyedRequest& message)
{
    State& state = context.state;
    observeWallClock(context, message.wall);
    bool issuedRange = message.range.range == issuedRangeNumber;
    auto issued = parseIssuedKey(message.request.idempotencyKey);
    Holding* holding = issuedRange ? nullptr : matchingHolding(state, message);
    bool mismatch = issuedRange ? !issued || issued->issuer != state.self : holding == nullptr;
    if (mismatch || !isRecent(context, message)) {
        context.actions.emplace_back(RefuseRequest { message.request.id, recordHint(state, message.range) });
        return;
    }
    if (issuedRange)
        handleIssuedKey(context, message, *issued);
    else
        handleOwnedKey(context, message, *holding);
}

void handleDispatchFinished(Context& context, const DispatchFinished& event)
{
    RangeId range;
    KeyEntry* entry = findRunner(context.state.table, event.id, range);
    if (entry == nullptr)
        return;
    std::string key = entry->key;
    // A running entry expires longestFlight after its dispatch.
    bool running = entry->state == EntryState::Running;
    TimePoint dispatchedAt = entry->expiresAt - context.state.limits.longestFlight;
    Duration heldFor = running ? context.now - dispatchedAt : Duration(0);
    completeEntry(context, range, *entry, event.answer);
    forgetRunner(context.state.table, event.id);
    reportToSuccessor(context, range, key, event);
    sendAnswer(context, event.id, event.answer, heldFor);
}

void completeEntry(Context& context, const RangeId& range, KeyEntry& entry, const Answer& answer)
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

void handleCancelRequested(Context& context, const RequestId& id)
{
    RangeId range;
    KeyEntry* entry = findRunner(context.state.table, id, range);
    if (entry != nullptr && entry->state == EntryState::Running)
        context.actions.emplace_back(CancelDispatch { id });
}

void expireOwnedEntries(Context& context)
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
