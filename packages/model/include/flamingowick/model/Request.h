#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/model/Identifiers.h"
#include "flamingowick/model/Outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Requests and answers as they travel through the fleet.
namespace flamingowick {

struct Header {
    std::string name;
    std::string value;

    bool operator==(const Header&) const = default;
};

struct Request {
    RequestId id;
    std::string service;
    std::string method;
    // Path and query as the caller sent them.
    std::string path;
    std::string host;
    std::vector<Header> headers;
    std::string body;
    // The identity by which callers are told apart for fairness and for key replay.
    std::string caller;
    std::string idempotencyKey;
    bool idempotent { true };
    // No part of the fleet works on the request past this time.
    TimePoint deadline;
};

struct Answer {
    unsigned status { 0 };
    std::vector<Header> headers;
    std::string body;
    Outcome outcome { Outcome::Answered };
    // Set on answers that the fleet gives itself: when asking again makes sense.
    std::optional<std::chrono::seconds> retryAfter;
    // A short reason for logs and problem bodies, empty on a target's answer.
    std::string reason;
    // The target that answered, empty when none did.
    TargetAddress target;

    bool operator==(const Answer&) const = default;
};

// Returns a value that is equal for resends of the same request: it covers service, method, path,
// body and caller, not the headers. Linear in the size of the request; never throws.
std::uint64_t requestDigest(const Request&) noexcept;

// The same for a request that is not held as a Request. The scope is the service or host within which paths are told
// apart; the caller is empty where requests of all callers count as the same. Linear in the texts; never throws.
std::uint64_t requestDigest(std::string_view scope, std::string_view method, std::string_view path, std::string_view caller, std::string_view body) noexcept;

// Makes an answer of the fleet's own, with an RFC 9457 problem body. May throw std::bad_alloc.
Answer makeProblem(unsigned status, Outcome, std::string_view reason, std::chrono::seconds retryAfter);

}
