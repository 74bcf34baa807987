#pragma once

#include "flamingowick/configuration/Documents.h"
#include "flamingowick/ctl/Ports.h"
#include "flamingowick/ctl/Reports.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The administration API of a daemon as the tool reads it. All functions are linear in their input and
// may throw std::bad_alloc; the parsing ones return nothing for a body that isn't what a daemon sends.
namespace flamingowick::ctl {

constexpr unsigned httpOk = 200;
constexpr unsigned httpUnauthorized = 401;
constexpr unsigned httpNotFound = 404;

// A document as one daemon holds it.
struct DaemonDocument {
    std::string address;
    std::uint64_t version { 0 };
    bool deleted { false };
    std::string text;
    std::vector<configuration::AuditEntry> audit;
};

// What one daemon says of one service.
struct DaemonServiceStatus {
    std::string name;
    std::uint64_t version { 0 };
    std::string dispatcher;
    std::size_t targets { 0 };
    std::vector<std::string> ejected;
};

struct DaemonStatusAnswer {
    DaemonStatus daemon;
    std::vector<DaemonServiceStatus> services;
};

// Returns the path of a service's document.
std::string documentPath(std::string_view service);

// Returns the path that explains a target.
std::string explainPath(std::string_view service, std::string_view target);

std::optional<DaemonDocument> parseDaemonDocument(std::string_view body);
std::optional<DaemonStatusAnswer> parseDaemonStatus(std::string_view body);
std::optional<ExplainReport> parseExplanation(std::string_view body);

// Returns the VM that a daemon names as dispatcher when it can't explain.
std::optional<std::string> parseDispatcher(std::string_view body);

// Returns the failure that an answer other than success stands for.
FailureReport failureOf(std::string_view address, const DaemonAnswer&);

}
