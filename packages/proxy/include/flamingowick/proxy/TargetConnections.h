#pragma once

#include "flamingowick/grants/TargetPool.h"
#include "flamingowick/proxy/HttpMessage.h"
#include "flamingowick/proxy/ProxySettings.h"
#include "flamingowick/proxy/Sockets.h"
#include "flamingowick/proxy/TargetPaths.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

// Connections to targets. Each carries one request at a time and is reused while it has been idle for less than a share
// of the timeout that the target announces in its Keep-Alive header.
namespace flamingowick::proxy {

struct AttemptSpec {
    std::string instance;
    std::string address;
    // The request as sent, its header or all of it.
    std::string requestBytes;
    // What follows them: the body, which isn't copied; null for nothing.
    std::shared_ptr<const std::string> requestBody;
    // The target must return it in the response.
    std::string requestId;
    bool idempotent { false };
    // Set for a HEAD request: its response has no body, whatever its Content-Length says.
    bool isHeadRequest { false };
    ReadLimits responseLimits;
};

enum class LimitStatementKind : std::uint8_t {
    // There is no response, or none that can be ascribed to the target.
    Unknown,
    // The response names no limit.
    None,
    Named,
    // The value can't be read. Says neither that there is a limit nor that there is none.
    Unreadable,
};

// What a response says of its target's limit on requests.
struct LimitStatement {
    LimitStatementKind kind { LimitStatementKind::Unknown };
    // Set when named.
    double requestsPerSecond { 0 };
    // The header's value, shortened, for logs; set when unreadable.
    std::string text {};
};

struct AttemptResult {
    grants::AttemptOutcome outcome { grants::AttemptOutcome::ConnectionBroken };
    // A connection was established and the request was handed to it, so that the target may have executed it.
    bool sent { false };
    // The connection was opened for this attempt rather than reused.
    bool newConnection { false };
    // Name of the member through which the target was connected; empty for a direct connection.
    std::string member {};
    // The target ended the connection before its response was complete, or by its end completed one without a length. Either
    // happens when it crashes.
    bool endedByTarget { false };
    // Set only when a complete response was received.
    HttpMessage response;
    // How long the target wants no further request from this daemon, as its 503 response says.
    std::optional<Duration> holdOff {};
    // The 503 response has a Retry-After that can't be read.
    bool holdOffUnreadable { false };
    // The response says that the target is leaving.
    bool targetLeaving { false };
    // What the response says of the target's limit on its requests.
    LimitStatement limit;
    // Why the attempt failed, for logs; empty otherwise.
    std::string reason;
};

using AttemptHandler = std::function<void(AttemptResult)>;
class TargetConnection;
class LivenessCheck;
class TargetConnector;

// A daemon through which a target can be connected.
struct TunnelMember {
    std::string name;
    std::string address;
};

struct PathCallbacks {
    // Returns a member that can be asked for a connection and that isn't among those tried.
    std::function<std::optional<TunnelMember>(std::span<const std::string> tried)> chooseMember;
    // Called when this daemon gets cut off from the targets, or reaches them again.
    std::function<void()> onPathChange;
};

class TargetConnections {
public:
    // The paths must outlive this object.
    TargetConnections(asio::io_context&, HeaderNames, TargetPaths&, PathCallbacks);
    ~TargetConnections();
    TargetConnections(const TargetConnections&) = delete;
    TargetConnections& operator=(const TargetConnections&) = delete;

    // Sends the request over an idle connection to the instance or over a new one. The handler is called once, after
    // start has returned, unless the attempt is cancelled before that. Returns the number that cancel takes.
    std::uint64_t start(AttemptSpec, AttemptHandler);

    // Cancels an attempt and closes its connection, so that the target can stop working on it. Its handler is not
    // called. Unknown numbers are ignored.
    void cancel(std::uint64_t attempt);

    // Whether bytes of the attempt's response have arrived within the last 500 ms. False for unknown numbers.
    bool isReceiving(std::uint64_t attempt) const;

    // Finds out whether the target is alive, by a connection that must last for 250 ms. The handler is called once, after
    // this function has returned: with false when a connection fails or several end early, which takes at most about two
    // seconds. It isn't called after the destructor.
    void checkAlive(std::string instance, std::string address, std::function<void(bool)> handler);

    // Whether an idle connection to the instance can be reused for a request.
    bool hasIdle(const std::string& instance, bool idempotent) const;

    // Closes the idle connections to an instance that no longer exists, or has restarted, and those in use after their
    // attempts. Linear in the attempts in flight.
    void closeIdle(const std::string& instance);

    // Closes the idle connections through a member, or the direct ones for an empty name. Linear in the idle connections.
    void closeIdleThrough(std::string_view member);

    std::uint64_t openedConnections() const noexcept { return this->connectionsOpened; }
    std::size_t idleConnectionCount() const noexcept;
    // Bytes of responses that are being received, over all attempts; at most maxHeldResponseBytes.
    std::uint64_t heldResponseBytes() const noexcept { return this->responseBytes; }

    // An attempt whose response would exceed this is broken off. A quarter of the memory of a small VM.
    static constexpr std::uint64_t maxHeldResponseBytes = 64U << 20U;

private:
    friend class TargetConnection;
    friend class LivenessCheck;
    friend class TargetConnector;

    std::optional<TunnelMember> chooseMember(std::span<const std::string> tried) const { return this->callbacks.chooseMember(tried); }
    void onPathChange() const { this->callbacks.onPathChange(); }
    bool isReusable(const TargetConnection&, bool idempotent) const;

    asio::io_context& context;
    HeaderNames headerNames;
    TargetPaths& paths;
    PathCallbacks callbacks;
    std::unordered_map<std::string, std::vector<std::shared_ptr<TargetConnection>>> idleConnections;
    std::unordered_map<std::uint64_t, std::shared_ptr<TargetConnection>> activeConnections;
    std::unordered_set<std::shared_ptr<LivenessCheck>> livenessChecks;
    std::uint64_t lastAttempt { 0 };
    std::uint64_t connectionsOpened { 0 };
    std::uint64_t responseBytes { 0 };
};

// Classifies a complete response: whether the target executed the request and how the attempt ended. A response that has
// a Content-Encoding is ConnectionBroken; so is a 2xx response that isn't signed or doesn't carry the request's ID.
grants::AttemptOutcome classifyResponse(const HttpMessage& response, const HeaderNames&, std::string_view requestId);

// Reads what a response says of its target's limit. A limit that is named twice with different values is unreadable.
LimitStatement readLimit(const HttpMessage&, std::string_view headerName);

// Reads a limit in requests per second, a decimal number that is at most 1,000,000: a higher limit binds nobody. None if it
// is anything else, such as a negative number.
std::optional<double> parseRequestLimit(std::string_view value) noexcept;

// Reads a Retry-After header in seconds, which may include fractions; an hour at most, since a longer time is more likely
// a fault of the target. None if it is anything else, such as a date or a negative number.
std::optional<Duration> parseRetryAfter(std::string_view value) noexcept;

}
