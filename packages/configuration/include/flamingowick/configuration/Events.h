#pragma once

#include "flamingowick/configuration/Documents.h"
#include "flamingowick/configuration/Messages.h"
#include "flamingowick/configuration/Roles.h"
#include "flamingowick/model/ServiceDocument.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// What the configuration state machine hears and what it asks for.
namespace flamingowick::configuration {

// Tells calls to the platform apart. An answer that carries a ticket no longer waited for is dropped.
using Ticket = std::uint64_t;

// The live members changed; the daemon itself is one of them.
struct MembersChanged {
    std::vector<Member> members;
};

// The watch showed a change of a source object. May be late, but comes in the store's order.
struct SourceNoticed {
    std::string service;
    SourceMark mark;
};

// The watch showed an accepted document. May be late or old.
struct AcceptedNoticed {
    StoredDocument stored;
};

// A watch began, or began anew after a break: all objects as the store holds them.
struct WatchListed {
    std::vector<SourceNoticed> sources;
    std::vector<StoredDocument> accepted;
};

// The watch broke off; WatchListed follows once it is back.
struct WatchBroken { };

struct AcceptedRead {
    std::string service;
    Ticket ticket { 0 };
    // Nothing when the store holds no such object.
    std::optional<StoredDocument> stored;
};

// The answer of a read that reflects every write completed before the read began.
struct SourceRead {
    std::string service;
    Ticket ticket { 0 };
    std::optional<SourceObject> source;
    std::int64_t wallMs { 0 };
};

// How a conditional write ended.
enum class WriteOutcome : std::uint8_t {
    Done,
    Conflict,
    // Refused, failed or unanswered: it may take effect, even later.
    Unknown,
};

struct WriteAnswered {
    std::string service;
    Ticket ticket { 0 };
    WriteOutcome outcome { WriteOutcome::Unknown };
};

// The archive object is there, written now or before.
struct ArchiveWritten {
    std::string service;
    Ticket ticket { 0 };
};

// A call other than the conditional write failed.
struct CallFailed {
    std::string service;
    Ticket ticket { 0 };
};

struct MessageReceived {
    std::string from;
    PeerMessage message;
};

// Time passed. Expected about ten times a second.
struct Tick { };

using Event = std::variant<MembersChanged, SourceNoticed, AcceptedNoticed, WatchListed, WatchBroken, AcceptedRead, SourceRead, WriteAnswered,
    ArchiveWritten, CallFailed, MessageReceived, Tick>;

// Begin to watch sources and accepted documents; answered by WatchListed, also after each break.
struct StartWatch { };

struct StopWatch { };

struct ReadAccepted {
    std::string service;
    Ticket ticket { 0 };
};

struct ReadSource {
    std::string service;
    Ticket ticket { 0 };
};

// Write a document if the object still has the expected version; "" expects no object.
struct WriteAccepted {
    Ticket ticket { 0 };
    AcceptedDocument document;
    std::string expectedVersion;
};

// Create an archive object. That it exists already is a success.
struct WriteArchive {
    Ticket ticket { 0 };
    AuditArchive archive;
};

struct SendMessage {
    std::string to;
    PeerMessage message;
};

// Put a document in force, or take the service out of force.
struct ApplyDocument {
    std::string service;
    std::uint64_t version { 0 };
    bool deleted { false };
    ServiceDocument document;
};

// The documents are complete enough to serve traffic. Asked for once.
struct BecomeReady { };

using Action = std::variant<StartWatch, StopWatch, ReadAccepted, ReadSource, WriteAccepted, WriteArchive, SendMessage, ApplyDocument, BecomeReady>;

}
