#pragma once

#include "flamingowick/grants/TargetPool.h"
#include "flamingowick/proxy/HttpMessage.h"
#include "flamingowick/proxy/ProxySettings.h"
#include "flamingowick/proxy/Runtime.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

// Connections to targets: one request at a time on each, kept for reuse inside the time that the
// target announces.
namespace flamingowick::proxy {

struct AttemptSpec {
    std::string instance;
    std::string address;
    // The whole request as sent, header and body.
    std::string bytes;
    // The target must echo it.
    std::string requestId;
    bool idempotent { false };
    // The answer to a HEAD request has no body.
    bool bodyless { false };
    ReadLimits limits;
};

struct AttemptResult {
    grants::Outcome outcome { grants::Outcome::Broken };
    // Any byte of the request was handed to a connection.
    bool sent { false };
    // The connection was new.
    bool newConnection { false };
    // Whole only when a target answered.
    HttpMessage answer;
    // What went wrong, for logs; empty otherwise.
    std::string reason;
};

using AttemptHandler = std::function<void(AttemptResult)>;
class TargetLink;

class TargetLinks {
public:
    TargetLinks(asio::io_context&, HeaderNames);
    ~TargetLinks();
    TargetLinks(const TargetLinks&) = delete;
    TargetLinks& operator=(const TargetLinks&) = delete;

    // Sends the request. The handler is called once, later, unless the attempt is cancelled before.
    // Returns a number to cancel it by.
    std::uint64_t start(AttemptSpec, AttemptHandler);

    // Gives an attempt up and closes its connection, so that the target can stop work. Unknown
    // numbers are ignored.
    void cancel(std::uint64_t attempt);

    // Whether a kept connection to the instance can take a request.
    bool hasIdle(const std::string& instance, bool idempotent) const;

    // Closes kept connections of instances that are gone.
    void forget(const std::string& instance);

    std::uint64_t opened() const noexcept { return this->connectionsOpened; }
    std::size_t idleCount() const noexcept;

private:
    friend class TargetLink;

    asio::io_context& context;
    HeaderNames names;
    std::unordered_map<std::string, std::vector<std::shared_ptr<TargetLink>>> idle;
    std::unordered_map<std::uint64_t, std::shared_ptr<TargetLink>> busy;
    std::uint64_t lastAttempt { 0 };
    std::uint64_t connectionsOpened { 0 };
};

// Judges a whole answer: whether the target ran the request and how it went.
grants::Outcome judgeAnswer(const HttpMessage& answer, const HeaderNames&, std::string_view requestId);

}
