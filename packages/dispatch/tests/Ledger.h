#pragma once

#include "flamingowick/dispatch/Dispatcher.h"

// An independent record of the events and actions of a dispatcher and of what the targets really did. Checks the
// dispatcher's guarantees against it, without using the dispatcher's state.
namespace flamingowick::dispatch {

struct LedgerEntry {
    Ticket ticket;
    unsigned finished { 0 };
    unsigned attempts { 0 };
    unsigned runs { 0 };
    bool mayHaveRun { false };
    std::optional<TargetAddress> running;
    // Incarnation of the target when the running attempt started.
    unsigned incarnation { 0 };
};

// Counts of outcomes over all schedules, to check that the schedules reach each of them.
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
    std::map<TargetAddress, unsigned> incarnations;
    std::set<TargetAddress> listed;
    std::set<TargetAddress> leaving;
    std::set<TargetAddress> ejected;
    std::map<std::uint64_t, std::set<TargetAddress>> crashed;
    std::set<std::uint64_t> crashingDigests;
    // Until when each digest is refused because of a peer's notice.
    std::map<std::uint64_t, TimePoint> refusedUntil;
    double retriesEarned { 0 };
    double retriesStarted { 0 };
    PeerGrant grant;
    TimePoint accruedAt;
    Coverage coverage;
    // The first violated guarantee, empty if there is none.
    std::string violation;

    // Records the first guarantee that is violated.
    void require(bool holds, std::string_view message)
    {
        if (!holds && this->violation.empty())
            this->violation = message;
    }
};

// Records an event before the dispatcher handles it. reallyRan states whether the target ran the request.
void recordEvent(Ledger&, const Event&, bool reallyRan, TimePoint now);

// Checks an action of the dispatcher and records it.
void checkAction(Ledger&, const Action&, TimePoint now);

// Checks the guarantees that must hold after the last event.
void checkEnd(Ledger&, const DispatcherState&);

}
