#pragma once

#include "flamingowick/configuration/DocumentDiff.h"
#include "flamingowick/configuration/Documents.h"
#include "flamingowick/configuration/FleetStatus.h"
#include "flamingowick/ctl/ExitCode.h"
#include "flamingowick/model/Finding.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

// What the commands found out, before it is shown as text or JSON.
namespace flamingowick::ctl {

// A command that came to nothing.
struct FailureReport {
    ExitCode exitCode { ExitCode::Failure };
    std::string message;
};

// A document was checked.
struct ValidateReport {
    std::string fileName;
    std::string service;
    std::vector<Finding> findings;
};

// A document was compared with the platform's.
struct DiffReport {
    std::string service;
    // Empty when the platform holds none.
    std::string storedVersion;
    std::string storedBy;
    // A base was given, so that changes have sides.
    bool threeWay { false };
    std::vector<configuration::DocumentChange> changes;
};

enum class ApplyOutcome : std::uint8_t {
    // The fleet accepted the text.
    Accepted,
    // The fleet has findings; the last accepted document stays in force.
    Refused,
    // Another change was there first; nothing was written.
    Conflict,
    // Written, and replaced by another change before the fleet's verdict was seen.
    Superseded,
    // Written, without a verdict in time.
    Pending,
    // It can't be told whether the write took effect.
    Unknown,
};

struct ApplyReport {
    ApplyOutcome outcome { ApplyOutcome::Unknown };
    std::string service;
    std::string changeId;
    // The platform's version of the document that the outcome is about.
    std::string storedVersion;
    std::string storedBy;
    // The platform held this very text already; nothing was written.
    bool unchanged { false };
    // Answers that were lost and made up for by reading back.
    unsigned lostAnswers { 0 };
    // Set when accepted.
    std::uint64_t acceptedVersion { 0 };
    // Set when refused.
    std::vector<Finding> findings;
    // Set on a conflict.
    std::vector<configuration::DocumentChange> changes;
};

// A document as operators wrote it, and what is accepted of it.
struct GetReport {
    std::string service;
    // "platform", or the address of the daemon that was asked.
    std::string source;
    // The platform's version, for --expect-version; empty from a daemon.
    std::string storedVersion;
    std::string storedBy;
    // As apply reports it; empty from a daemon.
    std::string changeId;
    // The operator's text from the platform, the accepted text from a daemon.
    std::string text;
    std::uint64_t acceptedVersion { 0 };
    bool deleted { false };
};

struct HistoryReport {
    std::string service;
    std::string source;
    std::vector<configuration::AuditEntry> entries;
    // What is missing, as findings; empty from a daemon, which holds the last entries only.
    std::vector<Finding> gaps;
};

// One daemon that was asked for its status.
struct DaemonStatus {
    std::string address;
    // Why there is no status; empty when there is one.
    std::string error;
    std::string vm;
    std::string failureDomain;
    bool ready { false };
    std::size_t members { 0 };
};

// One service, over the daemons that were asked.
struct ServiceSummary {
    std::string service;
    // The newest version that any of them has in force.
    std::uint64_t version { 0 };
    std::size_t inForce { 0 };
    std::size_t daemons { 0 };
    std::size_t targets { 0 };
    std::vector<std::string> ejected;
    // VMs named as dispatcher, in alphabetical order; more than one while members change.
    std::vector<std::string> dispatchers;
};

struct StatusReport {
    std::vector<DaemonStatus> daemons;
    std::vector<ServiceSummary> services;
};

// The status objects that the fleet keeps in the platform.
struct StoredStatusReport {
    std::vector<configuration::FleetServiceStatus> services;
};

// The evidence for one symptom.
struct EvidenceCount {
    std::string symptom;
    double score { 0 };
    double bad { 0 };
    double total { 0 };
};

// An ejection that is remembered. Times are in milliseconds since the Unix epoch.
struct EjectionSummary {
    std::int64_t ejectedAtMs { 0 };
    std::int64_t untilMs { 0 };
    unsigned repeats { 0 };
    EvidenceCount reason;
    double threshold { 0 };
};

struct ExplainReport {
    std::string service;
    std::string target;
    // The daemon that explained.
    std::string source;
    // Some of the daemons that were asked name it as the service's dispatcher.
    bool fromDispatcher { false };
    std::string standing;
    // Share of the ordinary traffic that the target gets, 0 to 1.
    double share { 0 };
    bool heldBackByFloor { false };
    bool sharedCause { false };
    double threshold { 0 };
    unsigned observers { 0 };
    std::vector<EvidenceCount> evidence;
    std::optional<EjectionSummary> ejection;
};

// One line of a daemon's log.
struct StoryLine {
    // RFC 3339 text by the daemon's wall clock.
    std::string time;
    std::string vm;
    std::string part;
    std::string event;
    // The other fields in the order of the line; texts without quotes.
    std::vector<std::pair<std::string, std::string>> fields;
    // About a target of the request, not about the request itself.
    bool aside { false };
};

// The course of one request.
struct StoryReport {
    std::string requestId;
    std::vector<StoryLine> lines;
};

using Report = std::variant<FailureReport, ValidateReport, DiffReport, ApplyReport, GetReport,
    HistoryReport, StatusReport, StoredStatusReport, ExplainReport, StoryReport>;

// Returns the exit code that a report stands for. Never throws.
ExitCode exitCodeOf(const Report&) noexcept;

// Returns the report as people read it. Linear in its size; may throw std::bad_alloc.
std::string renderText(const Report&);

// Returns the line that goes beside a document's text: its versions and who wrote it. May throw
// std::bad_alloc.
std::string renderNote(const GetReport&);

// Returns the report as one JSON object with the member "exitCode". Linear in its size; may throw
// std::bad_alloc.
std::string renderJson(const Report&);

}
