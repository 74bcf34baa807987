#pragma once

#include "flamingowick/configuration/Acceptance.h"
#include "flamingowick/configuration/Events.h"
#include "flamingowick/model/Clock.h"

// The decisions of the configuration state machine that can be replaced, and its constants.
namespace flamingowick::configuration {

struct Timing {
    // A watcher of rank k waits k times this before it accepts a change.
    Duration rankDelay { std::chrono::seconds(1) };
    // A call to the platform without an answer counts as failed after this.
    Duration callTimeout { std::chrono::seconds(2) };
    // Wait before a failed attempt is repeated: doubles from the first to the last.
    Duration firstRetry { std::chrono::milliseconds(250) };
    Duration lastRetry { std::chrono::seconds(2) };
    // A digest exchange with one peer is begun this often, and this often until ready.
    Duration digestPeriod { std::chrono::seconds(1) };
    Duration bootDigestPeriod { std::chrono::milliseconds(250) };
    // A document asked for is not asked for again within this.
    Duration requestTimeout { std::chrono::milliseconds(500) };
    // What a ready peer's digest said counts for this long.
    Duration agreementAge { std::chrono::seconds(2) };
    // A longer gap between ticks means that the process was paused, and the boot grace begins anew.
    Duration maxTickGap { std::chrono::seconds(1) };
    // From here on one ready peer that agrees is enough to be ready, or none for a watcher that has
    // listed the store.
    Duration bootGrace { std::chrono::seconds(5) };
};

struct Limits {
    // Peers told of a new revision: in the own failure domain, and anywhere.
    std::size_t localFanout { 3 };
    std::size_t remoteFanout { 1 };
    // Buckets compared entry by entry in one digest exchange.
    std::size_t bucketsPerExchange { 32 };
    // Attempts that call the platform at the same time.
    std::size_t concurrentAttempts { 16 };
};

// What a daemon that boots knows about the completeness of its documents.
struct BootView {
    // Ready peers whose digest agreed with the daemon's own a moment ago.
    std::size_t agreeingPeers { 0 };
    // Ready peers whose digest differed a moment ago.
    std::size_t disagreeingPeers { 0 };
    // The store's documents were listed completely and are watched since.
    bool listedStore { false };
    bool graceOver { false };
};

// What an attempt does once a write ended.
enum class AttemptStep : std::uint8_t {
    // The document is accepted: put it in force and spread it.
    Finish,
    // Read again and see.
    Reread,
};

// Two agreeing peers make ready. After the grace one is enough if no ready peer differs; without any
// ready peer the store's complete listing is. Never throws.
bool isReady(const BootView&) noexcept;

// Finishes only a write that is known to have taken effect. Never throws.
AttemptStep stepAfterWrite(WriteOutcome) noexcept;

// Returns the store's version that a write must find, "" for an object that wasn't there.
std::string expectedVersion(const StoredDocument& base);

// Returns whether a digest exchange is due.
bool digestDue(TimePoint lastExchange, Duration period, TimePoint now) noexcept;

// Returns whether a source that was read calls for a write.
bool needsDecision(const AcceptedDocument& current, const SourceMark&) noexcept;

// The replaceable decisions, with the production ones as defaults.
struct Policy {
    Timing timing;
    Limits limits;
    DocumentCheck check { nullptr };
    bool (*supersedes)(const AcceptedDocument& held, const AcceptedDocument& offered) noexcept { configuration::supersedes };
    AcceptedDocument (*decideChange)(const AcceptedDocument&, const std::optional<SourceObject>&, DocumentCheck, const ChangeStamp&) { configuration::decideChange };
    bool (*isReady)(const BootView&) noexcept { configuration::isReady };
    AttemptStep (*stepAfterWrite)(WriteOutcome) noexcept { configuration::stepAfterWrite };
    std::string (*expectedVersion)(const StoredDocument&) { configuration::expectedVersion };
    bool (*digestDue)(TimePoint, Duration, TimePoint) noexcept { configuration::digestDue };
    bool (*needsDecision)(const AcceptedDocument&, const SourceMark&) noexcept { configuration::needsDecision };
};

// Returns the production policy, which checks documents by settings::parseServiceDocument.
Policy productionPolicy();

}
