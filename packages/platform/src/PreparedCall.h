#pragma once

#include "flamingowick/platform/PlatformClient.h"

#include <variant>

// Calls turned into HTTP messages, and ended exchanges turned into results.
namespace flamingowick::platform {

enum class CallKind : std::uint8_t {
    Get,
    List,
    Create,
    Put,
    Delete,
};

// A call that is ready to be sent.
struct PreparedCall {
    CallId id { 0 };
    CallKind kind { CallKind::Get };
    Plural plural { Plural::ServiceDocuments };
    std::string name;
    std::string method;
    std::string path;
    std::string body;
    // The call is given up when it has not started by then.
    TimePoint startBy;
};

using Preparation = std::variant<PreparedCall, Rejected>;

// Each checks its call and prepares it, or says what is wrong with it.
Preparation prepare(const Get&);
Preparation prepare(const List&);
Preparation prepare(const Create&);
Preparation prepare(const Put&);
Preparation prepare(const Delete&);

// Returns whether the call changes anything at the platform.
bool isWrite(const PreparedCall&) noexcept;

// Returns the one result of a call. A body that does not show what the verdict promises leaves a
// read Unavailable and a write in UnknownOutcome.
Result conclude(const PreparedCall&, const Exchange&, Verdict, std::string_view body);

}
