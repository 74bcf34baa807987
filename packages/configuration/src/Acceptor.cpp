#include "flamingowick/configuration/detail/Acceptor.h"

#include <algorithm>
#include <utility>

namespace flamingowick::configuration::detail {

namespace {

    AcceptedDocument heldOrEmpty(const State& state, std::string_view service)
    {
        const auto found = state.held.find(service);
        if (found != state.held.end())
            return found->second.document;
        AcceptedDocument empty;
        empty.service = service;
        return empty;
    }

    // Returns the attempt that waits for this answer, or null for a late one.
    Attempt* findAttempt(State& state, std::string_view service, Ticket ticket, AttemptPhase phase)
    {
        const auto found = state.attempts.find(service);
        if (found == state.attempts.end())
            return nullptr;
        Attempt& attempt = found->second;
        return attempt.ticket == ticket && attempt.phase == phase ? &attempt : nullptr;
    }

    // Moves an attempt on to a call, and returns the call's ticket.
    Ticket beginCall(Context& context, Attempt& attempt, AttemptPhase phase)
    {
        attempt.phase = phase;
        attempt.due = context.now + context.policy.timing.callTimeout;
        attempt.ticket = ++context.state.lastTicket;
        return attempt.ticket;
    }

    void startAttempt(Context& context, const std::string& service, Attempt& attempt)
    {
        attempt.noticed.reset();
        const Ticket ticket = beginCall(context, attempt, AttemptPhase::ReadingAccepted);
        context.actions.emplace_back(ReadAccepted { service, ticket });
    }

    // Waits before starting over, longer after each failure and differently long on each daemon.
    void retryLater(Context& context, Attempt& attempt)
    {
        const Timing& timing = context.policy.timing;
        Duration wait = timing.firstRetry;
        for (unsigned failure = 0; failure < attempt.failures && wait < timing.lastRetry; ++failure)
            wait *= 2;
        wait = std::min(wait, timing.lastRetry);
        const auto half = static_cast<std::size_t>(wait.count() / 2);
        wait -= Duration(static_cast<Duration::rep>(randomBelow(context.state.random, half + 1)));
        ++attempt.failures;
        attempt.phase = AttemptPhase::Waiting;
        attempt.due = context.now + wait;
    }

    void finishAttempt(Context& context, const std::string& service)
    {
        const auto found = context.state.attempts.find(service);
        Attempt& attempt = found->second;
        const bool more = attempt.noticed && heldOrEmpty(context.state, service).checked != *attempt.noticed;
        if (!more) {
            context.state.attempts.erase(found);
            return;
        }
        attempt.failures = 0;
        attempt.phase = AttemptPhase::Waiting;
        attempt.due = context.now;
    }

    void writeProposal(Context& context, Attempt& attempt)
    {
        const Ticket ticket = beginCall(context, attempt, AttemptPhase::Writing);
        context.actions.emplace_back(WriteAccepted { ticket, attempt.proposal, context.policy.expectedVersion(attempt.base) });
    }

    // Plans an attempt after the daemon's turn, or notes the news on the one that there is.
    void planAttempt(Context& context, std::string_view service, const SourceMark& mark, std::size_t extraTurns)
    {
        State& state = context.state;
        const auto rank = acceptorRank(service, state.watchers, state.vm);
        if (!rank)
            return;
        const auto [entry, added] = state.attempts.try_emplace(std::string(service));
        Attempt& attempt = entry->second;
        attempt.noticed = mark;
        if (added)
            attempt.due = context.now + context.policy.timing.rankDelay * static_cast<Duration::rep>(*rank + extraTurns);
    }

    // Ends an attempt that has not begun to call the platform.
    void dropWaiting(State& state, std::string_view service)
    {
        const auto found = state.attempts.find(service);
        if (found == state.attempts.end())
            return;
        const bool untouched = found->second.phase == AttemptPhase::Waiting && found->second.failures == 0;
        if (untouched)
            state.attempts.erase(found);
    }

    ChangeStamp makeStamp(State& state, std::int64_t wallMs)
    {
        ++state.lastChange;
        return { state.vm + "/" + std::to_string(state.incarnation) + "/" + std::to_string(state.lastChange), wallMs };
    }

    // Archives what the store itself held. A trail merged with this daemon's copy is never archived: the
    // read may have been an old one, and its entries would be counted wrongly.
    void archiveOrWrite(Context& context, Attempt& attempt, bool merged)
    {
        auto archive = merged ? std::nullopt : archiveDue(attempt.base.document);
        if (!archive) {
            writeProposal(context, attempt);
            return;
        }
        const Ticket ticket = beginCall(context, attempt, AttemptPhase::Archiving);
        context.actions.emplace_back(WriteArchive { ticket, std::move(*archive) });
    }

}

void noticeSource(Context& context, std::string_view service, const SourceMark& mark)
{
    State& state = context.state;
    if (!state.watching)
        return;
    state.noticed.insert_or_assign(std::string(service), mark);
    if (heldOrEmpty(state, service).checked == mark) {
        dropWaiting(state, service);
        return;
    }
    planAttempt(context, service, mark, 0);
}

void reviewAttempt(Context& context, const AcceptedDocument& document)
{
    State& state = context.state;
    const auto noticed = state.noticed.find(document.service);
    if (!state.watching || noticed == state.noticed.end())
        return;
    if (noticed->second == document.checked)
        dropWaiting(state, document.service);
    else
        planAttempt(context, document.service, noticed->second, 1);
}

void onAcceptedRead(Context& context, const AcceptedRead& read)
{
    Attempt* attempt = findAttempt(context.state, read.service, read.ticket, AttemptPhase::ReadingAccepted);
    if (!attempt)
        return;
    attempt->base = {};
    attempt->base.document.service = read.service;
    if (read.stored) {
        attempt->base = *read.stored;
        learn(context, read.stored->document);
    }
    const Ticket ticket = beginCall(context, *attempt, AttemptPhase::ReadingSource);
    context.actions.emplace_back(ReadSource { read.service, ticket });
}

void onSourceRead(Context& context, const SourceRead& read)
{
    State& state = context.state;
    Attempt* attempt = findAttempt(state, read.service, read.ticket, AttemptPhase::ReadingSource);
    if (!attempt)
        return;
    const AcceptedDocument current = currentDocument(attempt->base.document, heldOrEmpty(state, read.service));
    const bool storeBehind = attempt->base.document.revision < current.revision;
    if (!storeBehind && !context.policy.needsDecision(current, markOf(read.source))) {
        finishAttempt(context, read.service);
        return;
    }
    const ChangeStamp stamp = makeStamp(state, read.wallMs);
    attempt->proposal = context.policy.decideChange(current, read.source, context.policy.check, stamp);
    archiveOrWrite(context, *attempt, storeBehind);
}

void onArchiveWritten(Context& context, const ArchiveWritten& written)
{
    Attempt* attempt = findAttempt(context.state, written.service, written.ticket, AttemptPhase::Archiving);
    if (!attempt)
        return;
    dropArchived(attempt->proposal);
    writeProposal(context, *attempt);
}

void onWriteAnswered(Context& context, const WriteAnswered& answer)
{
    Attempt* attempt = findAttempt(context.state, answer.service, answer.ticket, AttemptPhase::Writing);
    if (!attempt)
        return;
    if (context.policy.stepAfterWrite(answer.outcome) == AttemptStep::Reread) {
        retryLater(context, *attempt);
        return;
    }
    learn(context, attempt->proposal);
    finishAttempt(context, answer.service);
}

void onCallFailed(Context& context, const CallFailed& failed)
{
    const auto found = context.state.attempts.find(failed.service);
    if (found == context.state.attempts.end() || found->second.ticket != failed.ticket)
        return;
    if (found->second.phase != AttemptPhase::Waiting)
        retryLater(context, found->second);
}

void tickAttempts(Context& context)
{
    const auto active = std::ranges::count_if(context.state.attempts,
        [](const auto& entry) { return entry.second.phase != AttemptPhase::Waiting; });
    auto free = static_cast<std::ptrdiff_t>(context.policy.limits.concurrentAttempts) - active;
    for (auto& [service, attempt] : context.state.attempts) {
        if (attempt.due > context.now)
            continue;
        if (attempt.phase != AttemptPhase::Waiting) {
            retryLater(context, attempt);
            continue;
        }
        if (free <= 0)
            continue;
        --free;
        startAttempt(context, service, attempt);
    }
}

}
