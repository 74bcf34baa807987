#include "Ledger.h"

namespace flamingowick::dispatch {

namespace {

    void bookEnd(Ledger& ledger, const TargetAnswered& event, bool reallyRan)
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
        ledger.demand(entry.ticket.idempotent || entry.runs <= 1, "a non-idempotent request ran twice");
        if (kind == AttemptKind::Crashed)
            ledger.crashed[entry.ticket.digest].insert(event.target);
        if (kind == AttemptKind::Drained && entry.life == ledger.lives[event.target])
            ledger.leaving.insert(event.target);
    }

    void bookList(Ledger& ledger, const TargetsChanged& list)
    {
        std::set<TargetAddress> before;
        before.swap(ledger.listed);
        for (const Target& target : list.targets) {
            if (!before.contains(target.address)) {
                ++ledger.lives[target.address];
                ledger.leaving.erase(target.address);
                ledger.ejected.erase(target.address);
            }
            ledger.listed.insert(target.address);
        }
    }

    void bookLeaving(Ledger& ledger, const TargetLeaving& word)
    {
        if (ledger.listed.contains(word.address) && word.start >= ledger.starts[word.address])
            ledger.leaving.insert(word.address);
    }

    void bookStart(Ledger& ledger, const TargetStarted& proof)
    {
        if (proof.start > ledger.starts[proof.address]) {
            ++ledger.lives[proof.address];
            ledger.leaving.erase(proof.address);
            ledger.ejected.erase(proof.address);
        }
        ledger.starts[proof.address] = std::max(ledger.starts[proof.address], proof.start);
    }

    void bookHealth(Ledger& ledger, const TargetHealth& health)
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

    void checkDeadly(Ledger& ledger, const LedgerEntry& started)
    {
        std::uint64_t digest = started.ticket.digest;
        if (!ledger.deadly.contains(digest) || ledger.crashed[digest].empty())
            return;
        std::set<TargetAddress> touched = ledger.crashed[digest];
        for (const auto& [id, entry] : ledger.requests) {
            if (entry.ticket.digest == digest && entry.running)
                touched.insert(*entry.running);
        }
        ledger.demand(touched.size() <= 2, "a request that crashes targets was sent to a third");
    }

    void checkStart(Ledger& ledger, const StartAttempt& start, TimePoint now)
    {
        LedgerEntry& entry = ledger.requests[start.id];
        ledger.demand(entry.finished == 0 && !entry.running, "an attempt starts out of turn");
        ledger.demand(entry.ticket.idempotent || !entry.mayHaveRun, "a non-idempotent request is attempted again");
        ledger.demand(!ledger.leaving.contains(start.target), "a leaving target gets work");
        ledger.demand(entry.ticket.idempotent || !ledger.ejected.contains(start.target), "an ejected target gets a non-idempotent request");
        ledger.demand(ledger.listed.contains(start.target), "an unlisted target gets work");
        ledger.demand(++ledger.inFlight[start.target] <= ledger.document.targets.slots, "slots are exceeded");
        if (++entry.attempts == 1)
            ledger.retriesEarned += ledger.document.retries.ratio;
        else
            ++ledger.retriesStarted;
        ++(entry.attempts == 1 ? ledger.coverage.firstAttempts : ledger.coverage.retries);
        ledger.demand(ledger.retriesStarted <= ledger.retriesEarned + 1e-3, "the retry budget is exceeded");
        ledger.demand(entry.attempts <= 3, "a request is attempted too often");
        ledger.demand(ledger.refusedUntil[entry.ticket.digest] <= now, "a request that a peer has quarantined is sent");
        entry.running = start.target;
        entry.life = ledger.lives[start.target];
        checkDeadly(ledger, entry);
    }

    void checkFinal(Ledger& ledger, const RequestId& id, TimePoint now)
    {
        LedgerEntry& entry = ledger.requests[id];
        ledger.demand(++entry.finished == 1, "a request is finished twice");
        ledger.demand(now <= entry.ticket.deadline, "a request is finished after its deadline");
    }

}

void book(Ledger& ledger, const Event& event, bool reallyRan, TimePoint now)
{
    accrue(ledger, now);
    if (const auto* submit = std::get_if<Submit>(&event))
        ledger.requests[submit->ticket.id].ticket = submit->ticket;
    if (const auto* answer = std::get_if<TargetAnswered>(&event))
        bookEnd(ledger, *answer, reallyRan);
    if (const auto* list = std::get_if<TargetsChanged>(&event))
        bookList(ledger, *list);
    if (const auto* word = std::get_if<TargetLeaving>(&event))
        bookLeaving(ledger, *word);
    if (const auto* proof = std::get_if<TargetStarted>(&event))
        bookStart(ledger, *proof);
    if (const auto* health = std::get_if<TargetHealth>(&event))
        bookHealth(ledger, *health);
    if (const auto* report = std::get_if<CrashReport>(&event))
        ledger.crashed[report->fingerprint].insert(report->target);
    if (const auto* notice = std::get_if<QuarantineNotice>(&event))
        ledger.refusedUntil[notice->fingerprint] = std::max(ledger.refusedUntil[notice->fingerprint], now + notice->remaining);
    if (const auto* update = std::get_if<UpdateDocument>(&event))
        ledger.document = update->document;
    if (const auto* grant = std::get_if<PeerGrant>(&event))
        ledger.grant = *grant;
}

void check(Ledger& ledger, const Action& action, TimePoint now)
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
        ledger.demand(finish->outcome != Outcome::NotRun || notRun, "not-run is said of a request that may have run");
        checkFinal(ledger, finish->id, now);
    }
}

void checkEnd(Ledger& ledger, const DispatcherState& state)
{
    for (const auto& [id, entry] : ledger.requests)
        ledger.demand(entry.finished == 1, "a request is never finished");
    bool empty = state.requests.empty() && state.running.empty() && state.expiries.empty();
    ledger.demand(empty && state.queue.callers.empty(), "finished requests are kept");
    for (const auto& [address, target] : state.targets.byAddress)
        ledger.demand(target.inFlight == 0, "a slot is lost");
}

}
