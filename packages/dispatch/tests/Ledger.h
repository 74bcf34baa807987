#pragma once

#include "flamingowick/dispatch/Dispatcher.h"

// Counts what was asked of the daemon and what truly happened, apart from the dispatcher's own books.
namespace flamingowick::dispatch {

struct LedgerEntry {
    Ticket ticket;
    unsigned finished { 0 };
    unsigned attempts { 0 };
    unsigned runs { 0 };
    bool mayHaveRun { false };
    std::optional<TargetAddress> running;
    // The life of the running attempt's target.
    unsigned life { 0 };
};

// How often each kind of thing happened, to see that the schedules reach it.
struct Coverage {
    std::map<FinishReason, unsigned> finished;
    std::map<Outcome, unsigned> outcomes;
    unsigned passed { 0 };
    unsigned firstAttempts { 0 };
    unsigned retries { 0 };
    unsigned cancelled { 0 };
    unsigned notices { 0 };
};

struct Ledger {
    ServiceDocument document;
    std::unordered_map<RequestId, LedgerEntry> requests;
    std::map<TargetAddress, unsigned> inFlight;
    std::map<TargetAddress, std::uint64_t> starts;
    std::map<TargetAddress, unsigned> lives;
    std::set<TargetAddress> listed;
    std::set<TargetAddress> leaving;
    std::set<TargetAddress> ejected;
    std::map<std::uint64_t, std::set<TargetAddress>> crashed;
    std::set<std::uint64_t> deadly;
    // Until when peers have asked to refuse a digest.
    std::map<std::uint64_t, TimePoint> refusedUntil;
    double retriesEarned { 0 };
    double retriesStarted { 0 };
    PeerGrant grant;
    TimePoint accruedAt;
    Coverage coverage;
    // The first broken promise, empty when there is none.
    std::string violation;

    // Notes the first promise that does not hold.
    void demand(bool holds, std::string_view promise)
    {
        if (!holds && this->violation.empty())
            this->violation = promise;
    }
};

// Books one event before the dispatcher handles it. reallyRan tells what the target truly did.
void book(Ledger&, const Event&, bool reallyRan, TimePoint now);

// Checks and books what the dispatcher asks for.
void check(Ledger&, const Action&, TimePoint now);

// Checks what must hold when nothing is left to happen.
void checkEnd(Ledger&, const DispatcherState&);

}
