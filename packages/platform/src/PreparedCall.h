#pragma once

#include "flamingowick/platform/PlatformClient.h"

#include <variant>

// Converts calls to HTTP requests and finished HTTP exchanges to results.
namespace flamingowick::platform {

enum class CallKind : std::uint8_t {
    Get,
    List,
    Create,
    Put,
    Delete,
};

// A call with its HTTP request.
struct PreparedCall {
    CallId id { 0 };
    CallKind kind { CallKind::Get };
    Plural plural { Plural::ServiceDocuments };
    std::string name;
    std::string method;
    std::string path;
    std::string body;
    // The call ends as Unavailable when it has not started by then.
    TimePoint startDeadline;
};

using PreparationResult = std::variant<PreparedCall, Rejected>;

// Each validates a call and builds its request. Returns Rejected, with the reason, when the call is invalid.
PreparationResult prepare(const Get&);
PreparationResult prepare(const List&);
PreparationResult prepare(const Create&);
PreparationResult prepare(const Put&);
PreparationResult prepare(const Delete&);

// Returns whether the call changes stored data.
bool isWrite(const PreparedCall&) noexcept;

// Returns the result of a call. When the verdict is Done but the body is invalid, a read is Unavailable and a write has
// UnknownOutcome.
Result makeResult(const PreparedCall&, const Exchange&, Verdict, std::string_view body);

}
