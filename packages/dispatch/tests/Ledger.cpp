#include "Ledger.h"

namespace flamingowick::dispatch {

namespace {

    void recordAttemptEnd(Ledger& ledger, const TargetAnswered& event, bool reallyRan)
    {
        LedgerEntry& entry = ledger.requests[event.id];
        if (entry.running != event.target)
            return;
        entry.running.reset();
        --ledger.inFlight[event.target];
        AttemptKind kind = event.result.kind;
        bool notRun = kind == AttemptKind::ConnectFailed || kind == AttemptKind::Shed || kind == AttemptKind::Drained;
        entry.mayHaveRun = entry.mayHaveRun || !notRun;
        entry.runs += reallyRan;
        ledger.require(entry.ticket.idempotent || entry.runs <= 1, "a non-idempotent request ran twice");
        if (kind == AttemptKind::Crashed)
            ledger.crashed[entry.ticket.digest].insert(event.target);
        if (kind == AttemptKind::Drained && entry.incarnation == ledger.incarnations[event.target])
            ledger.leaving.insert(event.target);
    }

    void recordList(Ledger& ledger, const TargetsChanged& list)
    {
        std::set<TargetAddress> before;
        before.swap(ledger.listed);
        for (const Target& target : list.targets) {
            if (!before.contains(target.address)) {
                ++ledger.incarnations[target.address];
                ledger.leaving.erase(target.address);
                ledger.ejected.erase(target.address);
            }
            ledger.listed.insert(target.address);
        }
    }

    void recordLeaving(Ledger& ledger, const TargetLeaving& leaving)
    {
        if (ledger.listed.contains(leaving.address) && leaving.start >= ledger.starts[leaving.address])
            ledger.leaving.insert(leaving.address);
    }

    void recordStart(Ledger& ledger, const TargetStarted& started)
    {
        if (started.start > ledger.starts[started.address]) {
            ++ledger.incarnations[started.address];
            ledger.leaving.erase(started.address);
            ledger.ejected.erase(started.address);
        }
        ledger.starts[started.address] = std::max(ledger.starts[started.address], started.start);
    }

    void recordHealth(Ledger& ledger, const TargetHealth& health)
    {
        ledger.ejected.erase(health.address);
        if (health.ejected && ledger.listed.contains(health.address))
            ledger.ejected.insert(health.address);
    }

    void accrue(Ledger& ledger, TimePoint now)
    {
        TimePoint until = std::min(now, ledger.grant.validUntil);
        std::chrono::duration<double> seconds = std::max(Duration::zero(), until - ledger.accruedAt);
        ledger.retriesEarned += seconds.count() * ledger.document.retries.minPerSecond * ledger.grant.share;
        ledger.accruedAt = now;
    }

    void checkCrashLimit(Ledger& ledger, const LedgerEntry& started)
    {
        std::uint64_t digest = started.ticket.digest;
        if (!ledger.crashingDigests.contains(digest) || ledger.crashed[digest].empty())
            return;
        std::set<TargetAddress> touched = ledger.crashed[digest];
        for (const auto& [id, entry] : ledger.requests) {
            if (entry.ticket.digest == digest && entry.running)
                touched.insert(*entry.running);
        }
        ledger.require(touched.size() <= 2, "a request that crashes targets was sent to a third");
    }

    void checkStart(Ledger& ledger, const StartAttempt& start, TimePoint now)
    {
        LedgerEntry& entry = ledger.requests[start.id];
        ledger.require(entry.finished == 0 && !entry.running, "an attempt starts beside another one or after the final answer");
        ledger.require(entry.ticket.idempotent || !entry.mayHaveRun, "a non-idempotent request is attempted again");
        ledger.require(!ledger.leaving.contains(start.target), "a leaving target gets work");
        ledger.require(entry.ticket.idempotent || !ledger.ejected.contains(start.target), "an ejected target gets a non-idempotent request");
        ledger.require(ledger.listed.contains(start.target), "an unlisted target gets work");
        ledger.require(++ledger.inFlight[start.target] <= ledger.document.targets.slots, "slots are exceeded");
        if (++entry.attempts == 1)
            ledger.retriesEarned += ledger.document.retries.ratio;
        else
            ++ledger.retriesStarted;
        ++(entry.attempts == 1 ? ledger.coverage.firstAttempts : ledger.coverage.retries);
        ledger.require(ledger.retriesStarted <= ledger.retriesEarned + 1e-3, "the retry budget is exceeded");
        ledger.require(entry.attempts <= 3, "a request is attempted too often");
        ledger.require(ledger.refusedUntil[entry.ticket.digest] <= now, "a request that a peer has quarantined is sent");
        entry.running = start.target;
        entry.incarnation = ledger.incarnations[start.target];
        checkCrashLimit(ledger, entry);
    }

    void checkFinal(Ledger& ledger, const RequestId& id, TimePoint now)
    {
        LedgerEntry& entry = ledger.requests[id];
        ledger.require(++entry.finished == 1, "a request is finished twice");
        ledger.require(now <= entry.ticket.deadline, "a request is finished after its deadline");
    }

}

void recordEvent(Ledger& ledger, const Event& event, bool reallyRan, TimePoint now)
{
    accrue(ledger, now);
    if (const auto* submit = std::get_if<Submit>(&event))
        ledger.requests[submit->ticket.id].ticket = submit->ticket;
    if (const auto* answer = std::get_if<TargetAnswered>(&event))
        recordAttemptEnd(ledger, *answer, reallyRan);
    if (const auto* list = std::get_if<TargetsChanged>(&event))
        recordList(ledger, *list);
    if (const auto* leaving = std::get_if<TargetLeaving>(&event))
        recordLeaving(ledger, *leaving);
    if (const auto* started = std::get_if<TargetStarted>(&event))
        recordStart(ledger, *started);
    if (const auto* health = std::get_if<TargetHealth>(&event))
        recordHealth(ledger, *health);
    if (const auto* report = std::get_if<CrashReport>(&event))
        ledger.crashed[report->fingerprint].insert(report->target);
    if (const auto* notice = std::get_if<QuarantineNotice>(&event))
        ledger.refusedUntil[notice->fingerprint] = std::max(ledger.refusedUntil[notice->fingerprint], now + notice->remaining);
    if (const auto* update = std::get_if<UpdateDocument>(&event))
        ledger.document = update->document;
    if (const auto* grant = std::get_if<PeerGrant>(&event))
        ledger.grant = *grant;
}

void checkAction(Ledger& ledger, const Action& action, TimePoint now)
{
    if (const auto* start = std::get_if<StartAttempt>(&action))
        checkStart(ledger, *start, now);
    if (const auto* pass = std::get_if<PassAnswer>(&action)) {
        ++ledger.coverage.passed;
        checkFinal(ledger, pass->id, now);
    }
    ledger.coverage.cancelled += std::holds_alternative<CancelAttempt>(action);
    ledger.coverage.notices += std::holds_alternative<QuarantineNotice>(action);
    if (const auto* finish = std::get_if<Finish>(&action)) {
        const LedgerEntry& entry = ledger.requests[finish->id];
        ++ledger.coverage.finished[finish->reason];
        ++ledger.coverage.outcomes[finish->outcome];
        bool notRun = !entry.running && !entry.mayHaveRun && entry.runs == 0;
        ledger.require(finish->outcome != Outcome::NotRun || notRun, "not-run is reported for a request that may have run");
        checkFinal(ledger, finish->id, now);
    }
}

void checkEnd(Ledger& ledger, const DispatcherState& state)
{
    for (const auto& [id, entry] : ledger.requests)
        ledger.require(entry.finished == 1, "a request is never finished");
    bool empty = state.requests.empty() && state.running.empty() && state.expiries.empty();
    ledger.require(empty && state.queue.callers.empty(), "finished requests are kept");
    for (const auto& [address, target] : state.targets.byAddress)
        ledger.require(target.inFlight == 0, "a slot is not released");
}

}
