#pragma once

#include "flamingowick/configuration/Digest.h"
#include "flamingowick/configuration/Events.h"
#include "flamingowick/configuration/Policy.h"

#include <map>
#include <string>
#include <vector>

// What one daemon knows of the fleet's documents.
namespace flamingowick::configuration {

// A document as this daemon holds it.
struct HeldDocument {
    AcceptedDocument document;
    // The version in force here. Behind the document's own version only if this daemon's program
    // can't read the document.
    std::uint64_t appliedVersion { 0 };
};

enum class AttemptPhase : std::uint8_t {
    Waiting,
    ReadingAccepted,
    ReadingSource,
    Archiving,
    Writing,
};

// A watcher's attempt to accept what was noticed of one service.
struct Attempt {
    AttemptPhase phase { AttemptPhase::Waiting };
    // When a waiting attempt starts, or when the call in progress counts as failed.
    TimePoint due;
    Ticket ticket { 0 };
    unsigned failures { 0 };
    // What was noticed last. Cleared when the attempt starts; set again by news meanwhile.
    std::optional<SourceMark> noticed;
    StoredDocument base;
    AcceptedDocument proposal;
};

// A digest exchange that this daemon opened.
struct OpenExchange {
    std::string peer;
    TimePoint startedAt;
};

// What a ready peer's digest last said.
struct PeerVerdict {
    bool agrees { false };
    // When the exchange was opened.
    TimePoint asOf;
};

// A small generator, so that schedules replay from a seed.
struct RandomSource {
    std::uint64_t state { 0 };
};

struct State {
    std::string vm;
    std::uint64_t incarnation { 0 };
    std::string failureDomain;
    // Start of the boot grace: the daemon's start, or the end of a pause.
    TimePoint graceSince;
    TimePoint lastTick;
    RandomSource random;

    // The other live daemons: those in the own failure domain, and all.
    std::vector<std::string> localPeers;
    std::vector<std::string> peers;
    std::vector<std::string> watchers;
    bool watching { false };
    // The store was listed, and the watch has not broken off since.
    bool listedStore { false };
    bool ready { false };

    std::map<std::string, HeldDocument, std::less<>> held;
    Digest digest;

    std::map<std::string, Attempt, std::less<>> attempts;
    // What the watch showed last of each source; kept by watchers only.
    std::map<std::string, SourceMark, std::less<>> noticed;
    Ticket lastTicket { 0 };
    std::uint64_t lastChange { 0 };

    TimePoint lastDigest;
    std::uint64_t lastExchange { 0 };
    std::map<std::uint64_t, OpenExchange> exchanges;
    std::map<std::string, PeerVerdict, std::less<>> verdicts;
    // Until when a document that was asked for is not asked for again.
    std::map<std::string, TimePoint, std::less<>> requested;
};

}
